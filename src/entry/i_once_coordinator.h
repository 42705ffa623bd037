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

// A call that may not be repeated and is ready for dispatch. `home` is the
// endpoint that placement proposes, `home_agent` its agent's incarnation.
struct OnceSubmission {
  RequestId request;
  CallerName caller;
  ServiceName service;
  // Exactly one of these two is set.
  std::string idempotency_key;
  std::string ticket;
  std::uint64_t fingerprint = 0;  // digest of method, target and body
  EndpointId home;
  Incarnation home_agent;
  Instant deadline{};
};

// ---- verdicts on a submission ----

// The call is dispatched to `home` and no other endpoint, under `once`. The
// verdict also follows a refusal by the home, for the same home or another.
struct OnceRun {
  RequestId request;
  protocol::Once once;
  EndpointId home;
};

// Another submission under this key came first: its home is queried for the
// result, which becomes the answer. `once.home` is the only incarnation that
// knows the result.
struct OnceLookUp {
  RequestId request;
  protocol::Once once;
  EndpointId home;
};

// The request is answered with this code; this submission dispatches nothing.
struct OnceRefuse {
  RequestId request;
  ResultCode code = ResultCode::kLogUnavailable;
  protocol::Outcome outcome = protocol::Outcome::kNotRun;
  Duration retry_after{};
};

using OnceVerdict = std::variant<OnceRun, OnceLookUp, OnceRefuse>;

// Ensures that calls that may not be repeated run at most once, by tickets and
// by claims on the platform's log. EntryCore owns the coordinator and, after
// each event, forwards its verdicts (TakeVerdicts) and its log actions
// (TakeActions; AppendClaims and ReadClaims only). Not thread safe; `now` never
// goes backwards.
class IOnceCoordinator {
 public:
  virtual ~IOnceCoordinator() = default;

  // Exactly one verdict follows, immediately or later, unless the submission is
  // withdrawn first.
  virtual void Submit(const OnceSubmission& submission, Instant now) = 0;

  // The home refused the call or was lost before the dispatch, so provably
  // nothing ran there. The submission proposes another home; one more verdict
  // follows.
  virtual void OnRefused(const OnceSubmission& submission, Instant now) = 0;

  // The request ended at this entry: it was answered or refused, or its caller
  // disconnected.
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
