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

// Whose request it is, and whether its customer may have it now. Answers
// callers with keys that were dropped or never were, and customers that ask for
// more than their limit, before anything is queued, placed or counted. Not
// thread safe.
class CustomerAdmission {
 public:
  struct Options {
    quota::Tolerance tolerance;
    // Null: no configuration is known.
    std::function<const RouteTable*()> routes;
  };

  explicit CustomerAdmission(Options admission_options);

  // What is told of a refusal, beside its code.
  struct Decision {
    ResultCode code = ResultCode::kOk;
    Duration retry_after{};
    std::vector<log::Field> cause;
  };

  // Fills in the job's customer and priority. Precondition: it has a route.
  // kUnknownCaller: the route needs a key that is held, and it shows none.
  Decision Identify(RelayJob& job) const;

  // Takes the request from its customer's quota, or kCallerOverLimit.
  // Precondition: Identify.
  Decision Take(RelayJob& job, Instant now);
  // A request that was taken is over; one that did not run gives it back.
  void OnFinished(const RelayJob& job,
                  const RelayOutcome& outcome,
                  Instant now);

  // Another configuration takes the place of the one in force; null: of none.
  void OnConfigurationReplaced(const RouteTable* former,
                               const RouteTable& newest);

  // As of quota::QuotaLedger; passed over without customers, since there is
  // nothing to share.
  void OnPeerHeartbeat(const std::string& peer,
                       Incarnation incarnation,
                       const std::vector<quota::QuotaUse>& reported,
                       Instant now);

  quota::QuotaLedger& ledger() { return this->quotas; }

 private:
  const Options options;
  quota::QuotaLedger quotas;
  // Keys that were held, by the version that dropped them.
  std::unordered_map<KeyDigest, std::uint64_t> dropped;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_CUSTOMER_ADMISSION_H_
