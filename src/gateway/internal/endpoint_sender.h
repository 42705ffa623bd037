#ifndef GATEWAY_INTERNAL_ENDPOINT_SENDER_H_
#define GATEWAY_INTERNAL_ENDPOINT_SENDER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "gateway/endpoint_catalog.h"
#include "gateway/endpoint_health.h"
#include "gateway/endpoint_limits.h"
#include "gateway/types/endpoint_advice.h"
#include "gateway/types/endpoint_dialect.h"
#include "gateway/types/endpoint_record.h"
#include "gateway/types/gateway_hooks.h"

namespace acacialug::gateway {

// Sends every message of this process to endpoints, and reads the advice in
// their answers. Not thread safe.
class EndpointSender {
 public:
  // Maximum body of an answer that says something about memory or orders, and
  // the time in which it must be whole.
  static constexpr std::size_t kMaxControlBytes = std::size_t{64} * 1024;
  static constexpr Duration kControlTimeout = 2s;

  // Judges the head of an answer to a request.
  using Judge =
      std::function<AnswerNature(int status, const http::Headers& headers)>;

  // All outlive this object.
  EndpointSender(const GatewayHooks& gateway_hooks,
                 const EndpointDialect& endpoint_dialect,
                 EndpointLimits& endpoint_limits,
                 EndpointCatalog& endpoint_catalog,
                 EndpointHealth& endpoint_health)
      : hooks(gateway_hooks),
        dialect(endpoint_dialect),
        limits(endpoint_limits),
        catalog(endpoint_catalog),
        health(endpoint_health) {}

  // As GatewayHooks::send, with `is_answer` and `wants_body` set here. `judge`
  // is empty for messages that are no requests of callers; their answers are
  // bounded as above.
  http::Client::ExchangeId Send(const EndpointRecord& endpoint,
                                const http::Request& request,
                                http::ExchangeHooks exchange_hooks,
                                Judge judge = {},
                                http::SendOptions send_options = {});

  // A peer reported what an answer that it received says of a limit.
  void OnPeerLimit(const EndpointLimitReport& reported);

 private:
  // Whether an answer that arrives is to the message that `judge` is for. An
  // endpoint may answer a message twice, the second time where the answer to a
  // later message on the connection is expected.
  bool IsAnswer(const Judge& judge,
                int status,
                const http::Headers& headers) const;
  // Whether the endpoint, which had started at this time, has restarted under
  // its id since. Advice of its former process doesn't apply to the new one.
  bool HasRestarted(const EndpointId& endpoint,
                    std::int64_t started_at_ms) const;
  void OnHead(const EndpointId& endpoint,
              Instant sent_at,
              int status,
              const http::Headers& headers,
              const Judge& judge);
  // Returns whether the answer changed what is known of the endpoint's limit.
  bool NoteLimit(const EndpointId& endpoint,
                 std::optional<double> max_rate,
                 Instant sent_at,
                 AnswerNature nature);
  // The fields of the log entry are `fields` and the limit.
  void LogLimit(const EndpointId& endpoint,
                std::optional<double> max_rate,
                std::vector<log::Field> fields) const;

  const GatewayHooks& hooks;
  const EndpointDialect& dialect;
  EndpointLimits& limits;
  EndpointCatalog& catalog;
  EndpointHealth& health;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_ENDPOINT_SENDER_H_
