#ifndef CLUSTER_I_WEIGHT_STORE_H_
#define CLUSTER_I_WEIGHT_STORE_H_

#include <functional>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "framework/global/types/result.h"

namespace acacialug::cluster {

// The platform's rate-limited weight store. A load is only begun under a
// permit, so that few run at once and none starves. Lives on one thread.
class IWeightStore {
 public:
  virtual ~IWeightStore() = default;

  // Asks for a permit to load; on success, how long it holds. Errors:
  // kPlatformUnavailable, kOverloaded (ask again later).
  virtual void Acquire(const EndpointId& endpoint,
                       std::function<void(Result<Duration>)> on_done) = 0;
  // Safe to repeat.
  virtual void Release(const EndpointId& endpoint) = 0;
};

}  // namespace acacialug::cluster

#endif  // CLUSTER_I_WEIGHT_STORE_H_
