#include "agent_process/permitted_engine.h"

#include <cppunit/extensions/HelperMacros.h>

#include "framework/testing/story.h"

namespace acacialug::agent_process {
namespace {

using testing::It;

struct FakeEngine : engine::IEngine {
  int orders = 0;
  int others = 0;
  std::function<void(const engine::EngineEvent&)> send_event;

  void Execute(const engine::EngineCommand& command) override {
    ++(std::holds_alternative<engine::Order>(command) ? this->orders
                                                      : this->others);
  }
  void SetOnEvent(
      std::function<void(const engine::EngineEvent&)> hook) override {
    this->send_event = std::move(hook);
  }
};

struct FakeStore : cluster::IWeightStore {
  std::vector<std::function<void(Result<Duration>)>> waiting;
  int released = 0;

  void Acquire(const EndpointId&,
               std::function<void(Result<Duration>)> on_done) override {
    this->waiting.push_back(std::move(on_done));
  }
  void Release(const EndpointId&) override { ++this->released; }
  void Answer(const Result<Duration>& permit) {
    auto on_done = std::move(this->waiting.front());
    this->waiting.erase(this->waiting.begin());
    on_done(permit);
  }
};

struct Bench {
  FakeEngine* engine = nullptr;
  FakeStore* store = nullptr;
  Instant now{1s};
  std::vector<ResultCode> answers;  // to the orders
  std::unique_ptr<PermittedEngine> permitted;

  Bench() {
    auto own_engine = std::make_unique<FakeEngine>();
    auto own_store = std::make_unique<FakeStore>();
    this->engine = own_engine.get();
    this->store = own_store.get();
    this->permitted = std::make_unique<PermittedEngine>(
        PermittedEngine::Options{.endpoint = EndpointId("d1"),
                                 .engine = std::move(own_engine),
                                 .store = std::move(own_store),
                                 .now = [this] { return this->now; }});
    this->permitted->SetOnEvent([this](const engine::EngineEvent& event) {
      if (const auto* done = std::get_if<engine::OrderDone>(&event)) {
        this->answers.push_back(done->code);
      }
    });
  }
  void Order() { this->permitted->Execute(engine::Order{}); }
  void TellLoading(bool loading) {
    this->engine->send_event(engine::EngineState{.loading = loading});
  }
};

const testing::Story kPermits(
    "an order",
    {It("waits for a permit, and is checked again before it is executed",
        [] {
          Bench bench;
          bench.Order();
          bench.Order();
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.store->waiting.size());
          bench.store->Answer(Duration(30s));
          CPPUNIT_ASSERT_EQUAL(0, bench.engine->orders);
          CPPUNIT_ASSERT(std::vector<ResultCode>{ResultCode::kOverloaded} ==
                         bench.answers);
          bench.Order();
          CPPUNIT_ASSERT_EQUAL(1, bench.engine->orders);
          bench.TellLoading(true);
          CPPUNIT_ASSERT_EQUAL(0, bench.store->released);
          bench.TellLoading(false);
          bench.TellLoading(false);
          CPPUNIT_ASSERT_EQUAL(1, bench.store->released);
        }),
     // Guards against an agent that loads while others hold all permits: the
     // lease of its permit ends while the process is stalled, and the permit
     // counts as held until it is released.
     It("needs a new permit when the lease of the old one has ended",
        [] {
          Bench bench;
          bench.Order();
          bench.store->Answer(Duration(30s));
          bench.now += 31s;
          bench.Order();
          CPPUNIT_ASSERT_EQUAL(0, bench.engine->orders);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.store->waiting.size());
        }),
     It("is refused with the store's own code; other commands pass through",
        [] {
          Bench bench;
          bench.Order();
          bench.store->Answer(Error(ResultCode::kPlatformUnavailable));
          CPPUNIT_ASSERT(
              std::vector<ResultCode>{ResultCode::kPlatformUnavailable} ==
              bench.answers);
          bench.permitted->Execute(engine::ListHeld{});
          CPPUNIT_ASSERT_EQUAL(1, bench.engine->others);
        })});

}  // namespace
}  // namespace acacialug::agent_process
