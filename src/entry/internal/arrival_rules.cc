#include "entry/internal/arrival_rules.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace acacialug::entry {
namespace {

constexpr std::array<std::string_view, 6> kIdempotentMethods = {
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"};

const manifest::LatencyClass* FindClass(const manifest::Service& service,
                                        const std::string& name) {
  if (name.empty()) {
    return &service.classes.front();
  }
  const auto found =
      std::find_if(service.classes.begin(), service.classes.end(),
                   [&name](const manifest::LatencyClass& item) {
                     return item.name == name;
                   });
  return found == service.classes.end() ? nullptr : &*found;
}

// Returns the class that the request names, else the caller's class if the
// service has it, else the service's first class.
const manifest::LatencyClass* ClassOf(const manifest::Service& service,
                                      const std::string& requested,
                                      const manifest::CallerLimits* caller) {
  if (!requested.empty() || caller == nullptr) {
    return FindClass(service, requested);
  }
  const manifest::LatencyClass* const own =
      FindClass(service, caller->latency_class);
  return own == nullptr ? FindClass(service, {}) : own;
}

template <typename Arrived>
Result<RequestTerms> TermsOf(
    const Arrived& arrived,
    const manifest::Service& service,
    const std::shared_ptr<const manifest::Manifest>& manifest,
    Duration default_deadline,
    Instant now) {
  const manifest::CallerLimits* const caller =
      manifest->FindCaller(arrived.caller);
  if (caller == nullptr && manifest->require_known_callers) {
    return Error(ResultCode::kUnknownCaller);
  }
  const manifest::LatencyClass* const latency_class =
      ClassOf(service, arrived.latency_class, caller);
  if (latency_class == nullptr) {
    return Error(ResultCode::kInvalidHeader, arrived.latency_class);
  }
  const Duration deadline =
      arrived.deadline > Duration::zero() ? arrived.deadline : default_deadline;
  return RequestTerms{
      .request = arrived.request,
      .caller = arrived.caller,
      .share = caller == nullptr ? 1.0 : caller->share,
      .manifest = manifest,
      .service = &service,
      .latency_class = latency_class,
      .arrival = now,
      .deadline = now + deadline,
      .first_token_by = now + std::min(latency_class->first_token, deadline)};
}

bool RuleMatches(const manifest::IdempotencyRule& rule,
                 const protocol::ServiceRequest& call) {
  return (rule.method.empty() || rule.method == call.method) &&
         call.target.starts_with(rule.path_prefix);
}

}  // namespace

Result<RequestTerms> ArrivalRules::ForGeneration(
    const GenerationArrived& arrived,
    const std::shared_ptr<const manifest::Manifest>& manifest,
    Duration default_deadline,
    Instant now) {
  const manifest::Service* const service =
      manifest->FindServiceOfModel(arrived.generation.model);
  if (service == nullptr) {
    return Error(ResultCode::kUnknownModel, arrived.generation.model.text);
  }
  return TermsOf(arrived, *service, manifest, default_deadline, now);
}

Result<RequestTerms> ArrivalRules::ForCall(
    const CallArrived& arrived,
    const std::shared_ptr<const manifest::Manifest>& manifest,
    Duration default_deadline,
    Instant now) {
  const manifest::Service* const service =
      manifest->FindService(arrived.service);
  if (service == nullptr || service->kind != manifest::ServiceKind::kPlain) {
    return Error(ResultCode::kUnknownService, arrived.service.text);
  }
  return TermsOf(arrived, *service, manifest, default_deadline, now);
}

bool ArrivalRules::Idempotent(const manifest::Service& service,
                              const protocol::ServiceRequest& call) {
  for (const manifest::IdempotencyRule& rule : service.idempotency) {
    if (RuleMatches(rule, call)) {
      return rule.idempotent;
    }
  }
  return std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(),
                   call.method) != kIdempotentMethods.end();
}

}  // namespace acacialug::entry
