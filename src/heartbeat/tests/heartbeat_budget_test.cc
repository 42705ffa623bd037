#include "heartbeat/heartbeat_budget.h"

#include <cppunit/TestAssert.h>

#include "framework/testing/story.h"
#include "heartbeat/load_digest.h"

namespace acacialug::heartbeat {
namespace {

using testing::ForEach;

struct BudgetRow {
  const char* name;
  double bytes_per_round;
  Duration interval;
  bool holds;
};

struct LoadRow {
  const char* name;
  protocol::EndpointLoad load;
  bool material;
};

const protocol::EndpointLoad kKnown{.free_kv_tokens = 40000,
                                    .total_kv_tokens = 80000,
                                    .running = 8,
                                    .limit = 16,
                                    .work_ahead = 400ms,
                                    .token_interval = 30ms,
                                    .prefill_tokens_per_second = 20000};

template <typename Change>
protocol::EndpointLoad With(Change change) {
  protocol::EndpointLoad load = kKnown;
  change(load);
  return load;
}

const testing::Story kBudget(
    "a byte budget of 6,000 bytes a second",
    {ForEach<BudgetRow>(
        "gives as interval",
        {{"the shortest to few peers", 3000, 1s, true},
         {"the shortest to none", 0, 1s, true},
         {"what the bytes need to more peers", 24000, 4s, true},
         {"the longest, and holds, at its very bound", 60000, 10s, true},
         {"the longest, and does not hold, beyond", 60001, 10s, false},
         {"the longest to what no clock can count", 1e300, 10s, false}},
        [](const BudgetRow& row) { return row.name; },
        [](const BudgetRow& row) {
          const HeartbeatBudget budget({});
          CPPUNIT_ASSERT(budget.Interval(row.bytes_per_round) == row.interval);
          CPPUNIT_ASSERT_EQUAL(row.holds, budget.Holds(row.bytes_per_round));
        })});

const testing::Story kDigest(
    "a load",
    {ForEach<LoadRow>(
        "is told again or not when",
        {{"nothing changed", kKnown, false},
         {"one stream of sixteen came",
          With([](auto& load) { load.running = 9; }), false},
         {"two came", With([](auto& load) { load.running = 10; }), true},
         {"little memory was taken",
          With([](auto& load) { load.free_kv_tokens = 31000; }), false},
         {"an eighth of the memory was taken",
          With([](auto& load) { load.free_kv_tokens = 30000; }), true},
         {"a queue began", With([](auto& load) { load.queued = 1; }), true},
         {"it leaves", With([](auto& load) { load.leaving = true; }), true},
         {"the work ahead changed by less than a decision",
          With([](auto& load) { load.work_ahead = 440ms; }), false},
         {"the work ahead grew by half",
          With([](auto& load) { load.work_ahead = 600ms; }), true},
         {"its streams became slower",
          With([](auto& load) { load.token_interval = 40ms; }), true},
         {"its limit changed", With([](auto& load) { load.limit = 15; }),
          true}},
        [](const LoadRow& row) { return row.name; },
        [](const LoadRow& row) {
          CPPUNIT_ASSERT_EQUAL(row.material,
                               ChangedMaterially(kKnown, row.load));
        })});

}  // namespace
}  // namespace acacialug::heartbeat
