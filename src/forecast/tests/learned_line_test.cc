#include "forecast/learned_line.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <limits>

#include "framework/global/random_source.h"
#include "framework/testing/story.h"

namespace acacialug::forecast {
namespace {

using acacialug::testing::It;

constexpr LearnedLine::Options kPrior{.fixed = 20,
                                      .per_unit = 1.0 / 33,
                                      .typical_size = 3000};

// Adds times of an engine that computes `rate` tokens per millisecond.
void NoteEngine(LearnedLine& line,
                double rate,
                double fixed,
                int times,
                RandomSource& random) {
  for (int number = 0; number < times; ++number) {
    const double size = 500 + 6000 * random.Unit();
    const double noise = 0.95 + 0.1 * random.Unit();
    line.Note(size, (fixed + size / rate) * noise);
  }
}

const acacialug::testing::Story kStory(
    "a learned line",
    {It("separates the time per token from the time of any prompt, for engines "
        "of a third to three times the prior's speed",
        [] {
          for (const double rate : {11.0, 33.0, 99.0}) {
            RandomSource random(5);
            LearnedLine line(kPrior);
            NoteEngine(line, rate, 800 / rate, 60, random);
            CPPUNIT_ASSERT(std::abs(1 / line.per_unit_part() / rate - 1) <
                           0.15);
          }
        }),
     It("predicts a usual prompt to within a seventh after ten observations",
        [] {
          RandomSource random(5);
          LearnedLine line(kPrior);
          NoteEngine(line, 15, 40, 10, random);
          CPPUNIT_ASSERT(std::abs(line.At(3000) / 240 - 1) < 0.15);
        }),
     It("follows times of equal sizes, which do not determine its parts",
        [] {
          LearnedLine line(kPrior);
          for (int number = 0; number < 100; ++number) {
            line.Note(3000, 220);
          }
          CPPUNIT_ASSERT(std::abs(line.At(3000) / 220 - 1) < 0.05);
          CPPUNIT_ASSERT(line.per_unit_part() > 0 && line.fixed_part() > 0);
        }),
     It("changes little with one stalled answer",
        [] {
          RandomSource random(5);
          LearnedLine line(kPrior);
          NoteEngine(line, 33, 20, 60, random);
          const double before = line.At(3000);
          line.Note(3000, 60'000);
          CPPUNIT_ASSERT(line.At(3000) < before * 1.15);
        }),
     It("adopts a peer's line while it has fewer observations, and learns on",
        [] {
          RandomSource random(5);
          LearnedLine line(kPrior);
          line.Adopt({.value = 50, .observations = 400},
                     {.value = 0.1, .observations = 400});
          CPPUNIT_ASSERT(std::abs(line.At(3000) - 350) < 1);
          line.Adopt({.value = 1, .observations = 500},
                     {.value = 1, .observations = 500});
          CPPUNIT_ASSERT(std::abs(line.At(3000) - 350) < 1);
          NoteEngine(line, 33, 20, 120, random);
          CPPUNIT_ASSERT(std::abs(1 / line.per_unit_part() / 33 - 1) < 0.2);
        }),
     It("has positive parts for any observations and reports, and recovers",
        [] {
          const double odd[] = {0,
                                -5,
                                1,
                                1e9,
                                1e-5,
                                1e300,
                                std::numeric_limits<double>::quiet_NaN(),
                                std::numeric_limits<double>::infinity()};
          RandomSource random(5);
          const auto draw = [&] {
            return odd[static_cast<std::size_t>(random.Unit() *
                                                std::size(odd))];
          };
          LearnedLine line(kPrior);
          for (int number = 0; number < 20000; ++number) {
            if (random.Unit() < 0.9) {
              line.Note(draw(), draw());
            } else {
              line.Adopt({.value = draw(), .observations = 9},
                         {.value = draw(), .observations = 9});
            }
            CPPUNIT_ASSERT(line.fixed_part() > 0 && line.per_unit_part() > 0);
            CPPUNIT_ASSERT(std::isfinite(line.At(3000)));
          }
          NoteEngine(line, 33, 20, 2000, random);
          CPPUNIT_ASSERT(std::abs(line.At(3000) / 111 - 1) < 0.2);
        })});

}  // namespace
}  // namespace acacialug::forecast
