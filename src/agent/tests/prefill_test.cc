#include "agent/internal/prefill_forecast.h"
#include "agent/internal/prefill_queue.h"
#include "agent/internal/prefix_memory.h"
#include "agent/tests/agent_bench.h"

namespace acacialug::agent {
namespace {

using testing::It;

const testing::Story kForecast(
    "a prefill forecast",
    {It("learns the rate from an engine that shares its compute",
        [] {
          PrefillForecast forecast(1000);
          Instant now = kNow;
          for (std::uint64_t i = 0; i < 300; i += 2) {
            forecast.OnDispatched(Attempt(i), 500, now);
            forecast.OnDispatched(Attempt(i + 1), 500, now);
            now += 100ms;  // both end together: 10000 tokens a second
            forecast.OnFinished(Attempt(i), 500, now);
            forecast.OnFinished(Attempt(i + 1), 500, now);
            now += 1s;  // idle time does not change the rate
          }
          CPPUNIT_ASSERT_DOUBLES_EQUAL(10000, forecast.tokens_per_second(),
                                       1000);
          CHECK(forecast.Remaining(now) == 0s);
        }),
     It("counts the dispatched prefills, and not the dropped prefills",
        [] {
          PrefillForecast forecast(1000);
          forecast.OnDispatched(Attempt(1), 500, kNow);
          forecast.OnDispatched(Attempt(2), 500, kNow);
          CHECK(forecast.Remaining(kNow + 200ms) == 800ms);
          forecast.OnDropped(Attempt(1), kNow + 200ms);
          CHECK(forecast.Remaining(kNow + 200ms) == 500ms);
        }),
     It("has a margin at the 0.9 quantile of errors, which decays over time",
        [] {
          PrefillForecast forecast(1000);
          for (int i = 0; i < 32; ++i) {
            forecast.OnError(i < 28 ? -1s : 400ms, kNow);
          }
          CHECK(forecast.margin(kNow) == 0s);
          forecast.OnError(400ms, kNow);
          CHECK(forecast.margin(kNow) == 400ms);
          CHECK(forecast.margin(kNow + PrefillForecast::kMarginHalfLife) ==
                200ms);
        })});

struct OrderCase {
  std::string name;
  PrefillOrder order;
  std::vector<std::uint64_t> expected;  // requests
};

QueuedPrefill Waiting(std::uint64_t request,
                      Duration deadline,
                      std::int32_t priority = 0) {
  QueuedPrefill prefill{.start = {.attempt = Attempt(request)},
                        .work = 100,
                        .latest_start = kNow + deadline - 1s,
                        .deadline = kNow + deadline};
  prefill.start.generation.priority = priority;
  return prefill;
}

const testing::Story kQueue(
    "a prefill queue",
    {Cases<OrderCase>("in the order of",
                      {{"arrival", PrefillOrder::kArrival, {4, 1, 2, 3}},
                       {"deadline", PrefillOrder::kDeadline, {4, 2, 3, 1}},
                       {"newest", PrefillOrder::kNewest, {4, 3, 2, 1}}},
                      [](const OrderCase& row) {
                        PrefillQueue queue(9, PrefillQueue::HookOf(row.order));
                        queue.Add(Waiting(1, 9s));
                        queue.Add(Waiting(2, 3s));
                        queue.Add(Waiting(3, 6s));
                        queue.Add(Waiting(
                            4, 20s, -1));  // a smaller priority goes first
                        std::vector<std::uint64_t> order;
                        while (const auto next = queue.TakeNext()) {
                          order.push_back(next->start.attempt.request.low);
                        }
                        CHECK(order == row.expected);
                        CPPUNIT_ASSERT_EQUAL(0.0, queue.total_work());
                      }),
     It("counts only the work that would run first",
        [] {
          PrefillQueue queue(9, PrefillQueue::HookOf(PrefillOrder::kDeadline));
          queue.Add(Waiting(1, 3s));
          queue.Add(Waiting(2, 9s));
          CPPUNIT_ASSERT_EQUAL(100.0, queue.WorkBefore(Waiting(3, 6s)));
          CPPUNIT_ASSERT_EQUAL(0.0, queue.WorkBefore(Waiting(3, 1s)));
        }),
     It("drops prefills that can no longer be done in time", [] {
       PrefillQueue queue(9, PrefillQueue::HookOf(PrefillOrder::kArrival));
       queue.Add(Waiting(1, 9s));
       queue.Add(Waiting(2, 3s));
       CHECK(queue.next_timer() == kNow + 2s);
       CHECK(queue.Expire(kNow + 2s).size() == 1);
       CHECK(queue.attempts() == Attempts{Attempt(1)});
     })});

const testing::Story kPrefixes(
    "a prefix memory",
    {It("expects a known prefix to be cached as often as the engine confirms "
        "it",
        [] {
          PrefixMemory memory(3);
          memory.OnComputed({1, 2}, {.prompt_tokens = 200});
          CPPUNIT_ASSERT_EQUAL(200.0, memory.CachedTokens({1, 2, 7, 8}, 400));
          CPPUNIT_ASSERT_EQUAL(0.0, memory.CachedTokens({7, 1}, 400));
          CPPUNIT_ASSERT_EQUAL(0.0, memory.CachedTokens({}, 400));
          // The engine evicts the whole prefix each time.
          for (int i = 0; i < 100; ++i) {
            memory.OnComputed({1, 2}, {.prompt_tokens = 200});
          }
          CHECK(memory.CachedTokens({1, 2}, 400) < 1.0);
          memory.OnComputed({3, 4}, {.prompt_tokens = 200});
          CPPUNIT_ASSERT_EQUAL(0.0, memory.CachedTokens({1, 2}, 400));
        })});

const testing::Story kAdmission(
    "a prefill endpoint",
    {TraceCases(
         "asked for half a second of work",
         {{"admits a prefill that it can finish in time", Prefiller(),
           Prefills(1, 500ms), "prefill 1", 1},
          {"refuses a deadline that is too short for the prefill itself",
           Prefiller(), Prefills(1, 499ms), "refused 1 deadline_unreachable"},
          {"counts the work ahead", Prefiller(),
           Prefills(1) + Prefills(2) + Prefills(3, 1499ms) +
               Prefills(4, 1500ms),
           "prefill 1, refused 3 deadline_unreachable", 3},
          {"ignores the work ahead as a baseline", Prefiller(false),
           Prefills(1) + Prefills(2) + Prefills(3, 500ms), "prefill 1", 3},
          {"refuses beyond its queue", Prefiller(),
           Prefills(1) + Prefills(2) + Prefills(3) + Prefills(4),
           "prefill 1, refused 4 overloaded", 3},
          {"refuses a deadline long past", Prefiller(), Prefills(1, -9s),
           "refused 1 deadline_unreachable"},
          {"admits without overflow", Prefiller(), Prefills(1, Duration::max()),
           "prefill 1", 1},
          // Guards against prefills that miss their target although each was
          // found feasible: the engine slows down, and a prediction without a
          // margin is wrong until the new rate is learned.
          {"adds a margin once its predictions were too early", Prefiller(),
           Prefills(1, 9s, 100) + Advances(500ms) + PrefillEnds(1) +
               Prefills(2, 530ms, 100) + Prefills(3, 550ms, 100),
           "prefill 1, prefilled 1, refused 2 deadline_unreachable, prefill 3",
           2}}),
     TraceCases(
         "whose engine",
         {// Guards against a late refusal of queued work, which occurs when the
          // queue is checked only at the end of a prefill.
          {"stalls, refuses queued work in time and fails the stalled prefill",
           Prefiller(), Prefills(1) + Prefills(2, 2s) + Advances(20s),
           "prefill 1, refused 2 deadline_unreachable, "
           "failed 1 engine_failed unknown, abort 1"},
          // Guards against an agent with a long lease that stalls past the
          // stall timeout and then aborts a prefill whose end is in its socket.
          {"ends a prefill during a stall of the agent, gets it reported",
           [] {
             AgentOptions options = Prefiller();
             options.session_lease = 1h;
             return options;
           }(),
           Prefills(1) + Stalls(20s) + PrefillEnds(1), "prefill 1, prefilled 1",
           1},
          {"stays unresponsive after a stall of the agent, fails its prefill",
           [] {
             AgentOptions options = Prefiller();
             options.session_lease = 1h;
             return options;
           }(),
           Prefills(1) + Stalls(20s) + Advances(1s),
           "prefill 1, failed 1 engine_failed unknown, abort 1"},
          {"ends a prefill, gets the next", Prefiller(),
           Prefills(1) + Prefills(2) + PrefillEnds(1),
           "prefill 1, prefill 2, prefilled 1", 2},
          {"fails a prefill, gets the next", Prefiller(),
           Prefills(1) + Prefills(2) + Fails(1),
           "prefill 1, failed 1 engine_failed unknown, prefill 2", 1},
          {"is ordered to abort a prefill, gets the next", Prefiller(),
           Prefills(1) + Prefills(2) + Cancels(1),
           "prefill 1, abort 1, prefill 2", 1},
          // Guards against a stream that fails although its prefill was done in
          // time: its transfer begins within the lifetime of the export and
          // ends after it because other transfers share the link, so the export
          // must not be freed during the transfer.
          {"keeps an export for a transfer past its lifetime, gets no abort",
           Prefiller(), Prefills(1) + PrefillEnds(1) + Advances(800ms),
           "prefill 1, prefilled 1", 1},
          {"keeps an export for longer than a transfer may stall, must free it",
           Prefiller(), Prefills(1) + PrefillEnds(1) + Advances(5800ms),
           "prefill 1, prefilled 1, abort 1"},
          {"exports for no known attempt, must free it", Prefiller(),
           PrefillEnds(7), "abort 7"}})});

}  // namespace
}  // namespace acacialug::agent
