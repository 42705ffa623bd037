#ifndef ENTRY_INTERNAL_DIRECT_ONCE_H_
#define ENTRY_INTERNAL_DIRECT_ONCE_H_

#include <vector>

#include "entry/i_once_coordinator.h"

namespace acacialug::entry {

// The coordinator without a log. A keyed call is bound to the incarnation of
// the agent that its key picks, whose ledger limits it to one run. Two
// submissions on two entries reach the same home as long as both entries can
// connect to it; otherwise the second submission is not detected. With a
// platform log, a coordinator that claims keys is used instead.
class DirectOnce : public IOnceCoordinator {
 public:
  void Submit(const OnceSubmission& submission, Instant now) override;
  void OnRefused(const OnceSubmission& submission, Instant now) override;
  void Withdraw(const RequestId& request, Instant now) override;
  void OnClaimsAppended(const ClaimsAppended& appended, Instant now) override;
  void OnClaimsRead(const ClaimsRead& read, Instant now) override;
  void OnTimer(Instant now) override;
  Instant NextTimer() const override { return kNever; }
  std::vector<OnceVerdict> TakeVerdicts() override;
  std::vector<EntryAction> TakeActions() override { return {}; }

  // Returns the key's digest in the form that the agents' ledgers use. Thread
  // safe.
  static protocol::Once Bind(const OnceSubmission& submission);

 private:
  std::vector<OnceVerdict> verdicts;
};

}  // namespace acacialug::entry

#endif  // ENTRY_INTERNAL_DIRECT_ONCE_H_
