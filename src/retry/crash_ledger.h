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

// Which requests were at endpoints that ended, in whichever attempt and at
// whichever process. One that may be the cause is quarantined: run again, it
// would take endpoint after endpoint, and the requests beside it, with it. A
// request that was merely there is answered elsewhere, and its answer clears
// it. Memory is bounded. Not thread safe; `now` never goes backwards.
class CrashLedger {
 public:
  struct Options {
    // Different starts of endpoints that end under a request before it is
    // quarantined, not all in one attempt: where many endpoints end at once,
    // an attempt goes from one to the next. No more are remembered.
    std::size_t limit = 3;
    // Since the last end. Afterwards the request is tried again, and one more
    // end quarantines it anew.
    Duration quarantine = 10min;
    // Since the last end: then it is forgotten.
    Duration memory = 1h;
    // Ends do not count for so long after an answer: of requests that all look
    // the same, some are always at an endpoint that ends.
    Duration trust = 1min;
    // Peers are told of a change for so long.
    Duration telling = 5s;
    std::size_t max_requests = 1024;
    std::size_t most_answers = 4096;
  };

  explicit CrashLedger(Options ledger_options);

  // An endpoint ended, or broke off, while it had the request. True: the
  // request is quarantined from now on.
  bool NoteEnd(RequestKey request, const CrashEnd& end, Instant now);
  // An endpoint answered the request with success. True: it was quarantined.
  bool NoteAnswer(RequestKey request, Instant now);

  // What a peer told; an age beyond the memory, or a doubled word, changes
  // nothing. True: the request is quarantined from now on.
  bool Merge(const CrashRecord& told, Instant now);

  bool Quarantined(RequestKey request, Instant now) const;
  // Of the quarantine; zero without one.
  Duration TimeLeft(RequestKey request, Instant now) const;

  // What is known of it; without ends: nothing that counts.
  CrashRecord RecordOf(RequestKey request, Instant now) const;

  // At most `most` records for the peers: those of requests that were at two
  // endpoints or more, and answers, before those of one. With more, each
  // `round` tells the next ones.
  std::vector<CrashRecord> CollectReports(std::size_t most,
                                          std::size_t round,
                                          Instant now) const;
  // A process that knows nothing yet hears the peers: all is told again but
  // what is known of one endpoint only.
  void ResendReports(Instant now);

  // Forgets what is over. Call it now and then.
  void Sweep(Instant now);

  std::size_t quarantined(Instant now) const;
  std::size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    std::vector<CrashEnd> ends;  // empty: it was answered
    Instant last{};
    Instant told_until{};
  };
  struct Answer {
    RequestKey request;
    Instant at{};
  };

  bool Holds(const Entry& entry, Instant now) const;
  bool Trusted(RequestKey request, Instant now) const;
  void Remember(RequestKey request, Instant answered_at);
  void MergeAnswer(RequestKey request, Instant at);
  void Add(const CrashEnd& end, std::vector<CrashEnd>& ends) const;
  Entry& Touch(RequestKey request);
  void MakeRoom();
  void TellOf(RequestKey request, Entry& entry, Instant now);
  void Erase(std::map<RequestKey, Entry>::iterator entry);

  const Options options;
  std::map<RequestKey, Entry> entries;
  std::set<RequestKey> telling;  // may have some that are told no more
  // By request: a later one takes the place of an earlier one.
  std::vector<Answer> answers;
};

}  // namespace acacialug::retry

#endif  // RETRY_CRASH_LEDGER_H_
