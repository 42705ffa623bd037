#ifndef ONCE_CLAIM_COORDINATOR_H_
#define ONCE_CLAIM_COORDINATOR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <variant>
#include <vector>

#include "cluster/i_log.h"
#include "framework/global/random_source.h"
#include "framework/global/types/enum_names.h"
#include "framework/global/types/instant.h"
#include "once/claim_table.h"

namespace acacialug::once {

// Names one claim for which a request waits.
using ClaimToken = Number<struct ClaimTokenTag>;

enum class ClaimVerdict : std::uint8_t {
  kWon,          // this claim holds the key: it may be dispatched to its home
  kHeld,         // another claim holds it: query its home for the outcome
  kReused,       // the key is held for a different request
  kUnavailable,  // not claimed, or unknown in time: must not be run
};
inline constexpr EnumNames<ClaimVerdict, 4> kClaimVerdictNames = {{
    {ClaimVerdict::kWon, "won"},
    {ClaimVerdict::kHeld, "held"},
    {ClaimVerdict::kReused, "reused"},
    {ClaimVerdict::kUnavailable, "unavailable"},
}};

// Actions that a coordinator requests from the process around it.

struct AppendBatch {
  std::uint64_t batch = 0;  // names the append in OnAppended
  std::string payload;
};
struct ReadClaims {
  LogOffset from;
  Duration wait{};
};
struct ClaimSettled {
  ClaimToken token;
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
  ClaimPosition position;  // of the holder; kWon and kHeld
  Home home;               // of the holder; kWon and kHeld
};

using CoordinatorAction = std::variant<AppendBatch, ReadClaims, ClaimSettled>;

struct CoordinatorOptions {
  // Claims that arrive within this time share one append: at any rate of claims
  // a process makes at most 1 / commit_interval appends a second.
  Duration commit_interval = 20ms;
  std::size_t max_batch = 256;
  std::size_t max_pending = 4096;
  Duration claim_timeout = 2s;  // then the waiting request is refused
  Duration long_poll = 10s;
  Duration min_retry = 100ms;
  Duration max_retry = 3s;
  ClaimTable::Options table;
};

// Claims keys on the platform's log for all shards of one process: commits
// claims in groups, then reads the stream until it sees its own batch. The
// outcome of an append whose answer was lost is never guessed: a void record is
// appended, and the record that comes first in the log decides. No I/O; not
// thread safe (its owner holds one lock around it); `now` never goes backwards.
class ClaimCoordinator {
 public:
  ClaimCoordinator(CoordinatorOptions options, RandomSource& random);

  // Begins to read the stream. Claims are refused until the end of the stream
  // was reached once: before that an old claim could be missed.
  void Start(Instant now);

  // Ends with a ClaimSettled action. `claim.id` is chosen here.
  void Request(ClaimToken token, Claim claim, Instant now);

  // The waiting request has ended; a claim that is already appended stays.
  void Forget(ClaimToken token);

  // kPlatformUnavailable: provably not appended. kAppendUnresolved: unknown.
  void OnAppended(std::uint64_t batch,
                  const Result<LogOffset>& result,
                  Instant now);
  void OnRead(const Result<cluster::ILog::Read>& read, Instant now);
  void OnTimer(Instant now);

  Instant next_timer() const;
  std::vector<CoordinatorAction> TakeActions();

  bool ready() const { return this->read_to_end && !this->truncated; }
  const ClaimTable& table() const { return this->claim_table; }
  std::uint64_t appends() const { return this->append_count; }

 private:
  struct Waiting {
    Claim claim;
  };

  void SettleKnown(ClaimToken token, const Waiting& waiting);
  void Settle(ClaimToken token, ClaimVerdict verdict);
  void SettleBatch(std::uint64_t batch);
  void RefuseBatch(std::uint64_t batch);
  void SettleInFlight();
  void ExpireWaiting(Instant now);
  void Commit();
  void Append(const ClaimBatch& batch);
  void AppendVoid(std::uint64_t batch);
  void OnVoidFailed(std::uint64_t voided, Instant now);
  void AppendDueVoids();
  bool HasWaiters(std::uint64_t batch) const;
  void ReadNext(Duration wait);

  CoordinatorOptions options;
  RandomSource& random;
  ClaimTable claim_table;
  std::map<ClaimToken, Waiting> waiting;
  // All claims have the same timeout, so deadlines are in the order of
  // requests.
  std::deque<std::pair<Instant, ClaimToken>> deadlines;
  std::vector<ClaimToken> uncommitted;
  // Batches whose append is running or unresolved, with the claims that wait
  // for them.
  std::map<std::uint64_t, std::vector<ClaimToken>> in_flight;
  std::map<std::uint64_t, std::uint64_t> voids;  // void batch -> voided batch
  std::vector<std::uint64_t> voids_due;  // batches to be voided at void_at
  Instant commit_at = kNever;
  Instant read_at = kNever;
  Instant void_at = kNever;
  Duration void_delay{};
  Duration retry_delay{};
  bool reading = false;
  bool read_to_end = false;
  bool truncated = false;
  std::uint64_t append_count = 0;
  std::vector<CoordinatorAction> actions;
};

}  // namespace acacialug::once

#endif  // ONCE_CLAIM_COORDINATOR_H_
