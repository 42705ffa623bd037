#include "gateway/internal/customer_admission.h"

#include <utility>

#include "gateway/peer_rounds.h"
#include "placement/types/hashing.h"

namespace acacialug::gateway {
namespace {

// Maximum number of dropped keys that are kept. They serve only to distinguish,
// in the log, a dropped key from a key that never existed.
constexpr std::size_t kMaxDroppedKeys = 4096;

double AmountOf(const WorkRequest& request, const CustomerLimit& limit) {
  if (limit.unit == LimitUnit::kRequests) {
    return 1;
  }
  return static_cast<double>(request.size ? request.size->prompt_tokens +
                                                request.size->max_output_tokens
                                          : limit.unsized_tokens);
}

quota::CustomerKey KeyOf(const CustomerName& name) {
  return quota::CustomerKey(placement::HashText(name.text));
}

// After a send the request may have run, or at least its prompt was computed.
bool DidNotRun(const RelayOutcome& outcome) {
  return outcome.end == RelayEnd::kRefused ||
         (outcome.end == RelayEnd::kCallerGone && outcome.sends == 0 &&
          outcome.prefills == 0);
}

}  // namespace

CustomerAdmission::CustomerAdmission(Options admission_options)
    : options(std::move(admission_options)),
      quotas({.quota_of =
                  [this](quota::CustomerKey customer) {
                    const RouteTable* const routes = this->options.routes();
                    const CustomerLimit* const limit =
                        routes == nullptr ? nullptr
                                          : routes->FindLimit(customer.value);
                    return limit == nullptr
                               ? quota::Quota{}
                               : quota::Quota{.per_second = limit->per_second,
                                              .burst = limit->burst};
                  },
              .tolerance = this->options.tolerance,
              .shares = {.heartbeat_timeout = HeartbeatTimeout}}) {}

CustomerAdmission::Decision CustomerAdmission::Identify(RelayJob& job) const {
  job.priority = job.route->priority;
  if (!job.routes->configuration().customers) {
    return {};
  }
  const std::optional<KeyDigest>& key = job.request.key;
  job.customer = key ? job.routes->FindCustomer(*key) : nullptr;
  if (job.customer != nullptr) {
    job.request.customer = job.customer->name;
    job.priority = job.customer->priority.value_or(job.priority);
    return {};
  }
  if (job.route->open_to_all) {
    return {};
  }
  Decision refused{.code = ResultCode::kUnknownCaller};
  const auto held = key ? this->dropped.find(*key) : this->dropped.end();
  if (held != this->dropped.end()) {
    refused.cause = {{"key", "dropped"}, {"dropped_by", held->second}};
  } else {
    refused.cause = {{"key", key ? "unknown" : "missing"}};
  }
  return refused;
}

CustomerAdmission::Decision CustomerAdmission::Take(RelayJob& job,
                                                    Instant now) {
  if (job.customer == nullptr || job.customer->limit.per_second <= 0) {
    return {};
  }
  const double amount = AmountOf(job.request, job.customer->limit);
  const quota::QuotaLedger::Verdict verdict =
      this->quotas.Take(KeyOf(job.customer->name), amount, now);
  if (verdict.granted) {
    job.quota_taken = amount;
    return {};
  }
  return {.code = ResultCode::kCallerOverLimit,
          .retry_after = verdict.retry_after,
          .cause = {{"customer", job.customer->name.text},
                    {"unit", NameOf(kLimitUnitNames, job.customer->limit.unit)},
                    {"asked", amount},
                    {"left", verdict.left},
                    {"per_second", job.customer->limit.per_second},
                    {"share", this->quotas.share()},
                    {"retry_after_ms", verdict.retry_after}}};
}

void CustomerAdmission::OnFinished(const RelayJob& job,
                                   const RelayOutcome& outcome,
                                   Instant now) {
  if (job.quota_taken > 0 && DidNotRun(outcome)) {
    this->quotas.Refund(KeyOf(job.customer->name), job.quota_taken, now);
  }
}

void CustomerAdmission::OnPeerHeartbeat(
    const std::string& peer,
    Incarnation incarnation,
    const std::vector<quota::QuotaUse>& reported,
    Instant now) {
  const RouteTable* const routes = this->options.routes();
  if (routes != nullptr && routes->configuration().customers) {
    this->quotas.OnPeerReport(peer, incarnation, reported, now);
  }
}

void CustomerAdmission::OnConfigurationReplaced(const RouteTable* former,
                                                const RouteTable& newest) {
  if (former == nullptr || !former->configuration().customers) {
    return;
  }
  if (this->dropped.size() >= kMaxDroppedKeys) {
    this->dropped.clear();
  }
  for (const Customer& customer : *former->configuration().customers) {
    for (const KeyDigest& key : customer.keys) {
      if (newest.FindCustomer(key) == nullptr &&
          this->dropped.size() < kMaxDroppedKeys) {
        this->dropped[key] = newest.configuration().version;
      }
    }
  }
}

}  // namespace acacialug::gateway
