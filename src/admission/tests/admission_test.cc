#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

#include "admission/adaptive_limit.h"
#include "admission/caller_rates.h"
#include "admission/fair_queue.h"
#include "admission/prediction_margin.h"
#include "framework/global/random_source.h"
#include "framework/testing/story.h"

namespace acacialug::admission {
namespace {

using testing::ForEach;
using testing::It;

Waiting Item(std::uint64_t number,
             const std::string& caller = "a",
             double share = 1.0) {
  return {.request = {.low = number},
          .caller = CallerName(caller),
          .share = share,
          .arrival = Instant(Duration(number)),
          .deadline = Instant(Duration((number * 7) % 5))};
}

struct Order {
  const char* name;
  OrderRule rule;
  std::vector<std::uint64_t> popped;  // of 1, 2, 3, 4
};

const testing::Story kQueue(
    "a fair queue",
    {ForEach<Order>(
         "serves a caller's requests",
         {{"by arrival", OrderByArrival(), {1, 2, 3, 4}},
          {"by deadline", OrderByDeadline(), {3, 1, 4, 2}},
          {"newest first", OrderByNewest(), {4, 3, 2, 1}}},
         [](const Order& order) { return std::string(order.name); },
         [](const Order& order) {
           FairQueue queue({.order = order.rule});
           for (std::uint64_t number = 1; number <= 4; ++number) {
             queue.Push(Item(number));
           }
           for (const std::uint64_t number : order.popped) {
             CPPUNIT_ASSERT_EQUAL(number, queue.Pop()->request.low);
           }
           CPPUNIT_ASSERT(!queue.Pop());
         }),
     It("serves callers by their shares, however many requests they queue",
        [] {
          FairQueue queue({.limit = 1000});
          for (std::uint64_t number = 0; number < 300; ++number) {
            queue.Push(Item(number, "greedy"));
            queue.Push(Item(1000 + number, "double", 2.0));
          }
          std::map<CallerName, int> served;
          for (int count = 0; count < 300; ++count) {
            ++served[queue.Pop()->caller];
          }
          CPPUNIT_ASSERT_EQUAL(100, served[CallerName("greedy")]);
          CPPUNIT_ASSERT_EQUAL(200, served[CallerName("double")]);
          queue.Push(Item(5000, "new"));  // has accumulated no credit
          CPPUNIT_ASSERT(queue.Pop()->caller == CallerName("new") ||
                         queue.Pop()->caller == CallerName("new") ||
                         queue.Pop()->caller == CallerName("new"));
        }),
     // Guards against one caller's flood that shuts out all others: when the
     // queue is full of that caller's requests and the newest request is
     // refused, every other caller's request is refused.
     It("that is full evicts the last request of the caller with the most",
        [] {
          FairQueue queue({.limit = 3});
          for (std::uint64_t number = 1; number <= 3; ++number) {
            CPPUNIT_ASSERT(!queue.Push(Item(number, "flood")));
          }
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                               queue.Push(Item(9, "other"))->low);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{4},
                               queue.Push(Item(4, "flood"))->low);
          CPPUNIT_ASSERT_EQUAL(std::size_t{3}, queue.size());
        }),
     It("returns a restored request to its old position", [] {
       FairQueue queue({});
       queue.Push(Item(1, "a"));
       queue.Push(Item(2, "b"));
       const Waiting first = *queue.Pop();
       queue.Restore(first);
       CPPUNIT_ASSERT(queue.Pop()->request == first.request);
       CPPUNIT_ASSERT(queue.Remove({.low = 2}));
       CPPUNIT_ASSERT(!queue.Remove({.low = 2}));
       CPPUNIT_ASSERT(queue.empty());
     })});

const testing::Story kRates(
    "the rate of a caller",
    {It("holds in total over entries that share no state", [] {
      constexpr int kEntries = 4;
      const manifest::CallerLimits limits{.caller = CallerName("a"),
                                          .requests_per_second = 40,
                                          .burst_seconds = 1};
      Instant now{1h};
      int allowed = 0;
      std::vector<CallerRates> entries(kEntries);
      for (CallerRates& entry : entries) {
        entry.SetShardCount(kEntries, now);
      }
      for (int step = 0; step < 1000; ++step) {
        now += 10ms;
        for (CallerRates& entry : entries) {
          allowed += entry.Take(limits, now) == Duration::zero() ? 1 : 0;
        }
      }
      CPPUNIT_ASSERT(allowed > 400 && allowed <= 440);  // 10 s, and a burst
      CPPUNIT_ASSERT(entries[0].Take(limits, now) <= 100ms);
    })});

const testing::Story kLimit(
    "an adaptive limit",
    {It("grows while latency is steady, falls when latency rises, and recovers",
        [] {
          AdaptiveLimit limit({.initial = 20});
          const auto run = [&limit](int count, double latency) {
            for (int step = 0; step < count; ++step) {
              while (limit.Admits()) {
                limit.Begin();
              }
              limit.EndMeasured(latency);
            }
            return limit.Limit();
          };
          const std::uint32_t usual = run(100, 1.0);
          CPPUNIT_ASSERT(usual > 20);
          const std::uint32_t slow = run(200, 10.0);
          CPPUNIT_ASSERT(slow < usual / 2);
          CPPUNIT_ASSERT(run(400, 1.0) > slow);
        }),
     // Guards against a service that admits no requests: a pool's first answer
     // took less than the clock's resolution, so that the gradient was 0/0 and
     // the limit NaN.
     It("still admits after a first latency of zero", [] {
       AdaptiveLimit limit({.initial = 20});
       limit.Begin();
       limit.EndMeasured(0.0);
       CPPUNIT_ASSERT(limit.Admits());
       limit.Begin();
       limit.EndMeasured(1.0);
       CPPUNIT_ASSERT_EQUAL(std::uint32_t{20}, limit.Limit());
     })});

const testing::Story kMargin(
    "a prediction margin",
    {It("settles where the configured share of the errors is below the margin",
        [] {
          PredictionMargin margin({.quantile = 0.9});
          RandomSource random(3);
          for (int count = 0; count < 5000; ++count) {
            margin.Note(FromSeconds(0.1 * random.Unit()));
          }
          CPPUNIT_ASSERT(margin.Margin() > 75ms && margin.Margin() < 105ms);
        }),
     // Guards against a margin that rises too slowly: above capacity, a third
     // of the answers missed their target by a little. Predictions were half a
     // second too early, an entry got two answers a second, and each raised the
     // margin by only a few milliseconds.
     It("follows an error far above the minimum step within twenty answers",
        [] {
          PredictionMargin margin({.quantile = 0.9});
          for (int count = 0; count < 20; ++count) {
            margin.Note(500ms);
          }
          CPPUNIT_ASSERT(margin.Margin() >= 500ms);
          CPPUNIT_ASSERT(margin.Margin() < 700ms);
        })});

}  // namespace
}  // namespace acacialug::admission
