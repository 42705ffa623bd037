#ifndef RETRY_CRASH_LEDGER_H_
#define RETRY_CRASH_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "framework/global/types/instant.h"
#include "retry/types/crash_record.h"

namespace acacialug::retry {

// Records which requests were running at endpoints that ended, over all
// attempts and all processes. A request that may be the cause is quarantined:
// another run would end one endpoint after another, together with the other
// requests there. A request that only happened to be there is answered
// elsewhere, and that answer clears the record. Memory is bounded. Not thread
// safe; `now` never goes backwards.
class CrashLedger {
 public:
  struct Options {
    // Distinct endpoint starts that end under a request before the request is
    // quarantined, and the most that are stored for each request. They must
    // not all belong to one attempt: when many endpoints end at once, a single
    // attempt goes from one to the next.
    std::size_t limit = 3;
    // Since the last end. Afterwards the request may run again, and one more
    // end renews the quarantine.
    Duration quarantine = 10min;
    // Since the last end; the request's record is then deleted.
    Duration retention = 1h;
    // After an answer, ends within this time don't count: of many identical
    // requests, some are always at an endpoint that ends.
    Duration answer_grace = 1min;
    // How long a change is reported to peers.
    Duration report_duration = 5s;
    std::size_t max_requests = 1024;
    std::size_t max_answers = 4096;
  };

  explicit CrashLedger(Options ledger_options);

  // An endpoint ended, or broke off, while the request was there. Returns true
  // when this puts the request into quarantine.
  bool NoteEnd(RequestKey request, const CrashEnd& end, Instant now);
  // An endpoint answered the request with success. Returns true when the
  // request was quarantined.
  bool NoteAnswer(RequestKey request, Instant now);

  // Merges a peer's report. A report older than `retention` and a duplicate
  // change nothing. Returns true when this puts the request into quarantine.
  bool Merge(const CrashRecord& report, Instant now);

  bool Quarantined(RequestKey request, Instant now) const;
  // Time left in quarantine; zero when the request isn't quarantined.
  Duration TimeLeft(RequestKey request, Instant now) const;

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

  // Deletes expired records. Call periodically.
  void Sweep(Instant now);

  std::size_t quarantined(Instant now) const;
  std::size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    std::vector<CrashEnd> ends;  // empty: the request was answered
    Instant last{};              // the last end, or the answer
    Instant report_until{};
  };
  struct Answer {
    RequestKey request;
    Instant at{};
  };

  bool InQuarantine(const Entry& entry, Instant now) const;
  bool AnsweredRecently(RequestKey request, Instant now) const;
  void StoreAnswer(RequestKey request, Instant answered_at);
  void MergeAnswer(RequestKey request, Instant at);
  void AddEnd(const CrashEnd& end, std::vector<CrashEnd>& ends) const;
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

}  // namespace acacialug::retry

#endif  // RETRY_CRASH_LEDGER_H_
