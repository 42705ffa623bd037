#include "agent/internal/decode_memory.h"
#include "agent/internal/token_pace.h"
#include "agent/internal/transfer_link.h"
#include "agent/tests/agent_bench.h"

namespace acacialug::agent {
namespace {

using testing::It;
using enum ReservationPolicy;
using Start = DecodeMemory::Start;

DecodeMemory MemoryOf(ReservationPolicy policy) {
  return DecodeMemory({.kv_tokens = 300,
                       .slots = 2,
                       .policy = policy,
                       .reservation_limit = 30s});
}

// Each stream has 100 tokens, and `ends` holds the predicted ends.
DecodeMemory Running(ReservationPolicy policy, std::vector<Duration> ends) {
  DecodeMemory memory = MemoryOf(policy);
  for (std::uint64_t i = 0; i < ends.size(); ++i) {
    memory.Reserve(Attempt(i + 1), {.kv_tokens = 100}, kNow);
    memory.StartStream(Attempt(i + 1), 100, kNow + ends[i], kNow);
  }
  return memory;
}

template <typename... Ends>
std::vector<Duration> EndsIn(Ends... ends) {
  return {ends...};
}
DecodeMemory::Need NeedOf(std::uint64_t tokens,
                          Duration ready_in = 0s,
                          Duration start_within = 0s) {
  return {tokens, ready_in, start_within};
}

struct ReserveCase {
  std::string name;
  ReservationPolicy policy;
  std::vector<Duration> running;  // predicted ends of the running streams
  DecodeMemory::Need need;
  bool granted;
  Duration when;  // granted: available_in; else retry_after
};

const testing::Story kMemory(
    "a decode memory",
    {Cases<ReserveCase>(
         "asked for a reservation",
         {{"holds what is free", kHold, EndsIn(1s), NeedOf(200), true},
          {"refuses without a slot until the first stream ends", kHold,
           EndsIn(4s, 2s), NeedOf(100, 0s, 10s), false, 2s},
          {"refuses without the tokens until enough streams end", kHold,
           EndsIn(4s, 2s), NeedOf(300, 0s, 10s), false, 4s},
          {"gives no retry time for a request that never fits", kHold, EndsIn(),
           NeedOf(301), false},
          {"holds also when the prefill comes first", kNone, EndsIn(1s),
           NeedOf(200), true},
          {"promises the first predicted end", kPromise, EndsIn(4s, 2s),
           NeedOf(100, 0s, 3s), true, 2s},
          {"promises no earlier than the prefill is done", kPromise,
           EndsIn(4s, 2s), NeedOf(100, 3s, 3s), true, 3s},
          {"does not promise beyond the latest start", kPromise, EndsIn(4s, 2s),
           NeedOf(100, 0s, 1s), false, 2s},
          {"expects a stream past its predicted end to end soon", kHold,
           EndsIn(-5s, 9s), NeedOf(100), false, 20ms}},
         [](const ReserveCase& row) {
           DecodeMemory memory = Running(row.policy, row.running);
           const auto answer = memory.Reserve(Attempt(9), row.need, kNow);
           CPPUNIT_ASSERT_EQUAL(row.granted, answer.granted);
           CPPUNIT_ASSERT_EQUAL(
               row.when.count(),
               (row.granted ? answer.available_in : answer.retry_after)
                   .count());
         }),
     It("does not promise the same capacity twice",
        [] {
          DecodeMemory memory = Running(kPromise, {2s, 4s});
          const DecodeMemory::Need need{.kv_tokens = 100, .start_within = 9s};
          CHECK(memory.Reserve(Attempt(8), need, kNow).available_in == 2s);
          CHECK(memory.Reserve(Attempt(9), need, kNow).available_in == 4s);
        }),
     It("lets a promised stream wait for one that outlasts its prediction",
        [] {
          DecodeMemory memory = Running(kPromise, {2s, 4s});
          memory.Reserve(Attempt(9), {.kv_tokens = 100, .start_within = 9s},
                         kNow);
          const auto start = [&] {
            return memory.StartStream(Attempt(9), 100, kNow + 9s, kNow + 3s);
          };
          CHECK(start() == Start::kMustWait);
          memory.Release(Attempt(1), kNow + 3s);
          CHECK(start() == Start::kStarted);
          CHECK(start() == Start::kNotReserved);
        }),
     It("answers a repeated reservation alike and counts it once",
        [] {
          DecodeMemory memory = MemoryOf(kHold);
          CHECK(memory.Reserve(Attempt(1), {100}, kNow).granted);
          CHECK(memory.Reserve(Attempt(1), {100}, kNow).granted);
          CHECK(memory.free_tokens() == 200);
          memory.Release(Attempt(1), kNow);
          memory.Release(Attempt(1), kNow);
          CHECK(memory.free_tokens() == 300);
        }),
     // Guards against an endpoint that fills up with unused reservations: an
     // entry reserves, and its prefill never ends, so a reservation needs a
     // time limit of its own.
     It("lets an unused reservation lapse, but not a running stream",
        [] {
          DecodeMemory memory = Running(kHold, {99s});
          memory.Reserve(Attempt(2), {100}, kNow + 1s);
          CHECK(memory.next_timer() == kNow + 31s);
          CHECK(memory.Expire(kNow + 99s) == Attempts{Attempt(2)});
          CHECK(memory.free_tokens() == 200);
          CHECK(memory.StartStream(Attempt(2), 100, kNow, kNow) ==
                Start::kNotReserved);
        }),
     It("covers a longer stream than was reserved only from free memory",
        [] {
          DecodeMemory memory = Running(kHold, {9s});
          memory.Reserve(Attempt(2), {100}, kNow);
          CHECK(memory.StartStream(Attempt(2), 201, kNow, kNow) ==
                Start::kNotReserved);
          CHECK(memory.StartStream(Attempt(2), 200, kNow, kNow) ==
                Start::kStarted);
          CHECK(memory.free_tokens() == 0);
        }),
     It("keeps what it holds when its bounds shrink, and takes no more", [] {
       DecodeMemory memory = Running(kHold, {9s});
       memory.Reserve(Attempt(2), {100}, kNow);
       memory.SetBounds(50, 1);
       CHECK(memory.free_tokens() == 0);
       CHECK(memory.StartStream(Attempt(2), 100, kNow, kNow) ==
             Start::kStarted);
       CHECK(!memory.Reserve(Attempt(3), {1}, kNow).granted);
     })});

struct WindowCase {
  std::string name;
  std::uint64_t booked;  // bytes, ready at once
  std::uint64_t bytes;
  Duration ready_in;
  bool granted;
  Duration retry_after{};
};

// At 1000 bytes per second, a byte takes a millisecond.
const testing::Story kLink(
    "a transfer link",
    {Cases<WindowCase>(
         "asked for a window",
         {{"grants the first", 0, 700, 1s, true},
          {"queues a transfer that ends within the export's lifetime", 400, 400,
           0s, true},
          {"refuses a transfer that would end after that lifetime", 400, 500,
           0s, false, 100ms},
          {"finds the gap before a later window", 100, 1000, 1s, true},
          {"begins a transfer that exceeds the lifetime at once", 0, 5000, 0s,
           true},
          {"refuses a transfer that exceeds the lifetime and would have to "
           "wait",
           1, 5000, 0s, false, 1ms},
          {"grants a request without a transfer", 800, 0, 0s, true}},
         [](const WindowCase& row) {
           TransferLink link(
               {.bytes_per_second = 1000, .export_lifetime = 800ms});
           CHECK(link.Book(Attempt(1), row.booked, 0s, kNow).granted);
           const auto answer =
               link.Book(Attempt(9), row.bytes, row.ready_in, kNow);
           CPPUNIT_ASSERT_EQUAL(row.granted, answer.granted);
           CHECK(answer.retry_after == row.retry_after);
         }),
     // Guards against the eviction of finished prefills after the loss of a
     // decode endpoint: their reservations are lost, and in the order of
     // arrival the windows of the other links would belong to prefills that are
     // still to be computed.
     It("grants a ready transfer before a later one, but not before a ready "
        "one",
        [] {
          TransferLink link(
              {.bytes_per_second = 1000, .export_lifetime = 800ms});
          for (std::uint64_t later = 1; later <= 4; ++later) {
            CHECK(link.Book(Attempt(later), 400, 1ms, kNow).granted ==
                  (later <= 2));
          }
          CHECK(link.Book(Attempt(5), 500, 0s, kNow).granted);
          CHECK(!link.Book(Attempt(6), 500, 0s, kNow).granted);
        }),
     It("shifts a window to the start of its transfer, and frees it", [] {
       TransferLink link({.bytes_per_second = 1000, .export_lifetime = 800ms});
       link.Book(Attempt(1), 800, 5s, kNow);
       link.Begin(Attempt(1), kNow + 1s);
       CHECK(!link.Book(Attempt(2), 800, 0s, kNow + 1s).granted);
       CHECK(link.Book(Attempt(2), 800, 4s, kNow + 1s).granted);
       link.Release(Attempt(1));
       CHECK(link.Book(Attempt(3), 800, 0s, kNow + 1s).granted);
     })});

const testing::Story kPace(
    "a token pace",
    {It("predicts by the pace and the length of recent streams", [] {
      TokenPace pace(10ms);
      CHECK(pace.Remaining(10, 110) == 1s);
      for (int i = 0; i < 500; ++i) {
        pace.OnTokens(40ms, 2);
        pace.OnTokens(1h, 0);
        pace.OnFinished(50, 100);
      }
      CPPUNIT_ASSERT_DOUBLES_EQUAL(0.020, Seconds(pace.interval()), 1e-4);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(0.8, Seconds(pace.Remaining(10, 100)), 1e-2);
      CHECK(pace.Remaining(1000, 100) >= 19ms);  // overdue: soon
    })});

}  // namespace
}  // namespace acacialug::agent
