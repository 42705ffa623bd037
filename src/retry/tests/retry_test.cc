#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "framework/testing/story.h"
#include "retry/outlier_ejection.h"
#include "retry/retry_budget.h"
#include "retry/stream_assembler.h"

namespace acacialug::retry {
namespace {

using testing::ForEach;
using testing::It;

const testing::Story kBudget(
    "a retry budget",
    // Guards against load that multiplies while a pool fails, because every
    // failed request is retried regardless of the number of successes.
    {It("allows its burst, then a share of the successes", [] {
      RetryBudget budget({.share = 0.5, .burst = 2});
      CPPUNIT_ASSERT(budget.TryTake() && budget.TryTake());
      CPPUNIT_ASSERT(!budget.TryTake());
      budget.NoteSuccess();
      CPPUNIT_ASSERT(!budget.TryTake());
      budget.NoteSuccess();
      CPPUNIT_ASSERT(budget.TryTake() && !budget.TryTake());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, budget.Refused());
    })});

struct Arrival {
  const char* name;
  std::vector<int> order;  // sequence numbers, as they arrive
  const char* text;
  bool complete;  // for an end after 4 chunks
};

const testing::Story kAssembler(
    "a stream assembler",
    {ForEach<Arrival>(
         "delivers each chunk once and in order when chunks arrive",
         {{"in order", {0, 1, 2, 3}, "0123", true},
          {"doubled", {0, 0, 1, 2, 1, 3, 3}, "0123", true},
          {"reordered", {3, 1, 0, 2}, "0123", true},
          {"with one lost", {0, 2, 3}, "0", false},
          {"far too early", {0, 900, 1, 2, 3}, "0123", true}},
         [](const Arrival& arrival) { return std::string(arrival.name); },
         [](const Arrival& arrival) {
           StreamAssembler assembler({});
           assembler.BeginAttempt();
           std::uint64_t index = 0;
           for (const int sequence : arrival.order) {
             for (const Piece& piece :
                  assembler.Take({.sequence = SequenceNumber(sequence),
                  .tokens = 1,
                  .text = std::to_string(sequence)})) {
               CPPUNIT_ASSERT_EQUAL(index++, piece.index);
             }
           }
           assembler.NoteEnd(SequenceNumber(4));
           CPPUNIT_ASSERT_EQUAL(std::string(arrival.text), assembler.Text());
           CPPUNIT_ASSERT_EQUAL(arrival.complete, assembler.Complete());
         }),
     It("continues after what earlier attempts delivered", [] {
       StreamAssembler assembler({});
       assembler.BeginAttempt();
       assembler.Take(
           {.sequence = SequenceNumber(0), .tokens = 2, .text = "a"});
       assembler.Take(
           {.sequence = SequenceNumber(2), .tokens = 1, .text = "x"});
       assembler.BeginAttempt();
       assembler.Take(
           {.sequence = SequenceNumber(0), .tokens = 1, .text = "b"});
       CPPUNIT_ASSERT_EQUAL(std::string("ab"), assembler.Text());
       CPPUNIT_ASSERT_EQUAL(2U, assembler.EarlierTokens());
       CPPUNIT_ASSERT_EQUAL(3U, assembler.Tokens());
       CPPUNIT_ASSERT(!assembler.SequenceOf(0));
       CPPUNIT_ASSERT(assembler.SequenceOf(1) == SequenceNumber(0));
     })});

struct Ejections {
  explicit Ejections(int count) {
    for (int index = 0; index < count; ++index) {
      this->ids.emplace_back(std::to_string(index));
    }
    this->rule.SetMembers(this->ids);
  }
  void Fail(int index, int times) {
    for (int count = 0; count < times; ++count) {
      this->rule.NoteFailure(this->ids[index], this->now);
    }
  }
  void Latency(int index, double latency) {
    for (int count = 0; count < 20; ++count) {
      this->rule.NoteLatency(this->ids[index], latency);
    }
  }

  std::vector<EndpointId> ids;
  OutlierEjection rule{{}};
  Instant now{1h};
};

const testing::Story kEjection(
    "outlier ejection",
    {It("ejects an endpoint after five consecutive failures, then tries the "
        "endpoint again, and ejects for longer after each relapse",
        [] {
          Ejections pool(10);
          pool.Fail(0, 4);
          pool.rule.NoteSuccess(pool.ids[0]);
          pool.Fail(0, 4);
          CPPUNIT_ASSERT(!pool.rule.Ejected(pool.ids[0]));
          pool.Fail(0, 1);
          CPPUNIT_ASSERT(pool.rule.Ejected(pool.ids[0]));
          pool.now += 5s;
          CPPUNIT_ASSERT(pool.rule.Sweep(pool.now));
          CPPUNIT_ASSERT(!pool.rule.Ejected(pool.ids[0]));
          pool.Fail(0, 1);  // on probation: one failure is enough
          pool.now += 5s;
          CPPUNIT_ASSERT(!pool.rule.Sweep(pool.now));
          CPPUNIT_ASSERT(pool.rule.Ejected(pool.ids[0]));
        }),
     It("ejects an endpoint that is slower than the others",
        [] {
          Ejections pool(10);
          for (int index = 0; index < 10; ++index) {
            pool.Latency(index, index == 3 ? 5.0 : 1.0);
          }
          CPPUNIT_ASSERT(pool.rule.Sweep(pool.now));
          CPPUNIT_ASSERT(pool.rule.Ejected(pool.ids[3]));
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.rule.EjectedCount());
        }),
     // Guards against an outage of a pool whose endpoints all slow down at
     // once: with an absolute latency bound and no cap on the ejected share,
     // they are ejected one after the other.
     It("keeps most of a pool that is slow, or failing, as a whole",
        [] {
          Ejections pool(10);
          for (int index = 0; index < 10; ++index) {
            pool.Latency(index, 50.0);
            pool.Fail(index, 9);
          }
          pool.rule.Sweep(pool.now);
          CPPUNIT_ASSERT_EQUAL(std::size_t{3}, pool.rule.EjectedCount());
        }),
     It("never ejects the only endpoint", [] {
       Ejections pool(1);
       pool.Fail(0, 50);
       CPPUNIT_ASSERT(!pool.rule.Ejected(pool.ids[0]));
     })});

}  // namespace
}  // namespace acacialug::retry
