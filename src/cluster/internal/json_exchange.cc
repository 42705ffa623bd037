#include "cluster/internal/json_exchange.h"

#include <memory>
#include <utility>

namespace acacialug::cluster::internal {

void ExchangeJson(http::Client& client,
                  const http::Address& address,
                  const http::Request& request,
                  std::function<void(const JsonAnswer& answer)> on_done) {
  auto status = std::make_shared<int>(0);
  auto done = std::make_shared<std::function<void(const JsonAnswer&)>>(
      std::move(on_done));
  http::ExchangeHooks hooks;
  hooks.on_head = [status](int answered, const http::Headers&) {
    *status = answered;
  };
  hooks.on_end = [status, done](const std::string& body) {
    (*done)({.sent = true,
             .status = *status,
             .body = nlohmann::json::parse(body, nullptr, false)});
  };
  hooks.on_error = [done](const Error&, bool sent) {
    (*done)({.sent = sent,
             .status = 0,
             .body = nlohmann::json(nlohmann::json::value_t::discarded)});
  };
  client.Send(address, request, std::move(hooks));
}

bool ReadNumber(const nlohmann::json& object,
                const char* key,
                std::uint64_t& number) {
  if (!object.is_object()) {
    return false;
  }
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number_unsigned()) {
    return false;
  }
  number = found->get<std::uint64_t>();
  return true;
}

}  // namespace acacialug::cluster::internal
