#ifndef AGENT_INTERNAL_ONCE_LEDGER_H_
#define AGENT_INTERNAL_ONCE_LEDGER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/instant.h"
#include "protocol/types/messages.h"

namespace acacialug::agent {

// The ledger's verdict on a key.
enum class OnceVerdict : std::uint8_t {
  kRun,           // first submission: run it now
  kStillRunning,  // the first submission has not ended
  kAnswered,      // completed; the answer is kept
  kAnswerGone,    // completed; the answer is no longer kept
  kUnknown,       // it may have run; it will not run again
  kSealed,        // it never ran here and never will
  kKeyReused,     // the key stands for another request
  kWrongHome,     // only another agent start may run it
  kTooOld,        // older than the newest forgotten key
  kFull,          // the ledger cannot store a further key
};
inline constexpr EnumNames<OnceVerdict, 10> kOnceVerdictNames = {{
    {OnceVerdict::kRun, "run"},
    {OnceVerdict::kStillRunning, "still_running"},
    {OnceVerdict::kAnswered, "answered"},
    {OnceVerdict::kAnswerGone, "answer_gone"},
    {OnceVerdict::kUnknown, "unknown"},
    {OnceVerdict::kSealed, "sealed"},
    {OnceVerdict::kKeyReused, "key_reused"},
    {OnceVerdict::kWrongHome, "wrong_home"},
    {OnceVerdict::kTooOld, "too_old"},
    {OnceVerdict::kFull, "full"},
}};

// Ensures at-most-once execution: the keys that were submitted to this start of
// the agent, and their outcomes. A key is never forgotten within the window;
// when the ledger is full, new keys are refused instead. Not thread safe.
class OnceLedger {
 public:
  struct Options {
    Incarnation home;
    Duration window = 24h;  // from when a key's outcome was known
    std::uint64_t max_bytes = 4 * 1024 * 1024;  // of kept answers
    std::uint32_t max_keys = 20000;
  };

  explicit OnceLedger(Options ledger_options) : options(ledger_options) {}

  // A submission under the key. kRun records it as running.
  OnceVerdict Begin(const protocol::Once& once, Instant now);

  // Looks up the key. A key that was never seen is sealed: the answer "not run"
  // stays true although the submission may still be in transit.
  OnceVerdict LookUp(const protocol::Once& once, Instant now);

  // The kept answer; null unless the key's verdict is kAnswered.
  const protocol::ServiceAnswer* AnswerOf(const protocol::Once& once) const;

  // Records the outcome of a running key; others stay unchanged.
  void Complete(const protocol::Once& once,
                const protocol::ServiceAnswer& answer,
                Instant now);
  void SetUnknown(const protocol::Once& once, Instant now);
  // The work provably did not run, and a new submission may run.
  void Release(const protocol::Once& once);

  std::uint64_t kept_bytes() const { return this->bytes; }
  std::size_t keys() const { return this->records.size(); }

 private:
  struct Key {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    friend auto operator<=>(const Key&, const Key&) = default;
  };
  struct KeyHash {
    std::size_t operator()(const Key& key) const noexcept {
      return key.high ^ key.low;  // a digest already
    }
  };
  enum class State : std::uint8_t { kRunning, kCompleted, kUnknown, kSealed };
  struct Record {
    State state = State::kRunning;
    std::uint64_t fingerprint = 0;
    protocol::OnceKind kind = protocol::OnceKind::kClaim;
    LogOffset claim;
    std::optional<protocol::ServiceAnswer> answer;
  };
  using Records = std::unordered_map<Key, Record, KeyHash>;

  static Key KeyOf(const protocol::Once& once);
  static Record RecordOf(const protocol::Once& once);
  OnceVerdict Find(const protocol::Once& once, Instant now);
  bool MayBeForgotten(const protocol::Once& once) const;
  void Settle(const Key& key, Record& record, State state, Instant now);
  void DropAnswer(Record& record);
  void Forget(Instant now);

  Options options;
  Records records;
  std::deque<std::pair<Instant, Key>> settled;  // oldest first
  std::deque<Key> answered;                     // oldest first
  std::uint64_t bytes = 0;
  LogOffset forgotten_claims;  // the highest claim of a forgotten key
  // The latest issued of the forgotten tickets: a ticket's key begins with its
  // time of issue.
  std::uint64_t forgotten_tickets = 0;
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_ONCE_LEDGER_H_
