#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <optional>

#include "framework/testing/story.h"
#include "standin/fakes/fake_platform.h"
#include "standin/fakes/modelled_engine.h"
#include "standin/reference_answer.h"

namespace acacialug::standin {
namespace {

using testing::ForEach;
using testing::It;

// A virtual clock with tasks.
struct Clock {
  Instant now{};
  std::multimap<Instant, std::function<void()>> tasks;

  FakeOptions Options() {
    return {.now = [this] { return this->now; },
            .schedule =
                [this](Duration delay, std::function<void()> task) {
                  this->tasks.emplace(this->now + delay, std::move(task));
                }};
  }
  void RunFor(Duration length) {
    const Instant end = this->now + length;
    while (!this->tasks.empty() && this->tasks.begin()->first <= end) {
      auto next = this->tasks.extract(this->tasks.begin());
      this->now = next.key();
      next.mapped()();
    }
    this->now = end;
  }
};

struct LogRow {
  std::string name;
  FakeFaults faults;
  ResultCode code;
  std::size_t records;
};

const testing::Story kPlatform(
    "a fake of the platform",
    {ForEach<LogRow>(
         "appends",
         {{"late", {.delay = 10ms, .late = 10ms}, ResultCode::kOk, 1},
          {"nothing when out of reach",
           {.unreachable = true},
           ResultCode::kPlatformUnavailable,
           0},
          {"nothing, unresolved, when the request is lost",
           {.lose_request_share = 1},
           ResultCode::kAppendUnresolved,
           0},
          {"and leaves it unresolved when the answer is lost",
           {.lose_share = 1},
           ResultCode::kAppendUnresolved,
           1}},
         [](const LogRow& row) { return row.name; },
         [](const LogRow& row) {
           Clock clock;
           RandomSource random(1);
           LogModel model({});
           FakeLog log(model, random, clock.Options());
           log.faults = row.faults;
           ResultCode code = ResultCode::kInternal;
           log.Append("s", "x", [&](const Result<LogOffset>& done) {
             code = done.ok() ? ResultCode::kOk : done.error().result_code();
           });
           CPPUNIT_ASSERT(code == ResultCode::kInternal);  // never from inside
           clock.RunFor(30ms);
           CPPUNIT_ASSERT(code == row.code);
           log.faults = {};
           std::size_t records = 9;
           log.ReadFrom("s", LogOffset(1), 10, {},
                        [&](const Result<cluster::ILog::Read>& read) {
                          records = read->records.size();
                        });
           clock.RunFor(0ms);
           CPPUNIT_ASSERT_EQUAL(row.records, records);
         }),
     It("holds a read until a record comes, or its time is up",
        [] {
          Clock clock;
          RandomSource random(1);
          LogModel model({});
          FakeLog log(model, random, clock.Options());
          std::vector<std::size_t> records;
          const auto read = [&](std::uint64_t from) {
            log.ReadFrom("s", LogOffset(from), 10, 1s,
                         [&](const Result<cluster::ILog::Read>& done) {
                           records.push_back(done->records.size());
                         });
          };
          read(1);
          clock.RunFor(500ms);
          CPPUNIT_ASSERT(records.empty());
          CPPUNIT_ASSERT(model.Append("s", "x", clock.now).ok());
          clock.RunFor(10ms);
          CPPUNIT_ASSERT(records == std::vector<std::size_t>({1}));
          read(2);
          clock.RunFor(1s);
          CPPUNIT_ASSERT(records == std::vector<std::size_t>({1, 0}));
        }),
     It("drops records of age, but keeps counting their offsets",
        [] {
          LogModel model({.retain_age = 1s});
          CPPUNIT_ASSERT(model.Append("s", "a", Instant()).ok());
          const auto at = Instant(1s);
          const auto read = model.ReadFrom("s", LogOffset(1), 10, at);
          CPPUNIT_ASSERT(read->first_kept == LogOffset(2));
          CPPUNIT_ASSERT(*model.Append("s", "b", at) == LogOffset(2));
        }),
     It("limits the rate of appends",
        [] {
          LogModel model({.appends_per_second = 10});
          int appended = 0;
          for (int turn = 0; turn < 40; ++turn) {
            appended += model.Append("s", "x", Instant(turn * 25ms)).ok();
          }
          CPPUNIT_ASSERT_EQUAL(19, appended);  // 10, and 10 a second in 0.975 s
        }),
     It("shows changes of hosts after their lag",
        [] {
          HostListModel model({.lag = 2s});
          model.Set(HostId("h"), cluster::HostState::kLeaving, Instant());
          CPPUNIT_ASSERT(model.Read(Instant(1999ms)).empty());
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, model.Read(Instant(2s)).size());
        }),
     It("takes back a permit whose lease lapsed", [] {
       WeightStoreModel model({.permits = 1, .lease = 3s});
       CPPUNIT_ASSERT(model.Acquire(EndpointId("a"), Instant()).ok());
       CPPUNIT_ASSERT(!model.Acquire(EndpointId("b"), Instant(2s)).ok());
       CPPUNIT_ASSERT(model.Acquire(EndpointId("b"), Instant(3s)).ok());
     })});

// Two engines in virtual time, with their events.
struct Pair {
  Instant now{};
  RandomSource random{3};
  KvNetwork network;
  ModelledEngine prefill{this->Options("p"), this->random, this->network};
  ModelledEngine decode{this->Options("d"), this->random, this->network};
  std::vector<engine::EngineEvent> events;

  Pair() {
    for (ModelledEngine* engine : {&this->prefill, &this->decode}) {
      engine->SetOnEvent([this](const engine::EngineEvent& event) {
        this->events.push_back(event);
      });
    }
  }
  ModelledEngine::Options Options(const std::string& id) {
    return {.engine = {.id = id}, .now = [this] { return this->now; }};
  }
  void RunFor(Duration length) {
    const Instant end = this->now + length;
    while (this->now < end) {
      this->prefill.Deliver();
      this->decode.Deliver();
      this->now = std::max(this->now, std::min({end, this->prefill.next_event(),
                                                this->decode.next_event()}));
    }
  }
  template <typename Event>
  std::vector<Event> Outputs() const {
    std::vector<Event> output;
    for (const engine::EngineEvent& event : this->events) {
      if (const auto* one = std::get_if<Event>(&event)) {
        output.push_back(*one);
      }
    }
    return output;
  }
};

const AttemptId kAttempt{.request = {.high = 1, .low = 2},
                         .attempt = AttemptNumber(1),
                         .entry = Incarnation(9)};
const protocol::GenerationRequest kGeneration{.body = R"({"prompt":"p"})",
                                              .max_tokens = 4};

const testing::Story kEngines(
    "a modelled engine",
    {It("prefills and streams as an agent requests",
        [] {
          Pair pair;
          pair.prefill.Execute(
              engine::Prefill{.attempt = kAttempt, .generation = kGeneration});
          pair.RunFor(100ms);
          const auto done = pair.Outputs<engine::PrefillDone>();
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, done.size());
          pair.decode.Execute(engine::Decode{.attempt = kAttempt,
                                             .generation = kGeneration,
                                             .kv = done[0].kv});
          pair.RunFor(1s);
          std::string text;
          for (const engine::Text& part : pair.Outputs<engine::Text>()) {
            text += part.text;
          }
          CPPUNIT_ASSERT_EQUAL(MakeReferenceAnswer("p", 4).text, text);
          CPPUNIT_ASSERT_EQUAL(
              4U, pair.Outputs<engine::StreamDone>().at(0).usage.output_tokens);
          CPPUNIT_ASSERT(pair.prefill.engine_model().held().empty());
        }),
     It("reports nothing more of an aborted attempt",
        [] {
          Pair pair;
          pair.decode.SetOnEvent([&](const engine::EngineEvent& event) {
            pair.events.push_back(event);
            pair.decode.Execute(engine::Abort{.attempt = kAttempt});
          });
          pair.decode.Execute(
              engine::Decode{.attempt = kAttempt, .generation = kGeneration});
          pair.RunFor(1s);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pair.events.size());
          CPPUNIT_ASSERT(pair.decode.engine_model().held().empty());
        }),
     It("handles the commands of a stall when it ends",
        [] {
          Pair pair;
          pair.decode.engine_model().Stall(pair.now + 1s, pair.now);
          pair.decode.Execute(engine::ListHeld{});
          pair.RunFor(999ms);
          CPPUNIT_ASSERT(pair.events.empty());
          pair.RunFor(2ms);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                               pair.Outputs<engine::Held>().size());
        }),
     It("counts a plain service's executions", [] {
       Instant now{};
       RandomSource random(5);
       ModelledService service({.service = {}, .now = [&now] { return now; }},
                               random);
       std::vector<engine::EngineEvent> events;
       service.SetOnEvent([&events](const engine::EngineEvent& event) {
         events.push_back(event);
       });
       service.Execute(
           engine::Call{.attempt = kAttempt,
                        .request = {.method = "POST",
                                    .headers = {{"Idempotency-Key", "k"}}}});
       now = service.next_event();
       service.Deliver();
       CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
       CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                            service.service_model().executions().at("k"));
     })});

}  // namespace
}  // namespace acacialug::standin
