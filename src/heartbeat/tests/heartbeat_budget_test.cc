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
        "sets the interval to",
        {{"the shortest for few peers", 3000, 1s, true},
         {"the shortest without peers", 0, 1s, true},
         {"what the bytes require for more peers", 24000, 4s, true},
         {"the longest, and is kept, exactly at the bound", 60000, 10s, true},
         {"the longest, and is exceeded, above the bound", 60001, 10s, false},
         {"the longest when the result exceeds the range of the clock", 1e300,
          10s, false}},
        [](const BudgetRow& row) { return row.name; },
        [](const BudgetRow& row) {
          const HeartbeatBudget budget({});
          CPPUNIT_ASSERT(budget.Interval(row.bytes_per_round) == row.interval);
          CPPUNIT_ASSERT_EQUAL(row.holds, budget.Holds(row.bytes_per_round));
        })});

const testing::Story kDigest(
    "a load",
    {ForEach<LoadRow>(
        "is reported again, or not, when",
        {{"nothing changes", kKnown, false},
         {"one stream of at most sixteen is added",
          With([](auto& load) { load.running = 9; }), false},
         {"two streams are added", With([](auto& load) { load.running = 10; }),
          true},
         {"less than an eighth of the memory is taken",
          With([](auto& load) { load.free_kv_tokens = 31000; }), false},
         {"an eighth of the memory is taken",
          With([](auto& load) { load.free_kv_tokens = 30000; }), true},
         {"a queue begins", With([](auto& load) { load.queued = 1; }), true},
         {"the endpoint is leaving",
          With([](auto& load) { load.leaving = true; }), true},
         {"the work ahead changes too little to affect a decision",
          With([](auto& load) { load.work_ahead = 440ms; }), false},
         {"the work ahead grows by half",
          With([](auto& load) { load.work_ahead = 600ms; }), true},
         {"its streams become slower",
          With([](auto& load) { load.token_interval = 40ms; }), true},
         {"its limit changes", With([](auto& load) { load.limit = 15; }),
          true}},
        [](const LoadRow& row) { return row.name; },
        [](const LoadRow& row) {
          CPPUNIT_ASSERT_EQUAL(row.material,
                               ChangedMaterially(kKnown, row.load));
        })});

}  // namespace
}  // namespace acacialug::heartbeat
