#ifndef CLUSTER_I_WEIGHT_STORE_H_
#define CLUSTER_I_WEIGHT_STORE_H_

#include <functional>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "framework/global/types/result.h"

namespace acacialug::cluster {

// The platform's rate-limited weight store. A load starts only under a permit,
// so that few run at once and none starves. Lives on one thread.
class IWeightStore {
 public:
  virtual ~IWeightStore() = default;

  // Requests a permit to load; the result is the permit's lease. Errors:
  // kPlatformUnavailable, kOverloaded (retry later).
  virtual void Acquire(const EndpointId& endpoint,
                       std::function<void(Result<Duration>)> on_done) = 0;
  // Idempotent.
  virtual void Release(const EndpointId& endpoint) = 0;
};

}  // namespace acacialug::cluster

#endif  // CLUSTER_I_WEIGHT_STORE_H_
