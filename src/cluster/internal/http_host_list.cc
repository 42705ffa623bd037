#include "cluster/http_host_list.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "cluster/internal/json_exchange.h"

namespace acacialug::cluster {
namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;

std::optional<HostRecord> ReadHost(const json& object) {
  if (!object.is_object() || !object.contains("host") ||
      !object["host"].is_string() || !object.contains("state") ||
      !object["state"].is_string()) {
    return std::nullopt;
  }
  const auto state =
      ValueOf(kHostStateNames, object["state"].get_ref<const std::string&>());
  if (!state) {
    return std::nullopt;
  }
  return HostRecord{.host = HostId(object["host"].get<std::string>()),
                    .state = *state};
}

Result<std::vector<HostRecord>> ReadHosts(const internal::JsonAnswer& answer) {
  if (answer.status != kStatusOk) {
    return Error(ResultCode::kPlatformUnavailable, "host list does not answer");
  }
  if (!answer.body.is_object() || !answer.body.contains("hosts") ||
      !answer.body["hosts"].is_array()) {
    return Error(ResultCode::kPlatformBadAnswer, "host list's answer");
  }
  std::vector<HostRecord> hosts;
  for (const json& object : answer.body["hosts"]) {
    if (std::optional<HostRecord> host = ReadHost(object)) {
      hosts.push_back(*std::move(host));
    }
  }
  return hosts;
}

}  // namespace

HttpHostList::HttpHostList(http::Address list_address,
                           http::Client& http_client)
    : address(std::move(list_address)), client(http_client) {}

void HttpHostList::Read(
    std::function<void(Result<std::vector<HostRecord>>)> on_done) {
  internal::ExchangeJson(
      this->client, this->address, {.method = "GET", .target = "/hosts"},
      [on_done = std::move(on_done)](const internal::JsonAnswer& answer) {
        on_done(ReadHosts(answer));
      });
}

}  // namespace acacialug::cluster
