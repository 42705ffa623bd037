#include "forecast/learned_value.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <limits>

#include "framework/global/random_source.h"
#include "framework/testing/story.h"

namespace acacialug::forecast {
namespace {

using acacialug::testing::It;

void NoteTimes(LearnedValue& value, double observed, int times) {
  for (int number = 0; number < times; ++number) {
    value.Note(observed);
  }
}

const acacialug::testing::Story kStory(
    "a learned value",
    {It("corrects a prior that is off by a factor of two within five "
        "observations",
        [] {
          for (const double truth : {15.0, 33.0, 70.0}) {
            LearnedValue value({.prior = 33});
            NoteTimes(value, truth, 5);
            CPPUNIT_ASSERT(std::abs(value.value() / truth - 1) < 0.15);
          }
        }),
     It("changes little with one stalled answer",
        [] {
          LearnedValue value({.prior = 30});
          NoteTimes(value, 30, 30);
          value.Note(0.1);
          CPPUNIT_ASSERT(value.value() > 27);
        }),
     It("follows engines that slow down by a factor of eight and recover",
        [] {
          LearnedValue value({.prior = 32});
          NoteTimes(value, 32, 50);
          NoteTimes(value, 4, 80);
          CPPUNIT_ASSERT(value.value() < 5);
          NoteTimes(value, 32, 80);
          CPPUNIT_ASSERT(value.value() > 28);
        }),
     It("adopts a peer's value while it has few observations, and then follows "
        "its own",
        [] {
          LearnedValue value({.prior = 33});
          value.Note(20);
          value.Adopt({.value = 90, .observations = 1});
          CPPUNIT_ASSERT(value.value() < 33);
          value.Adopt({.value = 15, .observations = 4000});
          CPPUNIT_ASSERT_EQUAL(15.0, value.value());
          CPPUNIT_ASSERT_EQUAL(LearnedValue::kSufficientObservations,
                               value.observations());
          value.Adopt({.value = 90, .observations = 5000});
          CPPUNIT_ASSERT_EQUAL(15.0, value.value());
          NoteTimes(value, 30, 100);
          CPPUNIT_ASSERT(value.value() > 28);
        }),
     It("stays a positive number within its range, and never gets stuck, "
        "for any observations and reports",
        [] {
          const double odd[] = {0,
                                -1,
                                std::numeric_limits<double>::quiet_NaN(),
                                std::numeric_limits<double>::infinity(),
                                -std::numeric_limits<double>::infinity(),
                                std::numeric_limits<double>::max(),
                                std::numeric_limits<double>::denorm_min(),
                                1e-300};
          RandomSource random(3);
          LearnedValue value(
              {.prior = 33, .min_value = 0.5, .max_value = 2000});
          for (int number = 0; number < 20000; ++number) {
            const double observed =
                odd[static_cast<std::size_t>(random.Unit() * std::size(odd))];
            if (random.Unit() < 0.5) {
              value.Note(observed);
            } else {
              value.Adopt({.value = observed,
                           .observations = static_cast<std::uint32_t>(
                               random.Unit() * 4e9)});
            }
            CPPUNIT_ASSERT(value.value() >= 0.5 && value.value() <= 2000);
          }
          NoteTimes(value, 33, 300);
          CPPUNIT_ASSERT(std::abs(value.value() / 33 - 1) < 0.05);
        })});

}  // namespace
}  // namespace acacialug::forecast
