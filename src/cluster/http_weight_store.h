#ifndef CLUSTER_HTTP_WEIGHT_STORE_H_
#define CLUSTER_HTTP_WEIGHT_STORE_H_

#include <functional>

#include "cluster/i_weight_store.h"
#include "framework/http/http_client.h"

namespace acacialug::cluster {

// The platform's weight store over HTTP: POST /permits {"endpoint": "..."}
// answers 200 {"lease_ms": n} or 429; DELETE /permits/ENDPOINT releases.
// One thread, that of `client`, which must outlive this.
class HttpWeightStore : public IWeightStore {
 public:
  HttpWeightStore(http::Address store_address, http::Client& http_client);

  void Acquire(const EndpointId& endpoint,
               std::function<void(Result<Duration>)> on_done) override;
  void Release(const EndpointId& endpoint) override;

 private:
  http::Address address;
  http::Client& client;
};

}  // namespace acacialug::cluster

#endif  // CLUSTER_HTTP_WEIGHT_STORE_H_
