#ifndef RETRY_CRASH_LEDGER_H_
#define RETRY_CRASH_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "framework/global/types/instant.h"
#include "retry/types/crash_record.h"

namespace acacialug::retry {

// Where an endpoint ended, as this process saw it.
struct CrashSite {
  CrashSubject subject = CrashSubject::kRequest;
  std::uint64_t service = 0;  // hash of the endpoint's service
};

// Records which requests were running at endpoints that ended, over all
// attempts and all processes, or which parts their prompts had; both are called
// requests below. A request that may be the cause is quarantined: another run
// would end one endpoint after another, together with the other requests there.
// A request that only happened to be there is answered elsewhere, and that
// answer clears the record. Memory is bounded. Not thread safe; `now` never
// goes backwards.
class CrashLedger {
 public:
  struct Options {
    // Distinct endpoint starts that end under a request before the request is
    // quarantined, and the most in a record. They must not all belong to one
    // attempt: when many endpoints end at once, a single attempt goes from one
    // to the next.
    std::size_t limit = 3;
    // The most that are stored for each request; at least `limit`.
    std::size_t max_ends = 3;
    // Since the last end. Afterwards the request may run again, and one more
    // end renews the quarantine.
    Duration quarantine = 10min;
    // Since the last end; the request's record is then deleted.
    Duration retention = 1h;
    // After an answer, ends within this time don't count: of many identical
    // requests, some are always at an endpoint that ends.
    Duration answer_grace = 1min;
    // The quarantine also needs so many answers to other requests of the same
    // service, after the first end and with a further end between them: an
    // unanswered request proves nothing while the service answers no request.
    // 0: none is needed.
    std::size_t other_answers = 0;
    // After these answers; an answer to the request may still arrive at a peer.
    Duration confirm_delay = 1s;
    // Time since the last end after which one process may try the request once
    // more: another end shows that the quarantine is right, an answer ends it.
    Duration probe_after = 5s;
    // How long a change is reported to peers.
    Duration report_duration = 5s;
    std::size_t max_requests = 1024;
    std::size_t max_answers = 4096;
  };

  explicit CrashLedger(Options ledger_options);

  // An endpoint ended, or broke off, while the request was there. Returns true
  // when this puts the request into quarantine.
  bool NoteEnd(RequestKey request,
               const CrashEnd& end,
               Instant now,
               const CrashSite& site = {});
  // An endpoint answered the request with success. Returns true when the
  // request was quarantined.
  bool NoteAnswer(RequestKey request, Instant now);
  // An endpoint of the service answered a request. Counts for all requests
  // with ends at that service but those in `answered`.
  void NoteOtherAnswer(std::uint64_t service,
                       const std::vector<RequestKey>& answered,
                       Instant now);

  // Merges a peer's report. A report older than `retention` and a duplicate
  // change nothing. Returns true when this puts the request into quarantine.
  bool Merge(const CrashRecord& report, Instant now);

  bool Quarantined(RequestKey request, Instant now) const;
  // Time left in quarantine; zero when the request isn't quarantined.
  Duration TimeLeft(RequestKey request, Instant now) const;

  // Whether this process, if it is the one that probes, may send the request
  // although it is quarantined. At most one such request is under way, and none
  // follows one under which an endpoint ended.
  bool TryProbe(RequestKey request, Instant now);

  // The record of the request; without ends when nothing counts against the
  // request.
  CrashRecord RecordOf(RequestKey request, Instant now) const;

  // The records of all requests in quarantine.
  std::vector<CrashRecord> QuarantinedRecords(Instant now) const;

  // Returns at most `max_count` records to report to peers. Answers, and
  // requests with ends of two endpoints or more, precede requests with the end
  // of one. When there are more than `max_count`, each `round` returns the next
  // ones.
  std::vector<CrashRecord> CollectReports(std::size_t max_count,
                                          std::size_t round,
                                          Instant now) const;
  // Reports all records again, for a peer that has just started and knows none;
  // excludes records with the end of only one endpoint.
  void ResendReports(Instant now);

  // Deletes expired records. Returns the requests whose quarantine begins,
  // as answers to others have confirmed it. Call several times a second.
  std::vector<RequestKey> Sweep(Instant now);

  std::size_t quarantined(Instant now) const;
  std::size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    std::vector<CrashEnd> ends;    // empty: the request was answered
    std::vector<Instant> ends_at;  // of the ends, in their order
    Instant last{};                // the last end, or the answer
    Instant report_until{};
    CrashSubject subject = CrashSubject::kRequest;
    std::uint64_t service = 0;  // of an end that this process observed
    // Answers to others since the first end, and the groups of ends that such
    // answers came after.
    std::size_t other_answers = 0;
    std::size_t answered_groups = 0;
    bool unanswered_end = false;
    Instant evidence_at{};  // when there were enough such answers
    Instant probe_until{};  // the next probe may begin
    bool probed = false;    // an endpoint ended under a probe
    bool confirmed = false;
  };
  struct Answer {
    RequestKey request;
    Instant at{};
  };

  bool InQuarantine(const Entry& entry, Instant now) const;
  // Whether another part, at all of the ends of this one, is the likelier
  // cause: it was at more of them, or this one begins all of its prompts.
  bool IsExplained(const Entry& entry) const;
  // Whether a part at all of the ends is in quarantine already.
  bool IsExplainedByConfirmed(const Entry& entry) const;
  bool AnyPartAtAllEndsOf(
      const Entry& entry,
      const std::function<bool(const Entry& other)>& matches) const;
  bool HasEvidence(const Entry& entry) const;
  bool Confirm(Entry& entry, Instant now) const;
  bool AnsweredRecently(RequestKey request, Instant now) const;
  bool AnsweredSince(RequestKey request, Instant since) const;
  // Reports this process's own answer to a peer that knows only ends.
  void ReportAnswer(const CrashRecord& report, Instant now);
  static void SetSubject(CrashSubject subject, bool known, Entry& entry);
  static void Clear(Entry& entry, Instant answered_at);
  void StoreAnswer(RequestKey request, Instant answered_at);
  void MergeAnswer(RequestKey request, Instant at);
  bool MergeEnds(const CrashRecord& report,
                 const std::vector<std::pair<CrashEnd, Instant>>& ends,
                 Instant now);
  // Returns whether the end was not known.
  bool AddEnd(const CrashEnd& end, Instant ended_at, Entry& entry) const;
  static void DropEndsUntil(Instant answered_at, Entry& entry);
  Entry& FindOrCreate(RequestKey request);
  void EvictIfFull();
  void ScheduleReport(RequestKey request, Entry& entry, Instant now);
  void Erase(std::map<RequestKey, Entry>::iterator entry);

  const Options options;
  std::map<RequestKey, Entry> entries;
  // May include requests whose `report_until` has passed.
  std::set<RequestKey> reporting;
  // Hash table by request; a later answer replaces an earlier one in its slot.
  std::vector<Answer> answers;
};

// For parts of prompts. Requests that share a part begin answers all the time,
// so that an answer needs no time for which it is trusted. Thread safe.
inline CrashLedger::Options PartCrashOptions() {
  return {.max_ends = 16, .answer_grace = 0ms, .other_answers = 3};
}

}  // namespace acacialug::retry

#endif  // RETRY_CRASH_LEDGER_H_
