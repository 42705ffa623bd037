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
constexpr std::size_t kMaxReports = 4;

// The end of an endpoint, with a different attempt for each endpoint.
CrashEnd At(std::uint64_t endpoint) {
  return {.endpoint = endpoint,
          .attempt = static_cast<std::uint32_t>(endpoint)};
}

// A ledger with three ends for one request, at endpoints 1, 2 and 3.
CrashLedger AfterThree(CrashLedger::Options options = {}) {
  CrashLedger ledger(options);
  for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
    ledger.NoteEnd(kRequest, At(endpoint), kStart);
  }
  return ledger;
}

CrashRecord ReportOf(const std::vector<std::uint64_t>& endpoints,
                     Duration age = 0ms) {
  CrashRecord record{.request = kRequest, .age = age};
  for (const std::uint64_t endpoint : endpoints) {
    record.ends.push_back(At(endpoint));
  }
  return record;
}

const acacialug::testing::Story kStory(
    "a ledger of endpoints that ended while a request was there",
    {Section("quarantines a request",
             {It("when three endpoints ended, and returns true only once",
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
              It("not when one endpoint breaks off repeatedly",
                 [] {
                   CrashLedger ledger({});
                   for (int time = 0; time < 9; ++time) {
                     ledger.NoteEnd(kRequest, At(1), kStart);
                   }
                   CPPUNIT_ASSERT(!ledger.Quarantined(kRequest, kStart));
                 }),
              It("not when all ends belong to one attempt",
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
              It("until the quarantine expires, and again after one more end",
                 [] {
                   CrashLedger ledger = AfterThree();
                   const Instant later = kStart + 10min;
                   CPPUNIT_ASSERT(ledger.Quarantined(kRequest, later - 1ms));
                   ledger.Sweep(later);
                   CPPUNIT_ASSERT(!ledger.Quarantined(kRequest, later));
                   CPPUNIT_ASSERT(ledger.NoteEnd(kRequest, At(4), later));
                   CPPUNIT_ASSERT(ledger.Quarantined(kRequest, later));
                 }),
              It("and deletes the record when the retention time has passed",
                 [] {
                   CrashLedger ledger = AfterThree();
                   ledger.Sweep(kStart + 1h - 1ms);
                   CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.size());
                   ledger.Sweep(kStart + 1h);
                   CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ledger.size());
                 })}),
     Section("doesn't quarantine a request that was answered",
             {It("between the ends of two pairs of endpoints",
                 [] {
                   // Guards against refusing a request for crashes that other
                   // requests caused.
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
                   // Guards against refusing all identical requests.
                   CrashLedger ledger({});
                   ledger.NoteAnswer(kRequest, kStart);
                   for (std::uint64_t endpoint = 1; endpoint < 9; ++endpoint) {
                     ledger.NoteEnd(kRequest, At(endpoint), kStart + 1s);
                   }
                   CPPUNIT_ASSERT(!ledger.Quarantined(kRequest, kStart + 1s));
                   CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ledger.size());
                 }),
              It("but does once a minute has passed since the answer",
                 [] {
                   CrashLedger ledger({});
                   ledger.NoteAnswer(kRequest, kStart);
                   for (std::uint64_t endpoint = 1; endpoint < 4; ++endpoint) {
                     ledger.NoteEnd(kRequest, At(endpoint), kStart + 1min);
                   }
                   CPPUNIT_ASSERT(ledger.Quarantined(kRequest, kStart + 1min));
                 })}),
     Section(
         "merges reports of its peers",
         {It("and counts each endpoint once, whichever peer reports it",
             [] {
               CrashLedger ledger({});
               ledger.NoteEnd(kRequest, At(1), kStart);
               ledger.Merge(ReportOf({1}), kStart);
               ledger.Merge(ReportOf({2, 2, 1}), kStart);
               CPPUNIT_ASSERT(!ledger.Quarantined(kRequest, kStart));
               CPPUNIT_ASSERT(ledger.Merge(ReportOf({3}), kStart));
               CPPUNIT_ASSERT(!ledger.Merge(ReportOf({3, 4}), kStart));
             }),
          It("but ignores ends of a request that was answered here",
             [] {
               // Guards against a peer that loses its own connections
               // and reports them as ends of endpoints.
               CrashLedger ledger({});
               ledger.NoteAnswer(kRequest, kStart);
               ledger.Merge(ReportOf({1, 2, 3}), kStart + 1s);
               CPPUNIT_ASSERT(!ledger.Quarantined(kRequest, kStart + 1s));
             }),
          It("and ends the quarantine of a request that a peer saw answered",
             [] {
               CrashLedger ledger = AfterThree();
               ledger.Merge(ReportOf({}), kStart + 1s);
               CPPUNIT_ASSERT(!ledger.Quarantined(kRequest, kStart + 1s));
               // Reported by a peer that has not received the answer yet.
               ledger.Merge(ReportOf({1, 2, 3}, 1s), kStart + 2s);
               CPPUNIT_ASSERT(!ledger.Quarantined(kRequest, kStart + 2s));
             }),
          It("but ignores an answer from before the last end",
             [] {
               CrashLedger ledger = AfterThree();
               ledger.Merge(ReportOf({}, 30s), kStart + 20s);
               CPPUNIT_ASSERT(ledger.Quarantined(kRequest, kStart + 20s));
             }),
          It("and renews the quarantine with an end that the peer does not "
             "store",
             [] {
               CrashLedger peer = AfterThree();
               CrashLedger ledger({});
               ledger.Merge(peer.RecordOf(kRequest, kStart), kStart);
               peer.NoteEnd(kRequest, At(4), kStart + 9min);
               ledger.Merge(peer.RecordOf(kRequest, kStart + 9min),
                            kStart + 9min);
               CPPUNIT_ASSERT(ledger.Quarantined(kRequest, kStart + 18min));
             }),
          It("and takes the age of a report into account",
             [] {
               CrashLedger ledger({});
               ledger.Merge(ReportOf({1, 2, 3}, 9min), kStart);
               CPPUNIT_ASSERT_EQUAL(60.0,
                                    Seconds(ledger.TimeLeft(kRequest, kStart)));
               CrashLedger other({});
               other.Merge(ReportOf({1, 2, 3}, 1h), kStart);
               other.Merge(ReportOf({1, 2, 3}, 9000h), kStart);
               CPPUNIT_ASSERT_EQUAL(std::size_t{0}, other.size());
             })}),
     Section(
         "reports to its peers",
         {It("changes, until the report duration has passed",
             [] {
               CrashLedger ledger({});
               CPPUNIT_ASSERT(
                   ledger.CollectReports(kMaxReports, 0, kStart).empty());
               ledger.NoteEnd(kRequest, At(1), kStart);
               const auto reports =
                   ledger.CollectReports(kMaxReports, 0, kStart + 2s);
               CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
               CPPUNIT_ASSERT(reports[0].request == kRequest);
               CPPUNIT_ASSERT_EQUAL(2.0, Seconds(reports[0].age));
               CPPUNIT_ASSERT(
                   ledger.CollectReports(kMaxReports, 0, kStart + 5s).empty());
             }),
          It("an answer that clears a request",
             [] {
               CrashLedger ledger = AfterThree();
               ledger.NoteAnswer(kRequest, kStart + 10s);
               const auto reports =
                   ledger.CollectReports(kMaxReports, 0, kStart + 10s);
               CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
               CPPUNIT_ASSERT(reports[0].ends.empty());
               ledger.Sweep(kStart + 15s);
               CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ledger.size());
             }),
          It("merged reports, unless they have the end of only one endpoint",
             [] {
               CrashLedger ledger({});
               ledger.Merge(ReportOf({1}), kStart);
               CPPUNIT_ASSERT(
                   ledger.CollectReports(kMaxReports, 0, kStart).empty());
               ledger.Merge(ReportOf({1, 2}), kStart);
               CPPUNIT_ASSERT(
                   !ledger.CollectReports(kMaxReports, 0, kStart).empty());
               // A report that changes nothing isn't forwarded again.
               ledger.Merge(ReportOf({1, 2}), kStart + 4s);
               CPPUNIT_ASSERT(
                   ledger.CollectReports(kMaxReports, 0, kStart + 5s).empty());
             }),
          It("all records again for a peer that has just started",
             [] {
               CrashLedger ledger = AfterThree();
               ledger.NoteEnd(RequestKey(78), At(1), kStart);
               ledger.ResendReports(kStart + 1min);
               const auto reports =
                   ledger.CollectReports(kMaxReports, 0, kStart + 1min);
               CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
               CPPUNIT_ASSERT(reports[0].request == kRequest);
             }),
          It("requests with the most ends first, and the others in rotation",
             [] {
               CrashLedger ledger = AfterThree();
               for (std::uint64_t other = 100; other < 106; ++other) {
                 ledger.NoteEnd(RequestKey(other), At(1), kStart);
               }
               std::set<std::uint64_t> others;
               for (std::size_t round = 0; round < 2; ++round) {
                 const auto reports =
                     ledger.CollectReports(kMaxReports, round, kStart);
                 CPPUNIT_ASSERT_EQUAL(kMaxReports, reports.size());
                 CPPUNIT_ASSERT(reports[0].request == kRequest);
                 for (std::size_t number = 1; number < reports.size();
                      ++number) {
                   others.insert(reports[number].request.value);
                 }
               }
               CPPUNIT_ASSERT_EQUAL(std::size_t{6}, others.size());
             })}),
     It("keeps a bounded number of requests, and evicts quarantined ones last",
        [] {
          // Guards against a flood that evicts the quarantined requests.
          CrashLedger ledger = AfterThree({.max_requests = 16});
          for (std::uint64_t other = 100; other < 1000; ++other) {
            ledger.NoteEnd(RequestKey(other), At(other), kStart + 1s);
          }
          CPPUNIT_ASSERT_EQUAL(std::size_t{16}, ledger.size());
          CPPUNIT_ASSERT(ledger.Quarantined(kRequest, kStart + 1s));
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.quarantined(kStart + 1s));
        })});

constexpr RequestKey kPart{5};
constexpr RequestKey kFirstPart{6};
constexpr std::uint64_t kService = 9;
const CrashSite kPartSite{CrashSubject::kPart, kService};

// Ends under a part, each followed by two answers to others.
struct PartLedger {
  void End(std::uint64_t endpoint, bool with_first_part = false) {
    this->now += 500ms;
    this->ledger.NoteEnd(kPart, At(endpoint), this->now, kPartSite);
    if (with_first_part) {
      this->ledger.NoteEnd(kFirstPart, At(endpoint), this->now,
                           {CrashSubject::kFirstPart, kService});
    }
    this->AnswerOthers();
  }
  void AnswerOthers(std::uint64_t service = kService) {
    this->ledger.NoteOtherAnswer(service, {}, this->now);
    this->ledger.NoteOtherAnswer(service, {}, this->now);
  }
  // Lets the delay of the confirmation pass.
  std::vector<RequestKey> Confirm() {
    this->now += 1s;
    return this->ledger.Sweep(this->now);
  }
  bool Quarantined(RequestKey key = kPart) const {
    return this->ledger.Quarantined(key, this->now);
  }

  Instant now = kStart;
  CrashLedger ledger{PartCrashOptions()};
};

void EndThree(PartLedger& part, bool with_first_part = false) {
  for (const std::uint64_t endpoint : {1, 2, 3}) {
    part.End(endpoint, with_first_part);
  }
}

const acacialug::testing::Story kParts(
    "a ledger of endpoints that ended under a part of prompts",
    {Section("quarantines the part",
             {It("when others were answered, and a second has passed",
                 [] {
                   PartLedger part;
                   EndThree(part);
                   CPPUNIT_ASSERT(part.ledger.Sweep(part.now).empty());
                   CPPUNIT_ASSERT(!part.Quarantined());
                   CPPUNIT_ASSERT(part.Confirm() == std::vector{kPart});
                   CPPUNIT_ASSERT(part.Quarantined());
                   CPPUNIT_ASSERT(part.Confirm().empty());
                 }),
              It("not while the service answers nobody",
                 [] {
                   // Guards against parts that are refused after all endpoints
                   // ended.
                   PartLedger part;
                   for (const std::uint64_t endpoint : {1, 2, 3}) {
                     part.ledger.NoteEnd(kPart, At(endpoint), part.now,
                                         kPartSite);
                     part.now += 1s;
                     part.AnswerOthers(kService + 1);
                   }
                   part.Confirm();
                   CPPUNIT_ASSERT(!part.Quarantined());
                 }),
              It("not when all ends came at once",
                 [] {
                   PartLedger part;
                   for (const std::uint64_t endpoint : {1, 2, 3}) {
                     part.ledger.NoteEnd(kPart, At(endpoint), part.now,
                                         kPartSite);
                   }
                   for (int answer = 0; answer < 9; ++answer) {
                     part.AnswerOthers();
                   }
                   part.Confirm();
                   CPPUNIT_ASSERT(!part.Quarantined());
                 }),
              It("not when an answer with it begins within that second",
                 [] {
                   PartLedger part;
                   EndThree(part);
                   part.ledger.NoteAnswer(kPart, part.now + 100ms);
                   part.Confirm();
                   CPPUNIT_ASSERT(!part.Quarantined());
                 }),
              It("again after it was sound for an hour",
                 [] {
                   PartLedger part;
                   part.ledger.NoteAnswer(kPart, part.now);
                   EndThree(part);
                   part.Confirm();
                   CPPUNIT_ASSERT(part.Quarantined());
                 }),
              It("on the word of a peer that has seen such answers",
                 [] {
                   PartLedger part;
                   EndThree(part);
                   part.Confirm();
                   CrashLedger peer(PartCrashOptions());
                   CPPUNIT_ASSERT(peer.Merge(
                       part.ledger.RecordOf(kPart, part.now), kStart + 9s));
                   CPPUNIT_ASSERT(peer.Quarantined(kPart, kStart + 9s));
                 })}),
     Section("does not blame a first part",
             {It("for ends that a further part explains",
                 [] {
                   // Guards against sound requests that are refused for sharing
                   // their caller's part with deadly ones.
                   PartLedger part;
                   EndThree(part, true);
                   part.Confirm();
                   CPPUNIT_ASSERT(part.Quarantined());
                   CPPUNIT_ASSERT(!part.Quarantined(kFirstPart));
                 }),
              It("nor a further part for ends of one that was at more of them",
                 [] {
                   // Guards against sound requests that are refused for sharing
                   // a part with most of the deadly ones.
                   PartLedger part;
                   constexpr RequestKey kOther{7};
                   for (std::uint64_t endpoint = 1; endpoint <= 6; ++endpoint) {
                     if (endpoint > 3) {
                       // Of another request at the same endpoint.
                       part.ledger.NoteEnd(kOther, {endpoint, 9}, part.now,
                                           kPartSite);
                       part.ledger.NoteEnd(kOther, {endpoint, 8}, part.now,
                                           kPartSite);
                     }
                     part.End(endpoint);
                   }
                   part.Confirm();
                   CPPUNIT_ASSERT(part.Quarantined());
                   CPPUNIT_ASSERT(!part.Quarantined(kOther));
                   CPPUNIT_ASSERT_EQUAL(
                       std::size_t{3},
                       part.ledger.RecordOf(kPart, part.now).ends.size());
                 }),
              It("unless no further part was at all of the ends",
                 [] {
                   PartLedger part;
                   for (const std::uint64_t endpoint : {1, 2, 3}) {
                     part.ledger.NoteEnd(RequestKey(100 + endpoint),
                                         At(endpoint), part.now, kPartSite);
                     part.End(endpoint, true);
                     part.ledger.NoteAnswer(kPart, part.now);
                   }
                   part.Confirm();
                   CPPUNIT_ASSERT(part.Quarantined(kFirstPart));
                 })}),
     Section(
         "tells its peers",
         {It("that the part was answered since the ends that they report",
             [] {
               CrashLedger ledger(PartCrashOptions());
               ledger.NoteAnswer(kPart, kStart + 1s);
               CrashRecord report{.request = kPart,
                                  .ends = {At(1), At(2)},
                                  .age = 1s,
                                  .subject = CrashSubject::kPart};
               ledger.Merge(report, kStart + 2s);
               const auto reports =
                   ledger.CollectReports(kMaxReports, 0, kStart + 2s);
               CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
               CPPUNIT_ASSERT(reports[0].ends.empty());
             }),
          It("the latest ends of a part, in whatever order they are learned",
             [] {
               PartLedger part;
               part.End(1);
               CrashRecord older{.request = kPart,
                                 .ends = {At(2), At(3), At(4)},
                                 .subject = CrashSubject::kPart};
               for (CrashEnd& end : older.ends) {
                 end.age = 2s;
               }
               part.ledger.Merge(older, part.now);
               const CrashRecord record = part.ledger.RecordOf(kPart, part.now);
               CPPUNIT_ASSERT_EQUAL(std::size_t{3}, record.ends.size());
               CPPUNIT_ASSERT(record.ends.front() == At(1));
             }),
          It("and drops only the ends before their answers",
             [] {
               PartLedger part;
               EndThree(part);
               part.ledger.Merge({.request = kPart,
                                  .age = 700ms,
                                  .subject = CrashSubject::kPart},
                                 part.now);
               part.Confirm();
               CPPUNIT_ASSERT(!part.Quarantined());
               CPPUNIT_ASSERT_EQUAL(
                   std::size_t{2},
                   part.ledger.RecordOf(kPart, part.now).ends.size());
               // Of a peer that has not received the answer.
               CrashRecord stale{.request = kPart, .ends = {At(1)}};
               stale.ends[0].age = 4s;
               part.ledger.Merge(stale, part.now);
               CPPUNIT_ASSERT_EQUAL(
                   std::size_t{2},
                   part.ledger.RecordOf(kPart, part.now).ends.size());
             })}),
     Section("lets a quarantined part be tried",
             {It("once, five seconds after the last end",
                 [] {
                   PartLedger part;
                   EndThree(part);
                   part.Confirm();
                   CPPUNIT_ASSERT(!part.ledger.TryProbe(kPart, part.now));
                   part.now += 4s;
                   CPPUNIT_ASSERT(part.ledger.TryProbe(kPart, part.now));
                   CPPUNIT_ASSERT(!part.ledger.TryProbe(kPart, part.now + 4s));
                 }),
              It("not again when an endpoint ended under it",
                 [] {
                   PartLedger part;
                   EndThree(part);
                   part.now += 9s;
                   CPPUNIT_ASSERT(part.ledger.TryProbe(kPart, part.now));
                   part.End(4);
                   CPPUNIT_ASSERT(
                       !part.ledger.TryProbe(kPart, part.now + 9min));
                 }),
              It("and released by an answer", [] {
                PartLedger part;
                EndThree(part);
                part.Confirm();
                CPPUNIT_ASSERT(part.ledger.NoteAnswer(kPart, part.now));
                CPPUNIT_ASSERT(!part.Quarantined());
              })})});

}  // namespace
}  // namespace acacialug::retry
