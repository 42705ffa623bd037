#include "entry_process/internal/process_state.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "entry_process/internal/entry_measures.h"
#include "entry_process/internal/models_page.h"
#include "entry_process/metric_definitions.h"
#include "framework/testing/story.h"

namespace acacialug::entry_process {
namespace {

using manifest::Manifest;
using testing::It;

const Instant kStart = Instant(1000s);

Manifest TwoServices() {
  Manifest manifest{.offset = LogOffset(7), .version = "v7"};
  manifest.services = {
      {.name = ServiceName("lm"),
       .kind = manifest::ServiceKind::kModel,
       .models = {ModelName("m1"), ModelName("m2")},
       .classes = {{.name = "batch", .first_token = 10s},
                   {.name = "interactive",
                    .first_token = 1s,
                    .token_interval = 100ms}}},
      {.name = ServiceName("app"), .classes = {{.name = "desk"}}}};
  manifest.endpoints = {
      {.id = EndpointId("e-lm"), .service = ServiceName("lm")},
      {.id = EndpointId("e-app"), .service = ServiceName("app")}};
  manifest.callers = {
      {.caller = CallerName("suite"), .latency_class = "interactive"}};
  return manifest;
}

ProcessState::Options TwoShards() {
  return {.entry = EntryId("entry-1"),
          .shards = 2,
          .ready_wait = 10s,
          .started = kStart};
}

void Connect(ProcessState& state, int shard, const char* endpoint) {
  state.board(shard).SetWelcomed(EndpointId(endpoint), Incarnation(5));
}

const testing::Story kReadiness(
    "an entry process",
    {It("is not ready without a manifest, or with an unserved service",
        [] {
          ProcessState state(TwoShards());
          CPPUNIT_ASSERT(!state.CheckReady(kStart).ready);
          state.SetManifest(std::make_shared<const Manifest>(TwoServices()));
          for (int shard : {0, 1}) {
            Connect(state, shard, "e-lm");
          }
          Connect(state, 0, "e-app");  // not in shard 1
          const Readiness readiness = state.CheckReady(kStart);
          CPPUNIT_ASSERT(!readiness.ready);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, readiness.unserved.size());
          CPPUNIT_ASSERT_EQUAL(std::string("app"), readiness.unserved[0].text);
          Connect(state, 1, "e-app");
          CPPUNIT_ASSERT(state.CheckReady(kStart).ready);
        }),
     // Guards against lookups that fail although their service is healthy: all
     // endpoints of the model service die, and every entry leaves the balancer
     // because readiness always requires an agent of every service.
     It("stays ready when one of its services loses all agents",
        [] {
          ProcessState state(TwoShards());
          state.SetManifest(std::make_shared<const Manifest>(TwoServices()));
          for (int shard : {0, 1}) {
            Connect(state, shard, "e-lm");
            Connect(state, shard, "e-app");
          }
          CPPUNIT_ASSERT(state.CheckReady(kStart).ready);
          for (int shard : {0, 1}) {
            state.board(shard).SetClosed(EndpointId("e-lm"));
          }
          CPPUNIT_ASSERT(state.CheckReady(kStart).ready);
          for (int shard : {0, 1}) {
            state.board(shard).Remove(EndpointId("e-app"));
          }
          CPPUNIT_ASSERT(!state.CheckReady(kStart).ready);
        }),
     It("is ready without a dead service when it has waited long enough",
        [] {
          ProcessState state(TwoShards());
          state.SetManifest(std::make_shared<const Manifest>(TwoServices()));
          for (int shard : {0, 1}) {
            Connect(state, shard, "e-app");
          }
          CPPUNIT_ASSERT(!state.CheckReady(kStart + 9s).ready);
          CPPUNIT_ASSERT(state.CheckReady(kStart + 10s).ready);
        }),
     It("is not ready while it drains, and drained when all shards are",
        [] {
          ProcessState state(TwoShards());
          state.SetManifest(std::make_shared<const Manifest>(Manifest{}));
          CPPUNIT_ASSERT(state.CheckReady(kStart).ready);
          state.BeginDrain();
          CPPUNIT_ASSERT(!state.CheckReady(kStart).ready);
          state.board(0).SetRequests(0, true);
          state.board(1).SetRequests(3, false);
          CPPUNIT_ASSERT(!state.AllDrained());
          CPPUNIT_ASSERT_EQUAL(std::size_t{3}, state.AliveRequests());
        }),
     It("shows its shards, endpoints and manifest on one page",
        [] {
          ProcessState state(TwoShards());
          state.SetManifest(std::make_shared<const Manifest>(TwoServices()));
          Connect(state, 1, "e-lm");
          state.board(1).SetLoad(EndpointId("e-lm"), {.running = 4});
          const auto page =
              nlohmann::json::parse(state.RenderStatus(kStart + 2s));
          CPPUNIT_ASSERT(page["manifest"]["offset"] == 7);
          CPPUNIT_ASSERT(page["uptime_ms"] == 2000);
          CPPUNIT_ASSERT(page["shards"][1]["endpoints"]["e-lm"]["connected"]);
          CPPUNIT_ASSERT(
              page["shards"][1]["endpoints"]["e-lm"]["load"]["running"] == 4);
        }),
     It("lists the manifest's models, and knows each by its name", [] {
       const Manifest manifest = TwoServices();
       const auto list = nlohmann::json::parse(RenderModels(manifest));
       CPPUNIT_ASSERT(list["data"].size() == 2);
       CPPUNIT_ASSERT(list["data"][1]["id"] == "m2");
       CPPUNIT_ASSERT(RenderModel(manifest, "m1").ok());
       CPPUNIT_ASSERT(RenderModel(manifest, "m3").error().result_code() ==
                      ResultCode::kUnknownModel);
     })});

RequestTrace TraceOf(const Manifest& manifest, const char* caller) {
  return BeginTrace(&manifest, manifest.FindService(ServiceName("lm")),
                    CallerName(caller), "", kStart);
}

std::uint64_t Count(const metrics::Registry& registry,
                    const std::string& family,
                    const metrics::LabelValues& labels) {
  const metrics::Snapshot snapshot = registry.Read();
  const metrics::SeriesValue* value = snapshot.Find(family, labels);
  return value == nullptr ? 0 : std::get<std::uint64_t>(*value);
}

struct TargetRow {
  std::string name;
  Duration first_token;
  Duration answer;  // from the first text to the last
  std::uint64_t good;
  std::uint64_t missed_first;
  std::uint64_t missed_interval;
};

const testing::Story kMeasures(
    "the measures of an entry",
    {testing::ForEach<TargetRow>(
         "count goodput only within both targets:",
         {{"both met", 1s, 900ms, 1, 0, 0},
          {"first token late", 1001ms, 900ms, 0, 1, 0},
          {"tokens too slow", 1s, 909ms, 0, 0, 1},
          {"both missed", 2s, 2s, 0, 1, 1}},
         [](const TargetRow& row) { return row.name; },
         [](const TargetRow& row) {
           metrics::Registry registry;
           EntryMeasures measures(registry);
           const Manifest manifest = TwoServices();
           RequestTrace trace = TraceOf(manifest, "suite");
           trace.OnText(kStart + row.first_token);
           trace.OnText(kStart + row.first_token + row.answer);
           measures.OnGenerationCompleted(trace, 10, kStart + 1h);
           const auto count = [&](const std::string& family,
                                  const metrics::LabelValues& labels) {
             return Count(registry, family, labels);
           };
           const std::string lm = "lm";
           const std::string fast = "interactive";
           CPPUNIT_ASSERT_EQUAL(
               std::uint64_t{1},
               count("acacialug_requests_total", {lm, fast, "completed"}));
           CPPUNIT_ASSERT_EQUAL(row.good,
                                count("acacialug_goodput_total", {lm, fast}));
           CPPUNIT_ASSERT_EQUAL(row.missed_first,
                                count("acacialug_target_missed_total",
                                      {lm, fast, "first_token"}));
           CPPUNIT_ASSERT_EQUAL(row.missed_interval,
                                count("acacialug_target_missed_total",
                                      {lm, fast, "token_interval"}));
         }),
     It("count a prefill as wasted when no completed answer used it", [] {
       metrics::Registry registry;
       EntryMeasures measures(registry);
       const Manifest manifest = TwoServices();
       RequestTrace completed = TraceOf(manifest, "anyone");
       completed.OnPrefilled(100);
       completed.OnPrefilled(40);
       measures.OnGenerationCompleted(completed, 1, kStart);
       RequestTrace failed = TraceOf(manifest, "anyone");
       failed.OnPrefilled(30);
       measures.OnError(failed, ResultCode::kExportExpired,
                        protocol::Outcome::kNotRun);
       measures.OnLatePrefill("lm", 5);
       const std::string family = "acacialug_wasted_prefill_tokens_total";
       CPPUNIT_ASSERT(Count(registry, family, {"lm", "repeated"}) == 100);
       CPPUNIT_ASSERT(Count(registry, family, {"lm", "export_expired"}) == 30);
       CPPUNIT_ASSERT(Count(registry, family, {"lm", "late"}) == 5);
       CPPUNIT_ASSERT(
           Count(registry, "acacialug_prefill_tokens_total", {"lm"}) == 175);
     })});

}  // namespace
}  // namespace acacialug::entry_process
