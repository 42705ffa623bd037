#include "entry/internal/direct_once.h"

#include <string>
#include <utility>

#include "placement/types/hashing.h"

namespace acacialug::entry {
namespace {

// Two independent halves of the digest of a key.
constexpr std::uint64_t kHighSeed = 0x6b65792d68696768ULL;
constexpr std::uint64_t kLowSeed = 0x6b65792d6c6f7721ULL;

}  // namespace

protocol::Once DirectOnce::Bind(const OnceSubmission& submission) {
  // Lengths first, so that no two triples give the same text.
  const std::string text = std::to_string(submission.caller.text.size()) + "," +
                           std::to_string(submission.service.text.size()) +
                           ":" + submission.caller.text +
                           submission.service.text + submission.idempotency_key;
  return {.kind = protocol::OnceKind::kTicket,
          .key_high = placement::HashText(text, kHighSeed),
          .key_low = placement::HashText(text, kLowSeed),
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

void DirectOnce::OnRefused(const OnceSubmission& submission, Instant now) {
  this->Submit(submission, now);
}

void DirectOnce::Withdraw(const RequestId&, Instant) {}
void DirectOnce::OnClaimsAppended(const ClaimsAppended&, Instant) {}
void DirectOnce::OnClaimsRead(const ClaimsRead&, Instant) {}
void DirectOnce::OnTimer(Instant) {}

std::vector<OnceVerdict> DirectOnce::TakeVerdicts() {
  return std::exchange(this->verdicts, {});
}

}  // namespace acacialug::entry
