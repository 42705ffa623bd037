#include "agent_process/internal/engine_timings.h"

#include <cppunit/extensions/HelperMacros.h>

#include "agent_process/metric_definitions.h"
#include "framework/testing/story.h"

namespace acacialug::agent_process {
namespace {

using testing::ForEach;

const AttemptId kAttempt{.request = {.high = 1}};
constexpr Instant kStart{1h};

// The inputs of the timings, each 10 ms after the one before.
using Step = std::variant<engine::EngineCommand, engine::EngineEvent>;

struct Row {
  std::string name;
  std::vector<Step> steps;
  // Values recorded, and their sum in milliseconds.
  metrics::HistogramDefinition histogram;
  std::uint64_t count;
  double milliseconds;
};

const engine::EngineCommand kDecode = engine::Decode{.attempt = kAttempt};
const engine::EngineEvent kText = engine::Text{.attempt = kAttempt};

const testing::Story kTimings(
    "the timings of an engine",
    {ForEach<Row>(
        "measure",
        {{"a prefill",
          {engine::EngineCommand(engine::Prefill{.attempt = kAttempt}),
           engine::EngineEvent(engine::PrefillDone{.attempt = kAttempt})},
          kEnginePrefillSeconds,
          1,
          10},
         {"a call",
          {engine::EngineCommand(engine::Call{.attempt = kAttempt}),
           engine::EngineEvent(engine::CallDone{.attempt = kAttempt})},
          kEngineCallSeconds,
          1,
          10},
         {"a stream's first text",
          {kDecode, kText, kText,
           engine::EngineEvent(engine::StreamDone{.attempt = kAttempt})},
          kEngineFirstTextSeconds,
          1,
          10},
         {"the intervals after it",
          {kDecode, kText, kText, kText,
           engine::EngineEvent(engine::StreamDone{.attempt = kAttempt})},
          kEngineTextIntervalSeconds,
          2,
          20},
         {"nothing of a failed attempt",
          {kDecode,
           engine::EngineEvent(engine::AttemptFailed{.attempt = kAttempt}),
           kText},
          kEngineFirstTextSeconds,
          0,
          0},
         {"nothing of an aborted attempt",
          {kDecode, engine::EngineCommand(engine::Abort{.attempt = kAttempt}),
           kText},
          kEngineFirstTextSeconds,
          0,
          0}},
        [](const Row& row) { return row.name; },
        [](const Row& row) {
          metrics::Registry registry;
          EngineTimings timings(registry);
          Instant now = kStart;
          for (const Step& step : row.steps) {
            if (const auto* command =
                    std::get_if<engine::EngineCommand>(&step)) {
              timings.OnCommand(*command, now);
            } else {
              timings.OnEvent(std::get<engine::EngineEvent>(step), now);
            }
            now += 10ms;
          }
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, timings.size());
          const metrics::Snapshot snapshot = registry.Read();
          const auto& data = std::get<metrics::HistogramData>(
              *snapshot.Find(std::string(row.histogram.name), {}));
          CPPUNIT_ASSERT_EQUAL(row.count, data.Count());
          CPPUNIT_ASSERT_DOUBLES_EQUAL(row.milliseconds, data.sum * 1000, 1e-6);
        })});

}  // namespace
}  // namespace acacialug::agent_process
