#ifndef GATEWAY_INTERNAL_RUN_QUERY_H_
#define GATEWAY_INTERNAL_RUN_QUERY_H_

#include <functional>
#include <memory>
#include <string>

#include "gateway/internal/relay_context.h"

namespace acacialug::gateway {

// Asks an endpoint whether it still works on a request that this process has
// left: the end of what a caller sends can be taken for a half-closed
// connection. Gives the endpoint a moment first, in which one that watches its
// connections closes it. Runs on the core's thread; not thread safe.
class RunQuery : public std::enable_shared_from_this<RunQuery> {
 public:
  // `at_work`: the endpoint says that the request runs there. False also if it
  // does not tell, or does not answer.
  using Done = std::function<void(bool at_work)>;

  // `relay_context` outlives this object. `request`: the id by which the
  // endpoint knows the request.
  RunQuery(RelayContext& relay_context,
           EndpointRecord queried,
           std::string request);

  // Must be called once. `on_done` runs once, later, unless Cancel is called
  // first.
  void Begin(Done on_done);
  // May be called repeatedly.
  void Cancel();

 private:
  Instant Now() const { return this->context.hooks.now(); }
  void Ask();
  void End(bool at_work);

  RelayContext& context;
  const EndpointRecord endpoint;
  const std::string request_id;
  Done done;
  http::Client::ExchangeId exchange = 0;
  TimerId timer = 0;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_RUN_QUERY_H_
