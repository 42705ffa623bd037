#ifndef GATEWAY_INTERNAL_CUSTOMER_ADMISSION_H_
#define GATEWAY_INTERNAL_CUSTOMER_ADMISSION_H_

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "framework/log/types/record.h"
#include "gateway/internal/relay_context.h"
#include "gateway/route_table.h"
#include "quota/quota_ledger.h"

namespace acacialug::gateway {

// Identifies the customer of a request, and decides whether the request is
// admitted now. Refuses requests with keys that were dropped or never existed,
// and requests over their customer's limit, before anything is queued, placed
// or counted. Not thread safe.
class CustomerAdmission {
 public:
  struct Options {
    quota::Tolerance tolerance;
    // Returns null while no configuration is known.
    std::function<const RouteTable*()> routes;
  };

  explicit CustomerAdmission(Options admission_options);

  // `retry_after` is sent with a refusal, and `cause` is logged with it.
  struct Decision {
    ResultCode code = ResultCode::kOk;
    Duration retry_after{};
    std::vector<log::Field> cause;
  };

  // Fills in the job's customer and priority. Returns kUnknownCaller when the
  // route requires a customer's key and the request has none. Precondition: the
  // job has a route.
  Decision Identify(RelayJob& job) const;

  // Takes the request's amount from its customer's quota, or returns
  // kCallerOverLimit. Precondition: Identify.
  Decision Take(RelayJob& job, Instant now);
  // Called when a request that Take granted has ended. Refunds the quota of a
  // request that did not run.
  void OnFinished(const RelayJob& job,
                  const RelayOutcome& outcome,
                  Instant now);

  // Another configuration replaces the active one; `former` is null when none
  // was active.
  void OnConfigurationReplaced(const RouteTable* former,
                               const RouteTable& newest);

  // As quota::QuotaLedger::OnPeerReport. Ignored when the configuration has no
  // customers, since there is no quota to share.
  void OnPeerHeartbeat(const std::string& peer,
                       Incarnation incarnation,
                       const std::vector<quota::QuotaUse>& reported,
                       Instant now);

  quota::QuotaLedger& ledger() { return this->quotas; }

 private:
  const Options options;
  quota::QuotaLedger quotas;
  // Former keys of customers, with the configuration version that dropped them.
  std::unordered_map<KeyDigest, std::uint64_t> dropped;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_CUSTOMER_ADMISSION_H_
