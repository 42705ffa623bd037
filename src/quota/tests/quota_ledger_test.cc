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
constexpr Incarnation kLife{1};

// A ledger of a process, and its limit.
struct Book {
  explicit Book(double spare = 0)
      : ledger({.quota_of = [this](CustomerKey) { return this->quota; },
                .tolerance = {.spare = spare}}) {
    // Only what is told counts for the age of a process.
    this->ledger.OnPeerReport("other", kLife, {}, kStart);
  }

  // Takes as many requests of this size as there are at once.
  std::size_t TakeAll(double amount, Instant now) {
    std::size_t granted = 0;
    while (granted < 1000 &&
           this->ledger.Take(kCustomer, amount, now).granted) {
      ++granted;
    }
    return granted;
  }
  void Hear(const std::string& peer, Instant now) {
    this->ledger.OnPeerReport(peer, kLife, {}, now);
  }

  Quota quota{.per_second = 100, .burst = 200};
  QuotaLedger ledger;
};

// Two processes that have long heard each other.
struct Pair {
  Pair() {
    for (Book* const book : {&this->one, &this->other}) {
      book->Hear("other", this->now);
    }
    this->other.Hear("one", kStart);
  }
  void Tell() {
    this->other.ledger.OnPeerReport(
        "one", kLife, this->one.ledger.CollectReports(0, 8, this->now),
        this->now);
  }

  Instant now = kStart + 10s;
  Book one;
  Book other;
};

const acacialug::testing::Story kAlone(
    "the ledger of a process",
    {It("grants the burst, and then the rate",
        [] {
          Book book;
          Instant now = kStart + 10s;
          book.Hear("other", now);
          CPPUNIT_ASSERT_EQUAL(std::size_t{20}, book.TakeAll(10, now));
          now += 1s;
          book.Hear("other", now);
          CPPUNIT_ASSERT_EQUAL(std::size_t{10}, book.TakeAll(10, now));
        }),
     It("begins with a part of the burst: others may just have taken theirs",
        [] {
          Book book;
          CPPUNIT_ASSERT_EQUAL(std::size_t{10}, book.TakeAll(10, kStart));
        }),
     It("tells each who is refused a time of its own",
        [] {
          Book book;
          book.TakeAll(10, kStart);
          Duration last{};
          for (int asked = 0; asked < 5; ++asked) {
            const auto verdict = book.ledger.Take(kCustomer, 10, kStart);
            CPPUNIT_ASSERT(!verdict.granted);
            CPPUNIT_ASSERT(verdict.retry_after > last);
            last = verdict.retry_after;
          }
        }),
     It("lets a request that is larger than the burst have all of it",
        [] {
          Book book;
          const Instant now = kStart + 10s;
          book.Hear("other", now);
          CPPUNIT_ASSERT(book.ledger.Take(kCustomer, 500, now).granted);
          CPPUNIT_ASSERT(!book.ledger.Take(kCustomer, 1, now).granted);
        }),
     It("goes by a lowered limit at once",
        [] {
          Book book;
          const Instant now = kStart + 10s;
          book.Hear("other", now);
          CPPUNIT_ASSERT(book.ledger.Take(kCustomer, 10, now).granted);
          book.quota = {.per_second = 10, .burst = 20};
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, book.TakeAll(10, now));
        }),
     It("grants everything where there is no limit",
        [] {
          Book book;
          book.quota = {};
          CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, book.TakeAll(10, kStart));
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, book.ledger.size());
        }),
     It("keeps nothing of customers that are idle", [] {
       Book book;
       book.TakeAll(10, kStart);
       book.ledger.Sweep(kStart + 29s);
       CPPUNIT_ASSERT_EQUAL(std::size_t{1}, book.ledger.size());
       book.ledger.Sweep(kStart + 31s);
       CPPUNIT_ASSERT_EQUAL(std::size_t{0}, book.ledger.size());
     })});

const acacialug::testing::Story kTogether(
    "what a peer took",
    {It("is taken here too, once, whatever is told twice or lost",
        [] {
          Pair pair;
          CPPUNIT_ASSERT(
              pair.one.ledger.Take(kCustomer, 150, pair.now).granted);
          pair.Tell();
          pair.Tell();
          CPPUNIT_ASSERT_EQUAL(std::size_t{5},
                               pair.other.TakeAll(10, pair.now));
        }),
     It("and gave back is free again",
        [] {
          Pair pair;
          pair.one.ledger.Take(kCustomer, 150, pair.now);
          pair.Tell();
          pair.one.ledger.Refund(kCustomer, 150, pair.now);
          pair.Tell();
          CPPUNIT_ASSERT_EQUAL(std::size_t{20},
                               pair.other.TakeAll(10, pair.now));
        }),
     It("before this process began is learned from what it says is left",
        [] {
          Book veteran;
          Instant now = kStart + 10s;
          veteran.Hear("other", now);
          veteran.ledger.Take(kCustomer, 190, now);
          now += 5s;
          veteran.Hear("other", now);
          veteran.ledger.Take(kCustomer, 190, now);
          Book newcomer;
          newcomer.ledger.OnPeerReport(
              "veteran", kLife, veteran.ledger.CollectReports(0, 8, now), now);
          CPPUNIT_ASSERT(!newcomer.ledger.Take(kCustomer, 20, now).granted);
        }),
     It("in another life counts from nothing", [] {
       Pair pair;
       pair.one.ledger.Take(kCustomer, 50, pair.now);
       pair.other.ledger.OnPeerReport(
           "one", Incarnation(2),
           pair.one.ledger.CollectReports(0, 8, pair.now), pair.now);
       CPPUNIT_ASSERT_EQUAL(std::size_t{15}, pair.other.TakeAll(10, pair.now));
     })});

const acacialug::testing::Story kCut(
    "a peer that has gone silent",
    {It("keeps its part of the limit, and this process the other",
        [] {
          Book book;
          Instant now = kStart + 10s;
          book.Hear("other", now);
          book.TakeAll(10, now);
          // Heard no more: half of ten seconds' limit, less the first instants.
          for (int step = 0; step < 500; ++step) {
            now += 20ms;
            book.ledger.Sweep(now);
            book.TakeAll(1, now);
          }
          CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, book.ledger.share(), 0.001);
          std::size_t granted = 0;
          for (int step = 0; step < 500; ++step) {
            now += 20ms;
            granted += book.TakeAll(1, now);
          }
          CPPUNIT_ASSERT(granted >= 490 && granted <= 510);
        }),
     It("gives back what it did not use when it is heard again",
        [] {
          Book book;
          Instant now = kStart + 10s;
          book.Hear("other", now);
          book.TakeAll(1, now);
          for (int step = 0; step < 150; ++step) {
            now += 20ms;
            book.TakeAll(1, now);
          }
          book.Hear("other", now);
          CPPUNIT_ASSERT(book.TakeAll(1, now) >= 100);
        }),
     It("leaves room for one request, if that is spared", [] {
       Book book(/*spare=*/2000);
       Instant now = kStart;
       for (int peer = 0; peer < 39; ++peer) {
         book.Hear("p" + std::to_string(peer), now);
       }
       now += 10s;
       // Of a burst of 200, 40 processes have 5 each.
       CPPUNIT_ASSERT_EQUAL(std::size_t{1}, book.TakeAll(50, now));
     })});

}  // namespace
}  // namespace acacialug::quota
