#include "retry/crash_ledger.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <utility>
#include <vector>

#include "framework/testing/story.h"

namespace acacialug::retry {
namespace {

using acacialug::testing::It;
using acacialug::testing::Section;

constexpr Instant kStart{1h};
constexpr RequestKey kRequest{77};
constexpr std::size_t kMostTold = 4;

// The end of an endpoint, each under an attempt of its own.
CrashEnd At(std::uint64_t endpoint) {
  return {.endpoint = endpoint,
          .attempt = static_cast<std::uint32_t>(endpoint)};
}

// With three ends of one request, at endpoints 1, 2 and 3.
CrashLedger AfterThree(CrashLedger::Options options = {}) {
  CrashLedger ledger(options);
  for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
    ledger.NoteEnd(kRequest, At(endpoint), kStart);
  }
  return ledger;
}

CrashRecord Told(const std::vector<std::uint64_t>& endpoints,
                 Duration age = 0ms) {
  CrashRecord record{.request = kRequest, .age = age};
  for (const std::uint64_t endpoint : endpoints) {
    record.ends.push_back(At(endpoint));
  }
  return record;
}

const acacialug::testing::Story kStory(
    "a ledger of endpoints that ended under requests",
    {Section("quarantines a request",
             {It("under which three endpoints ended, and says so once",
                 [] {
                   CrashLedger ledger({});
                   CPPUNIT_ASSERT(!ledger.NoteEnd(kRequest, At(1), kStart));
                   CPPUNIT_ASSERT(!ledger.NoteEnd(kRequest, At(2), kStart));
                   CPPUNIT_ASSERT(!ledger.Quarantined(kRequest, kStart));
                   CPPUNIT_ASSERT(ledger.NoteEnd(kRequest, At(3), kStart));
                   CPPUNIT_ASSERT(!ledger.NoteEnd(kRequest, At(4), kStart));
                   CPPUNIT_ASSERT(ledger.Quarantined(kRequest, kStart));
                   CPPUNIT_ASSERT(!ledger.Quarantined(RequestKey(78), kStart));
                 }),
              It("not for one endpoint that breaks off time after time",
                 [] {
                   CrashLedger ledger({});
                   for (int time = 0; time < 9; ++time) {
                     ledger.NoteEnd(kRequest, At(1), kStart);
                   }
                   CPPUNIT_ASSERT(!ledger.Quarantined(kRequest, kStart));
                 }),
              It("not for one attempt, however many endpoints end under it",
                 [] {
                   // Guards against refusing a request that went from one
                   // endpoint to the next while all of them ended.
                   CrashLedger ledger({});
                   for (std::uint64_t endpoint = 1; endpoint < 6; ++endpoint) {
                     ledger.NoteEnd(kRequest, {endpoint, 1}, kStart);
                   }
                   CPPUNIT_ASSERT(!ledger.Quarantined(kRequest, kStart));
                   CPPUNIT_ASSERT(ledger.NoteEnd(kRequest, {6, 2}, kStart));
                   CPPUNIT_ASSERT(ledger.Quarantined(kRequest, kStart));
                 }),
              It("for a while, then tries it, and one more end is enough",
                 [] {
                   CrashLedger ledger = AfterThree();
                   const Instant later = kStart + 10min;
                   CPPUNIT_ASSERT(ledger.Quarantined(kRequest, later - 1ms));
                   ledger.Sweep(later);
                   CPPUNIT_ASSERT(!ledger.Quarantined(kRequest, later));
                   CPPUNIT_ASSERT(ledger.NoteEnd(kRequest, At(4), later));
                   CPPUNIT_ASSERT(ledger.Quarantined(kRequest, later));
                 }),
              It("and forgets it when its memory is over",
                 [] {
                   CrashLedger ledger = AfterThree();
                   ledger.Sweep(kStart + 1h - 1ms);
                   CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.size());
                   ledger.Sweep(kStart + 1h);
                   CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ledger.size());
                 })}),
     Section("trusts a request that was answered",
             {It("between the ends of endpoints at which it merely was",
                 [] {
                   // Guards against refusing a request for the crashes of
                   // others.
                   CrashLedger ledger({});
                   ledger.NoteEnd(kRequest, At(1), kStart);
                   ledger.NoteEnd(kRequest, At(2), kStart);
                   ledger.NoteAnswer(kRequest, kStart);
                   ledger.NoteEnd(kRequest, At(3), kStart + 1min);
                   ledger.NoteEnd(kRequest, At(4), kStart + 1min);
                   CPPUNIT_ASSERT(!ledger.Quarantined(kRequest, kStart + 1min));
                 }),
              It("when many endpoints end at once",
                 [] {
                   // Guards against refusing all requests that look the same.
                   CrashLedger ledger({});
                   ledger.NoteAnswer(kRequest, kStart);
                   for (std::uint64_t endpoint = 1; endpoint < 9; ++endpoint) {
                     ledger.NoteEnd(kRequest, At(endpoint), kStart + 1s);
                   }
                   CPPUNIT_ASSERT(!ledger.Quarantined(kRequest, kStart + 1s));
                   CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ledger.size());
                 }),
              It("not for longer than a minute",
                 [] {
                   CrashLedger ledger({});
                   ledger.NoteAnswer(kRequest, kStart);
                   for (std::uint64_t endpoint = 1; endpoint < 4; ++endpoint) {
                     ledger.NoteEnd(kRequest, At(endpoint), kStart + 1min);
                   }
                   CPPUNIT_ASSERT(ledger.Quarantined(kRequest, kStart + 1min));
                 })}),
     Section("hears its peers",
             {It("and counts each endpoint once, whoever tells of it",
                 [] {
                   CrashLedger ledger({});
                   ledger.NoteEnd(kRequest, At(1), kStart);
                   ledger.Merge(Told({1}), kStart);
                   ledger.Merge(Told({2, 2, 1}), kStart);
                   CPPUNIT_ASSERT(!ledger.Quarantined(kRequest, kStart));
                   CPPUNIT_ASSERT(ledger.Merge(Told({3}), kStart));
                   CPPUNIT_ASSERT(!ledger.Merge(Told({3, 4}), kStart));
                 }),
              It("but not of a request that was answered here",
                 [] {
                   // Guards against a peer that takes its own cut for
                   // endpoints' ends.
                   CrashLedger ledger({});
                   ledger.NoteAnswer(kRequest, kStart);
                   ledger.Merge(Told({1, 2, 3}), kStart + 1s);
                   CPPUNIT_ASSERT(!ledger.Quarantined(kRequest, kStart + 1s));
                 }),
              It("and frees what was answered at one of them",
                 [] {
                   CrashLedger ledger = AfterThree();
                   ledger.Merge(Told({}), kStart + 1s);
                   CPPUNIT_ASSERT(!ledger.Quarantined(kRequest, kStart + 1s));
                   // Told by one that has not heard of the answer.
                   ledger.Merge(Told({1, 2, 3}, 1s), kStart + 2s);
                   CPPUNIT_ASSERT(!ledger.Quarantined(kRequest, kStart + 2s));
                 }),
              It("but not of an answer from before the last end",
                 [] {
                   CrashLedger ledger = AfterThree();
                   ledger.Merge(Told({}, 30s), kStart + 20s);
                   CPPUNIT_ASSERT(ledger.Quarantined(kRequest, kStart + 20s));
                 }),
              It("and takes the age of an old word into account",
                 [] {
                   CrashLedger ledger({});
                   ledger.Merge(Told({1, 2, 3}, 9min), kStart);
                   CPPUNIT_ASSERT_EQUAL(
                       60.0, Seconds(ledger.TimeLeft(kRequest, kStart)));
                   CrashLedger other({});
                   other.Merge(Told({1, 2, 3}, 1h), kStart);
                   other.Merge(Told({1, 2, 3}, 9000h), kStart);
                   CPPUNIT_ASSERT_EQUAL(std::size_t{0}, other.size());
                 })}),
     Section(
         "tells its peers",
         {It("of what changed, for a while",
             [] {
               CrashLedger ledger({});
               CPPUNIT_ASSERT(
                   ledger.CollectReports(kMostTold, 0, kStart).empty());
               ledger.NoteEnd(kRequest, At(1), kStart);
               const auto told =
                   ledger.CollectReports(kMostTold, 0, kStart + 2s);
               CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.size());
               CPPUNIT_ASSERT(told[0].request == kRequest);
               CPPUNIT_ASSERT_EQUAL(2.0, Seconds(told[0].age));
               CPPUNIT_ASSERT(
                   ledger.CollectReports(kMostTold, 0, kStart + 5s).empty());
             }),
          It("of an answer that clears a request",
             [] {
               CrashLedger ledger = AfterThree();
               ledger.NoteAnswer(kRequest, kStart + 10s);
               const auto told =
                   ledger.CollectReports(kMostTold, 0, kStart + 10s);
               CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.size());
               CPPUNIT_ASSERT(told[0].ends.empty());
               ledger.Sweep(kStart + 15s);
               CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ledger.size());
             }),
          It("what it heard, unless of one endpoint only",
             [] {
               CrashLedger ledger({});
               ledger.Merge(Told({1}), kStart);
               CPPUNIT_ASSERT(
                   ledger.CollectReports(kMostTold, 0, kStart).empty());
               ledger.Merge(Told({1, 2}), kStart);
               CPPUNIT_ASSERT(
                   !ledger.CollectReports(kMostTold, 0, kStart).empty());
               // What is known already is not told on for ever.
               ledger.Merge(Told({1, 2}), kStart + 4s);
               CPPUNIT_ASSERT(
                   ledger.CollectReports(kMostTold, 0, kStart + 5s).empty());
             }),
          It("all again when one of them knows nothing yet",
             [] {
               CrashLedger ledger = AfterThree();
               ledger.NoteEnd(RequestKey(78), At(1), kStart);
               ledger.ResendReports(kStart + 1min);
               const auto told =
                   ledger.CollectReports(kMostTold, 0, kStart + 1min);
               CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.size());
               CPPUNIT_ASSERT(told[0].request == kRequest);
             }),
          It("of those that are worst first, and of the others in turn",
             [] {
               CrashLedger ledger = AfterThree();
               for (std::uint64_t other = 100; other < 106; ++other) {
                 ledger.NoteEnd(RequestKey(other), At(1), kStart);
               }
               std::set<std::uint64_t> others;
               for (std::size_t round = 0; round < 2; ++round) {
                 const auto told =
                     ledger.CollectReports(kMostTold, round, kStart);
                 CPPUNIT_ASSERT_EQUAL(kMostTold, told.size());
                 CPPUNIT_ASSERT(told[0].request == kRequest);
                 for (std::size_t number = 1; number < told.size(); ++number) {
                   others.insert(told[number].request.value);
                 }
               }
               CPPUNIT_ASSERT_EQUAL(std::size_t{6}, others.size());
             })}),
     It("keeps a bounded number of requests, and those in quarantine longest",
        [] {
          // Guards against a flood that frees the requests in quarantine.
          CrashLedger ledger = AfterThree({.max_requests = 16});
          for (std::uint64_t other = 100; other < 1000; ++other) {
            ledger.NoteEnd(RequestKey(other), At(other), kStart + 1s);
          }
          CPPUNIT_ASSERT_EQUAL(std::size_t{16}, ledger.size());
          CPPUNIT_ASSERT(ledger.Quarantined(kRequest, kStart + 1s));
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.quarantined(kStart + 1s));
        })});

}  // namespace
}  // namespace acacialug::retry
