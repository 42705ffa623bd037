#include "agent/internal/engine_orders.h"
#include "agent/internal/maintenance_permission.h"
#include "agent/internal/stream_flow.h"
#include "agent/tests/agent_bench.h"

namespace acacialug::agent {
namespace {

using testing::It;

const testing::Story kFlow(
    "a stream's flow",
    {It("sends a window beyond the acknowledged chunk, and pauses there", [] {
      StreamFlow flow(4);
      std::string sent;
      const auto acknowledge = [&](std::uint64_t through) {
        flow.Acknowledge(SequenceNumber(through));
        for (const auto& chunk : flow.TakeSendable()) {
          sent += std::to_string(chunk.sequence.value);
        }
        const auto change = flow.TakePauseChange();
        sent += !change ? "" : *change ? "p" : "r";
      };
      for (int i = 0; i < 7; ++i) {
        flow.Add("x", 1);
        acknowledge(99);  // was never sent
      }
      for (const std::uint64_t through : {0, 0, 99, 4, 4, 5}) {
        acknowledge(through);
        sent += ";";
      }
      CPPUNIT_ASSERT_EQUAL(std::string("0123p4;;;56r;;;"), sent);
      CHECK(flow.chunks() == SequenceNumber(7));
    })});

Steps Lists(const Attempts& held) {
  return Step([=](AgentBench& bench) { bench.in_engine = held; });
}

const testing::Story kAudit(
    "an agent beside an engine",
    {// Guards against an engine that looks full after a restart of its agent:
     // the agent dies while streams run, its successor does not know them, and
     // no other process may cancel them.
     It("takes no work until it has aborted its predecessor's attempts",
        [] {
          AgentBench bench(Decoder(), false);
          bench.Connect(kSession, kEntry);
          Reserves(1).Play(bench);
          bench.Deliver(engine::Held{{Attempt(8), Attempt(9)}});
          Reserves(2).Play(bench);
          CPPUNIT_ASSERT_EQUAL(
              std::string("welcome, refused 1 not_ready, abort 8, abort 9, "
                          "reserved 2"),
              bench.Trace());
        }),
     It("lists again with a growing delay when the listing fails or is lost",
        [] {
          AgentBench bench(Decoder(), false);
          std::vector<Duration> waits;
          for (int i = 0; i < 8; ++i) {
            const Instant requested_at = bench.now;
            if (i != 0) {  // the first listing gets no answer
              bench.Deliver(engine::ListFailed{});
            }
            bench.now = bench.core.next_timer();
            bench.core.OnTimer(bench.now);
            bench.Trace();
            CHECK(bench.listings == 1);
            waits.push_back(bench.now - requested_at);
          }
          CHECK(waits == (std::vector<Duration>{2s, 100ms, 200ms, 400ms, 800ms,
                                                1600ms, 3200ms, 5s}));
        }),
     TraceCases(
         "that lists",
         {{"a stream which just ended does not abort it, but aborts others",
           Decoder(),
           Reserves(1) + Streams(1) + Reserves(2) + Streams(2) +
               Advances(4900ms) + Texts(1) + StreamEnds(2) +
               Lists({Attempt(1), Attempt(2), Attempt(3)}) + Advances(4s),
           "reserved 1, decode 1, reserved 2, decode 2, chunk 1:0, "
           "ended 2:0, abort 3",
           1},
          {"an attempt that it released long ago aborts it again", Decoder(),
           Reserves(1) + Streams(1) + Advances(1s) + Cancels(1) +
               Lists({Attempt(1)}) + Advances(9s),
           "reserved 1, decode 1, abort 1, abort 1"}})});

engine::Order Wanted(std::uint64_t fencing_token) {
  return {.fencing_token = LogOffset(fencing_token),
          .model = ModelName("m"),
          .version = "2",
          .adapters = {"a:1", "b:1"},
          .role = "decode"};
}

struct StateCase {
  std::string name;
  std::function<void(engine::EngineState&)> change;  // from the wanted state
  bool fit;
  bool ordered_when_idle;
  bool ordered_when_busy;
};

engine::EngineState StateOf(const engine::Order& order,
                            const std::string& version = "2") {
  return {.fencing_token = order.fencing_token,
          .model = order.model,
          .version = version,
          .adapters = order.adapters,
          .role = order.role};
}

const testing::Story kOrders(
    "orders to an engine",
    {Cases<StateCase>(
         "whose state",
         {{"is as wanted, send nothing", [](auto&) {}, true, false, false},
          {"lists adapters in another order, send nothing",
           [](auto& s) { std::swap(s.adapters[0], s.adapters[1]); }, true,
           false, false},
          {"lacks an adapter, send it at once",
           [](auto& s) { s.adapters.pop_back(); }, true, true, true},
          {"is another version, wait for the running attempts",
           [](auto& s) { s.version = "1"; }, false, true, false},
          {"is another role, wait for the running attempts",
           [](auto& s) { s.role = "prefill"; }, false, true, false},
          {"is still loading, wait", [](auto& s) { s.loading = true; }, false,
           false, false},
          {"follows a newer manifest, do not revert it",
           [](auto& s) { s = StateOf(Wanted(6), "3"); }, false, false, false},
          {"cannot be read, send nothing",
           [](auto& s) { s = {.code = ResultCode::kEngineUnavailable}; }, true,
           false, false}},
         [](const StateCase& row) {
           for (const bool idle : {true, false}) {
             RandomSource random(1);
             EngineOrders orders({}, random);
             orders.SetWanted(Wanted(5), kNow);
             CHECK(std::holds_alternative<engine::ReadState>(
                 *orders.TakeDue(idle, kNow)));
             engine::EngineState state = StateOf(Wanted(5));
             row.change(state);
             orders.OnState(state, kNow);
             CPPUNIT_ASSERT_EQUAL(row.fit, orders.fit());
             const auto command = orders.TakeDue(idle, kNow);
             CPPUNIT_ASSERT_EQUAL(
                 idle ? row.ordered_when_idle : row.ordered_when_busy,
                 command && std::holds_alternative<engine::Order>(*command));
             CHECK(orders.next_timer() > kNow);
           }
         }),
     // Guards against an engine that goes back to an old version: an order
     // waits for running streams while a newer manifest arrives, so its content
     // must be determined when it is sent and not when it is found necessary.
     It("carry the state that is wanted when they are sent, and are read back",
        [] {
          RandomSource random(1);
          EngineOrders orders({}, random);
          orders.SetWanted(Wanted(5), kNow);
          orders.TakeDue(true, kNow);
          orders.OnState(StateOf(Wanted(5), "1"), kNow);
          CHECK(!orders.TakeDue(false, kNow));
          orders.SetWanted(Wanted(7), kNow);
          orders.SetWanted(Wanted(6), kNow);  // older: no effect
          orders.TakeDue(true, kNow);
          orders.OnState(StateOf(Wanted(5), "1"), kNow);
          const auto order =
              std::get<engine::Order>(*orders.TakeDue(true, kNow));
          CHECK(order.fencing_token == LogOffset(7));
          orders.OnOrderDone({.fencing_token = order.fencing_token}, kNow);
          CHECK(orders.TakeDue(true, kNow).has_value());
          orders.OnState(StateOf(Wanted(7)), kNow);
          CHECK(orders.confirmed());
        }),
     It("keep new work away until the engine has the wanted model", [] {
       AgentBench bench(Decoder());
       auto manifest = std::make_shared<manifest::Manifest>();
       manifest->offset = LogOffset(5);
       manifest->services = {{.name = ServiceName("s"),
                              .kind = manifest::ServiceKind::kModel,
                              .models = {ModelName("m")},
                              .model_version = "2"}};
       manifest->endpoints = {{.id = EndpointId("x"),
                               .service = ServiceName("s"),
                               .role = EndpointRole::kDecode}};
       engine::EngineState state = {
           .model = ModelName("m"), .version = "1", .role = "decode"};
       (Reserves(1) + Streams(1) +
        Step([&](AgentBench& b) { b.core.OnManifest(manifest, b.now); }) +
        EngineReports(state) + Reserves(2) + StreamEnds(1) +
        EngineReports(engine::OrderDone{.fencing_token = manifest->offset}))
           .Play(bench);
       state.version = "2";
       bench.Deliver(state);
       Reserves(3).Play(bench);
       CPPUNIT_ASSERT_EQUAL(
           std::string("reserved 1, decode 1, read, refused 2 not_ready, "
                       "ended 1:0, order 2, read, reserved 3"),
           bench.Trace());
     })});

struct MaintenanceCase {
  std::string name;
  std::function<void(engine::EngineState&)> change;  // from the wanted state
  maintenance::MaintenanceIntent intent;
  bool fit;      // without a maintenance slot
  bool ordered;  // without a maintenance slot, when idle
};

const testing::Story kMaintenanceOrders(
    "orders that wait in the maintenance queue",
    {Cases<MaintenanceCase>(
         "to an engine whose state",
         {{"is as wanted, request no maintenance", [](auto&) {},
           maintenance::MaintenanceIntent::kNone, true, false},
          {"is an older version, wait while it serves",
           [](auto& s) { s.version = "1"; },
           maintenance::MaintenanceIntent::kEnter, true, false},
          {"lacks an adapter, wait while it serves",
           [](auto& s) { s.adapters.pop_back(); },
           maintenance::MaintenanceIntent::kEnter, true, false},
          {"is another model, which serves no request, are sent",
           [](auto& s) { s.model = ModelName("other"); },
           maintenance::MaintenanceIntent::kKeep, false, true},
          {"is another role, which serves no request, are sent",
           [](auto& s) { s.role = "prefill"; },
           maintenance::MaintenanceIntent::kKeep, false, true},
          {"is loading, keep the place in the maintenance queue",
           [](auto& s) { s.loading = true; },
           maintenance::MaintenanceIntent::kKeep, false, false},
          {"follows a newer manifest, leave the maintenance queue as it is",
           [](auto& s) { s = StateOf(Wanted(6), "3"); },
           maintenance::MaintenanceIntent::kKeep, true, false}},
         [](const MaintenanceCase& row) {
           RandomSource random(1);
           EngineOrders orders({.use_maintenance_queue = true}, random);
           orders.SetWanted(Wanted(5), kNow);
           orders.TakeDue(true, kNow);
           engine::EngineState state = StateOf(Wanted(5));
           row.change(state);
           orders.OnState(state, kNow);
           CHECK(orders.maintenance_intent() == row.intent);
           CPPUNIT_ASSERT_EQUAL(row.fit, orders.fit());
           const auto command = orders.TakeDue(true, kNow);
           CPPUNIT_ASSERT_EQUAL(
               row.ordered,
               command && std::holds_alternative<engine::Order>(*command));
           CHECK(orders.next_timer() > kNow);
         }),
     // Guards against streams that break off when a new version is rolled out:
     // the endpoint is granted maintenance while it streams, and the order
     // would fail the running streams.
     It("keep new work away once maintenance is granted, and wait for streams",
        [] {
          RandomSource random(1);
          EngineOrders orders({.use_maintenance_queue = true}, random);
          orders.SetWanted(Wanted(5), kNow);
          orders.TakeDue(false, kNow);
          orders.OnState(StateOf(Wanted(5), "1"), kNow);
          CHECK(orders.fit());
          orders.SetMaintenanceGranted(true, kNow + 1s);
          CHECK(!orders.fit());
          CHECK(!orders.TakeDue(false, kNow + 9min));
          const auto command = orders.TakeDue(true, kNow + 9min);
          CHECK(std::holds_alternative<engine::Order>(*command));
          CHECK(!orders.fit());
        }),
     // Guards against a pool that stays small during an outage of the log: the
     // log becomes unavailable while an endpoint waits for its streams to end,
     // so the endpoint may no longer enter maintenance and would not serve
     // either.
     It("serve again when the grant cannot be confirmed before they are sent",
        [] {
          RandomSource random(1);
          EngineOrders orders({.use_maintenance_queue = true}, random);
          orders.SetWanted(Wanted(5), kNow);
          orders.TakeDue(false, kNow);
          orders.OnState(StateOf(Wanted(5), "1"), kNow);
          orders.SetMaintenanceGranted(true, kNow);
          orders.SetMaintenanceGranted(false, kNow + 6s);
          CHECK(orders.fit() && !orders.out());
          CHECK(!orders.TakeDue(true, kNow + 7s));
        }),
     // Guards against work for an engine that is loading: the log becomes
     // unavailable right after the order was sent, and the maintenance grant
     // alone would mean that the endpoint serves.
     It("do not resume service without the log once they are sent", [] {
       RandomSource random(1);
       EngineOrders orders({.use_maintenance_queue = true}, random);
       orders.SetWanted(Wanted(5), kNow);
       orders.TakeDue(true, kNow);
       orders.OnState(StateOf(Wanted(5), "1"), kNow);
       orders.SetMaintenanceGranted(true, kNow);
       CHECK(orders.TakeDue(true, kNow).has_value());
       orders.SetMaintenanceGranted(false, kNow + 6s);
       CHECK(!orders.fit() && orders.out());
     })});

struct RemainingPoolCase {
  std::string name;
  std::uint32_t running;  // of 10
  Duration watched;
  std::size_t others;  // in the pool
  bool spared;
};

const testing::Story kRemainingPool(
    "the remaining pool",
    {Cases<RemainingPoolCase>(
        "is required to carry the load",
        {{"of an endpoint that is half busy", 5, 60s, 3, true},
         {"up to its bound of four fifths", 6, 60s, 3, true},
         {"but no more than that bound", 7, 60s, 3, false},
         {"but not that of an endpoint in a pool of two", 5, 60s, 1, false},
         {"but not before the load was observed for long enough", 0, 5s, 3,
          false},
         {"but this is not checked for a sole endpoint", 0, 0s, 0, true}},
        [](const RemainingPoolCase& row) {
          AgentOptions options = Decoder();
          options.endpoint = EndpointId("x");
          RandomSource random(1);
          MaintenancePermission permission(options, random);
          manifest::Manifest manifest;
          manifest.services = {{.name = ServiceName("s"),
                                .kind = manifest::ServiceKind::kModel}};
          for (std::size_t number = 0; number <= row.others; ++number) {
            manifest.endpoints.push_back(
                {.id = EndpointId(number == 0 ? "x" : std::to_string(number)),
                 .service = ServiceName("s"),
                 .role = EndpointRole::kDecode});
          }
          permission.SetPool(manifest, manifest.endpoints[0], kNow);
          permission.NoteLoad({.running = row.running, .limit = 10}, kNow);
          const Instant now = kNow + row.watched;
          // The client appends its record, and reads no other record from the
          // log.
          maintenance::MaintenanceQueueClient& queue_client =
              permission.queue_client();
          queue_client.SetIntent(maintenance::MaintenanceIntent::kEnter, now);
          queue_client.OnTimer(now);
          queue_client.OnRead(cluster::ILog::Read{.next = LogOffset(1)}, now);
          std::string claim;
          for (const maintenance::MaintenanceAction& action :
               queue_client.TakeActions()) {
            if (const auto* append =
                    std::get_if<maintenance::AppendMaintenanceRecord>(
                        &action)) {
              claim = append->payload;
            }
          }
          queue_client.OnAppended(LogOffset(1), now);
          queue_client.OnRead(
              cluster::ILog::Read{.first_kept = LogOffset(1),
                                  .next = LogOffset(2),
                                  .records = {{LogOffset(1), claim}}},
              now);
          CPPUNIT_ASSERT_EQUAL(row.spared,
                               permission.MayLeaveService(true, false, now));
          CHECK(permission.MayLeaveService(false, true, now));
        })});

}  // namespace
}  // namespace acacialug::agent
