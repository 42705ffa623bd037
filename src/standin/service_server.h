#ifndef STANDIN_SERVICE_SERVER_H_
#define STANDIN_SERVICE_SERVER_H_

#include <cstdint>
#include <memory>

#include "framework/global/types/result.h"
#include "framework/http/http_types.h"
#include "standin/service_model.h"

namespace acacialug::standin {

struct ServiceServerOptions {
  http::Address listen;
  ServiceOptions service;
  Duration one_way_delay{};  // added to requests and to answers
  std::uint64_t seed = 1;
};

// A ServiceModel behind HTTP: every method and path is a call, answered by
// ReferenceServiceAnswer, except GET /executions, GET /health and POST
// /control. Lives on one thread with a running Qt event loop; not thread safe.
class ServiceServer {
 public:
  explicit ServiceServer(ServiceServerOptions options);
  ~ServiceServer();

  // Listens. Errors: kAddressInUse.
  Status Start();

  // Precondition: Start succeeded.
  http::Address address() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::standin

#endif  // STANDIN_SERVICE_SERVER_H_
