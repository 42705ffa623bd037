#include "entry/internal/direct_once.h"

#include <utility>

#include "once/work_key.h"

namespace acacialug::entry {
namespace {

constexpr Duration kRetryAfter = 500ms;

}  // namespace

protocol::Once DirectOnce::Bind(const OnceSubmission& submission) {
  const once::WorkKey key = once::MakeWorkKey(
      submission.caller, submission.service, submission.idempotency_key);
  return {.kind = protocol::OnceKind::kTicket,
          .key_high = key.high,
          .key_low = key.low,
          .fingerprint = submission.fingerprint,
          .home = submission.home_agent};
}

void DirectOnce::Submit(const OnceSubmission& submission, Instant) {
  if (submission.idempotency_key.empty()) {
    this->verdicts.emplace_back(OnceRefuse{.request = submission.request,
                                           .code = ResultCode::kTicketInvalid});
    return;
  }
  this->verdicts.emplace_back(OnceRun{.request = submission.request,
                                      .once = Bind(submission),
                                      .home = submission.home});
}

// Without a log, entries agree on a home only by picking the same one. If a
// refused call moved to the next home, a second submission could still reach
// the first home and run there a second time.
void DirectOnce::OnRefused(const OnceSubmission& submission, Instant) {
  this->verdicts.emplace_back(OnceRefuse{.request = submission.request,
                                         .code = ResultCode::kOverloaded,
                                         .retry_after = kRetryAfter});
}

void DirectOnce::Withdraw(const RequestId&, Instant) {}
void DirectOnce::OnClaimsAppended(const ClaimsAppended&, Instant) {}
void DirectOnce::OnClaimsRead(const ClaimsRead&, Instant) {}
void DirectOnce::OnTimer(Instant) {}

std::vector<OnceVerdict> DirectOnce::TakeVerdicts() {
  return std::exchange(this->verdicts, {});
}

}  // namespace acacialug::entry
