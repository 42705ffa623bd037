#include "cluster/http_weight_store.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "cluster/internal/json_exchange.h"

namespace acacialug::cluster {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusTooMany = 429;

Result<Duration> ReadPermit(const internal::JsonAnswer& answer) {
  if (answer.status == kStatusTooMany) {
    return Error(ResultCode::kOverloaded, "all load permits are taken");
  }
  std::uint64_t lease_ms = 0;
  if (answer.status != kStatusOk) {
    return Error(ResultCode::kPlatformUnavailable, "weight store");
  }
  if (!internal::ReadNumber(answer.body, "lease_ms", lease_ms)) {
    return Error(ResultCode::kPlatformBadAnswer, "weight store's permit");
  }
  return Duration(std::chrono::milliseconds(lease_ms));
}

}  // namespace

HttpWeightStore::HttpWeightStore(http::Address store_address,
                                 http::Client& http_client)
    : address(std::move(store_address)), client(http_client) {}

void HttpWeightStore::Acquire(const EndpointId& endpoint,
                              std::function<void(Result<Duration>)> on_done) {
  const http::Request request{
      .method = "POST",
      .target = "/permits",
      .headers = {{"Content-Type", "application/json"}},
      .body = nlohmann::json{{"endpoint", endpoint.text}}.dump()};
  internal::ExchangeJson(
      this->client, this->address, request,
      [on_done = std::move(on_done)](const internal::JsonAnswer& answer) {
        on_done(ReadPermit(answer));
      });
}

void HttpWeightStore::Release(const EndpointId& endpoint) {
  // If the release is lost, the permit ends with its lease.
  internal::ExchangeJson(
      this->client, this->address,
      {.method = "DELETE", .target = "/permits/" + endpoint.text},
      [](const internal::JsonAnswer&) {});
}

}  // namespace acacialug::cluster
