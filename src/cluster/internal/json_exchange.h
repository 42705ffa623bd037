#ifndef CLUSTER_INTERNAL_JSON_EXCHANGE_H_
#define CLUSTER_INTERNAL_JSON_EXCHANGE_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "framework/http/http_client.h"

namespace acacialug::cluster::internal {

// The outcome of one exchange whose answer is JSON.
struct JsonAnswer {
  bool sent = true;     // false: no byte of the request was sent
  int status = 0;       // 0: no complete answer
  nlohmann::json body;  // discarded value unless it is JSON
};

// Sends a request and calls `on_done` once, never from inside the call.
void ExchangeJson(http::Client& client,
                  const http::Address& address,
                  const http::Request& request,
                  std::function<void(const JsonAnswer& answer)> on_done);

// Reads a non-negative integer of an object; false when it has none.
bool ReadNumber(const nlohmann::json& object,
                const char* key,
                std::uint64_t& number);

}  // namespace acacialug::cluster::internal

#endif  // CLUSTER_INTERNAL_JSON_EXCHANGE_H_
