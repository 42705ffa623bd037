#ifndef ENTRY_I_ONCE_COORDINATOR_H_
#define ENTRY_I_ONCE_COORDINATOR_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "entry/types/entry_messages.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "protocol/types/messages.h"

namespace acacialug::entry {

// A call that may not be repeated and wants to be dispatched. `home` is the
// endpoint that placement proposes, `home_agent` its agent's incarnation.
struct OnceSubmission {
  RequestId request;
  CallerName caller;
  ServiceName service;
  std::string idempotency_key;  // one of the two is set
  std::string ticket;
  std::uint64_t fingerprint = 0;  // digest of method, target and body
  EndpointId home;
  Incarnation home_agent;
  Instant deadline{};
};

// ---- verdicts on a submission ----

// Dispatch it to that endpoint and no other, under `once`. Also after a
// refusal by the home, for the same or another one.
struct OnceRun {
  RequestId request;
  protocol::Once once;
  EndpointId home;
};

// Another submission under this key came first: ask its home what became of
// it, and answer that. `once.home` is the incarnation that alone can tell.
struct OnceLookUp {
  RequestId request;
  protocol::Once once;
  EndpointId home;
};

// Answer with this; it is not dispatched by this submission.
struct OnceRefuse {
  RequestId request;
  ResultCode code = ResultCode::kLogUnavailable;
  protocol::Outcome outcome = protocol::Outcome::kNotRun;
  Duration retry_after{};
};

using OnceVerdict = std::variant<OnceRun, OnceLookUp, OnceRefuse>;

// Decides at most once for calls that may not be repeated: tickets, and claims
// on the platform's log. An aggregate like EntryCore, which owns it and passes
// on its verdicts (TakeVerdicts) and its log actions (TakeActions, AppendClaims
// and ReadClaims only) after each event. Not thread safe; `now` never goes
// backwards.
class IOnceCoordinator {
 public:
  virtual ~IOnceCoordinator() = default;

  // A submission; exactly one verdict follows, at once or later, unless it is
  // withdrawn before.
  virtual void Submit(const OnceSubmission& submission, Instant now) = 0;

  // The home refused, or was gone before the dispatch: provably nothing ran
  // there. The submission proposes another; one more verdict follows.
  virtual void OnRefused(const OnceSubmission& submission, Instant now) = 0;

  // The request ended here (answered, refused, or its caller is gone).
  virtual void Withdraw(const RequestId& request, Instant now) = 0;

  virtual void OnClaimsAppended(const ClaimsAppended& appended,
                                Instant now) = 0;
  virtual void OnClaimsRead(const ClaimsRead& read, Instant now) = 0;

  // Call at or after NextTimer().
  virtual void OnTimer(Instant now) = 0;
  virtual Instant NextTimer() const = 0;

  virtual std::vector<OnceVerdict> TakeVerdicts() = 0;
  virtual std::vector<EntryAction> TakeActions() = 0;
};

}  // namespace acacialug::entry

#endif  // ENTRY_I_ONCE_COORDINATOR_H_
