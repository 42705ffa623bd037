#include "quota/quota_ledger.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "framework/testing/story.h"

namespace acacialug::quota {
namespace {

using acacialug::testing::It;

constexpr Instant kStart{1h};
constexpr CustomerKey kCustomer{7};
constexpr Incarnation kIncarnation{1};

// The ledger of one process, and the customer's limit.
struct TestProcess {
  explicit TestProcess(double spare = 0)
      : ledger({.quota_of = [this](CustomerKey) { return this->quota; },
                .tolerance = {.spare = spare}}) {
    // The settling time starts with this report.
    this->ledger.OnPeerReport("other", kIncarnation, {}, kStart);
  }

  // Takes requests of this size until one is refused, at most 1000; returns the
  // number of those granted.
  std::size_t TakeAll(double amount, Instant now) {
    std::size_t granted = 0;
    while (granted < 1000 &&
           this->ledger.Take(kCustomer, amount, now).granted) {
      ++granted;
    }
    return granted;
  }
  void ReceiveReport(const std::string& peer, Instant now) {
    this->ledger.OnPeerReport(peer, kIncarnation, {}, now);
  }

  Quota quota{.per_second = 100, .burst = 200};
  QuotaLedger ledger;
};

// Two processes past their settling time, with a report from each other.
struct Pair {
  Pair() {
    for (TestProcess* const process : {&this->one, &this->other}) {
      process->ReceiveReport("other", this->now);
    }
    this->other.ReceiveReport("one", kStart);
  }
  void SendReport() {
    this->other.ledger.OnPeerReport(
        "one", kIncarnation, this->one.ledger.CollectReports(0, 8, this->now),
        this->now);
  }

  Instant now = kStart + 10s;
  TestProcess one;
  TestProcess other;
};

const acacialug::testing::Story kAlone(
    "the ledger of a process",
    {It("grants the burst, and then the rate",
        [] {
          TestProcess process;
          Instant now = kStart + 10s;
          process.ReceiveReport("other", now);
          CPPUNIT_ASSERT_EQUAL(std::size_t{20}, process.TakeAll(10, now));
          now += 1s;
          process.ReceiveReport("other", now);
          CPPUNIT_ASSERT_EQUAL(std::size_t{10}, process.TakeAll(10, now));
        }),
     It("starts with a part of the burst, since peers may have just used "
        "theirs",
        [] {
          TestProcess process;
          CPPUNIT_ASSERT_EQUAL(std::size_t{10}, process.TakeAll(10, kStart));
        }),
     It("gives each refused request a distinct retry time",
        [] {
          TestProcess process;
          process.TakeAll(10, kStart);
          Duration last{};
          for (int attempt = 0; attempt < 5; ++attempt) {
            const auto verdict = process.ledger.Take(kCustomer, 10, kStart);
            CPPUNIT_ASSERT(!verdict.granted);
            CPPUNIT_ASSERT(verdict.retry_after > last);
            last = verdict.retry_after;
          }
        }),
     It("grants a request larger than the burst, which uses up the burst",
        [] {
          TestProcess process;
          const Instant now = kStart + 10s;
          process.ReceiveReport("other", now);
          CPPUNIT_ASSERT(process.ledger.Take(kCustomer, 500, now).granted);
          CPPUNIT_ASSERT(!process.ledger.Take(kCustomer, 1, now).granted);
        }),
     It("applies a lowered limit at once",
        [] {
          TestProcess process;
          const Instant now = kStart + 10s;
          process.ReceiveReport("other", now);
          CPPUNIT_ASSERT(process.ledger.Take(kCustomer, 10, now).granted);
          process.quota = {.per_second = 10, .burst = 20};
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, process.TakeAll(10, now));
        }),
     It("grants everything where there is no limit",
        [] {
          TestProcess process;
          process.quota = {};
          CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, process.TakeAll(10, kStart));
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, process.ledger.size());
        }),
     It("drops the accounts of idle customers", [] {
       TestProcess process;
       process.TakeAll(10, kStart);
       process.ledger.Sweep(kStart + 29s);
       CPPUNIT_ASSERT_EQUAL(std::size_t{1}, process.ledger.size());
       process.ledger.Sweep(kStart + 31s);
       CPPUNIT_ASSERT_EQUAL(std::size_t{0}, process.ledger.size());
     })});

const acacialug::testing::Story kTogether(
    "usage reported by a peer",
    {It("is charged here once, also if reports are repeated or lost",
        [] {
          Pair pair;
          CPPUNIT_ASSERT(
              pair.one.ledger.Take(kCustomer, 150, pair.now).granted);
          pair.SendReport();
          pair.SendReport();
          CPPUNIT_ASSERT_EQUAL(std::size_t{5},
                               pair.other.TakeAll(10, pair.now));
        }),
     It("is available again after a refund",
        [] {
          Pair pair;
          pair.one.ledger.Take(kCustomer, 150, pair.now);
          pair.SendReport();
          pair.one.ledger.Refund(kCustomer, 150, pair.now);
          pair.SendReport();
          CPPUNIT_ASSERT_EQUAL(std::size_t{20},
                               pair.other.TakeAll(10, pair.now));
        }),
     It("from before this process started follows from the reported amount "
        "left",
        [] {
          TestProcess running;
          Instant now = kStart + 10s;
          running.ReceiveReport("other", now);
          running.ledger.Take(kCustomer, 190, now);
          now += 5s;
          running.ReceiveReport("other", now);
          running.ledger.Take(kCustomer, 190, now);
          TestProcess started;
          started.ledger.OnPeerReport("running", kIncarnation,
                                      running.ledger.CollectReports(0, 8, now),
                                      now);
          CPPUNIT_ASSERT(!started.ledger.Take(kCustomer, 20, now).granted);
        }),
     It("counts from zero in a new incarnation", [] {
       Pair pair;
       pair.one.ledger.Take(kCustomer, 50, pair.now);
       pair.other.ledger.OnPeerReport(
           "one", Incarnation(2),
           pair.one.ledger.CollectReports(0, 8, pair.now), pair.now);
       CPPUNIT_ASSERT_EQUAL(std::size_t{15}, pair.other.TakeAll(10, pair.now));
     })});

const acacialug::testing::Story kCut(
    "an unresponsive peer",
    {It("keeps its share of the limit, and this process the other",
        [] {
          TestProcess process;
          Instant now = kStart + 10s;
          process.ReceiveReport("other", now);
          process.TakeAll(10, now);
          // No more reports: half of the limit of ten seconds, apart from the
          // first moments.
          for (int step = 0; step < 500; ++step) {
            now += 20ms;
            process.ledger.Sweep(now);
            process.TakeAll(1, now);
          }
          CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, process.ledger.share(), 0.001);
          std::size_t granted = 0;
          for (int step = 0; step < 500; ++step) {
            now += 20ms;
            granted += process.TakeAll(1, now);
          }
          CPPUNIT_ASSERT(granted >= 490 && granted <= 510);
        }),
     It("releases its unused share when it reports again",
        [] {
          TestProcess process;
          Instant now = kStart + 10s;
          process.ReceiveReport("other", now);
          process.TakeAll(1, now);
          for (int step = 0; step < 150; ++step) {
            now += 20ms;
            process.TakeAll(1, now);
          }
          process.ReceiveReport("other", now);
          CPPUNIT_ASSERT(process.TakeAll(1, now) >= 100);
        }),
     It("leaves capacity for one request if the tolerance includes it", [] {
       TestProcess process(/*spare=*/2000);
       Instant now = kStart;
       for (int peer = 0; peer < 39; ++peer) {
         process.ReceiveReport("p" + std::to_string(peer), now);
       }
       now += 10s;
       // Of a burst of 200, each of 40 processes has 5.
       CPPUNIT_ASSERT_EQUAL(std::size_t{1}, process.TakeAll(50, now));
     })});

}  // namespace
}  // namespace acacialug::quota
