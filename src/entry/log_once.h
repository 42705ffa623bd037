#ifndef ENTRY_LOG_ONCE_H_
#define ENTRY_LOG_ONCE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "entry/i_once_coordinator.h"
#include "framework/global/random_source.h"
#include "once/claim_coordinator.h"
#include "once/work_key.h"

namespace acacialug::entry {

// Ensures at most one run by tickets and by claims on the platform's log: the
// first claim in log order wins, whichever entry made it. A claim may be
// reassigned to another home only from the position of its holder, after that
// home reported that it did not run the work and never will.
class LogOnce : public IOnceCoordinator {
 public:
  struct Options {
    once::CoordinatorOptions claims;
    // The log keeps claims, and the agents' ledgers keep keys, at least for
    // this time. Keys and tickets are accepted for a shorter time: see
    // KeyWindow.
    Duration log_retention = 24h;
    std::function<once::WallMilliseconds()> wall_clock;  // must be set
    Duration retry_after = 1s;  // sent to callers while the log is unavailable
  };

  // Returns the largest accepted difference between the clocks of callers and
  // hosts.
  static once::WallMilliseconds ClockSkew(Duration log_retention);

  // Returns the maximum age of a key or ticket. A key may carry a time ahead of
  // the clock of the host that claims it, and be submitted again at a host
  // whose clock is behind. Its claim is then older than the key appears by up
  // to twice the skew. If keys were accepted for as long as claims are kept,
  // such a key would run a second time.
  static once::WallMilliseconds KeyWindow(Duration log_retention);

  // `random` outlives this.
  LogOnce(Options log_options, RandomSource& random_source);

  void Submit(const OnceSubmission& submission, Instant now) override;
  void OnRefused(const OnceSubmission& submission, Instant now) override;
  void Withdraw(const RequestId& request, Instant now) override;
  void OnClaimsAppended(const ClaimsAppended& appended, Instant now) override;
  void OnClaimsRead(const ClaimsRead& read, Instant now) override;
  void OnTimer(Instant now) override;
  Instant NextTimer() const override;
  std::vector<OnceVerdict> TakeVerdicts() override;
  std::vector<EntryAction> TakeActions() override;

 private:
  struct Pending {
    once::ClaimToken token;  // of the claim that is pending
    once::WorkKey key;
    std::uint64_t fingerprint = 0;
    once::ClaimPosition holder;  // last known
  };

  once::WallMilliseconds WallNow(Instant now);
  void RunTicket(const OnceSubmission& submission, Instant now);
  void Claim(const OnceSubmission& submission,
             const once::ClaimPosition& replaces,
             Instant now);
  void Refuse(const RequestId& request, ResultCode code, Duration retry_after);
  void Collect();
  void Take(const once::AppendBatch& append);
  void Take(const once::ReadClaims& read);
  void Take(const once::ClaimSettled& settled);

  Options options;
  once::ClaimCoordinator claims;
  bool started = false;
  std::optional<once::WallMilliseconds> wall_offset;  // to the monotonic clock
  std::uint64_t last_token = 0;
  std::map<RequestId, Pending> pending;
  std::map<once::ClaimToken, RequestId> requests;
  std::vector<OnceVerdict> verdicts;
  std::vector<EntryAction> actions;
};

}  // namespace acacialug::entry

#endif  // ENTRY_LOG_ONCE_H_
