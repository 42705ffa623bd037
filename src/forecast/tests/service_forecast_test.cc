#include "forecast/service_forecast.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

#include "framework/testing/story.h"

namespace acacialug::forecast {
namespace {

using acacialug::testing::It;

bool Near(Duration left, Duration right) {
  return std::abs(Seconds(left) / Seconds(right) - 1) < 0.1;
}

const acacialug::testing::Story kStory(
    "the forecast of a service",
    {It("learns the prefill speed, also with another prompt ahead",
        [] {
          ServiceForecast forecast;
          for (int number = 0; number < 20; ++number) {
            forecast.NotePrefill(3000, 0, 230ms);
            forecast.NotePrefill(1500, 0, 130ms);
            // Half of the prompt ahead is computed on average.
            forecast.NotePrefill(3000, 2000, 297ms);
          }
          CPPUNIT_ASSERT(Near(forecast.PrefillTime(6000), 430ms));
          CPPUNIT_ASSERT(Near(forecast.MarginalPrefillTime(1500), 100ms));
        }),
     It("learns no prefill speed from a long queue",
        [] {
          ServiceForecast forecast;
          forecast.NotePrefill(1000, 20000, 300ms);
          forecast.NotePrefill(1000, 0, 0ms);
          CPPUNIT_ASSERT_EQUAL(
              0U, forecast.ForFigure(Figure::kPrefillTokenMs).observations);
        }),
     It("predicts a prompt's time at a decode endpoint apart from that at a "
        "prefill endpoint, from the start",
        [] {
          ServiceForecast forecast;
          CPPUNIT_ASSERT(Near(forecast.LocalPrefillTime(3000),
                              2 * forecast.PrefillTime(3000)));
          for (int number = 0; number < 20; ++number) {
            forecast.NoteLocalPrefill(3000, 900ms);
          }
          CPPUNIT_ASSERT(Near(forecast.LocalPrefillTime(3000), 900ms));
        }),
     It("predicts no longer pause during a prompt than the prompt takes",
        [] {
          ServiceForecast forecast;
          const Duration max_pause =
              forecast.Pause() + forecast.LocalPrefillTime(3000);
          CPPUNIT_ASSERT(max_pause == forecast.PromptPause(3000));
          for (int number = 0; number < 20; ++number) {
            forecast.NotePause(150ms, 11, true);
          }
          CPPUNIT_ASSERT(Near(forecast.PromptPause(30'000), 188ms));
          CPPUNIT_ASSERT(forecast.PromptPause(100) < 150ms);
        }),
     It("is adopted from peers by a process that has just started", [] {
       ServiceForecast old;
       for (int number = 0; number < 20; ++number) {
         old.NotePrefill(3000, 0, 200ms);
         old.NotePause(450ms, 50, true);
       }
       ServiceForecast started;
       started.Adopt(old.Report());
       CPPUNIT_ASSERT(Near(started.PrefillTime(3000), 200ms));
       CPPUNIT_ASSERT(old.PromptPause(30'000) == started.PromptPause(30'000));
       CPPUNIT_ASSERT(std::abs(started.TokenMs() - 9) < 1);
       CPPUNIT_ASSERT(started.FirstEvent() == ServiceForecast().FirstEvent());
     })});

}  // namespace
}  // namespace acacialug::forecast
