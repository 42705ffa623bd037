#include "control/internal/node_pages.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "operations/requests_page.h"

namespace acacialug::control {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kServerErrors = 500;
constexpr int kShownBytes = 80;  // of an invalid answer

EndpointView ReadLoad(const Json& load) {
  EndpointView seen{
      .running = load.at("running").get<std::uint32_t>(),
      .limit = load.at("limit").get<std::uint32_t>(),
      .queued = load.at("queued").get<std::uint32_t>(),
      .free_kv_tokens = load.at("free_kv_tokens").get<std::uint64_t>()};
  seen.work_ahead =
      load.contains("work_ahead_ms")
          ? Duration(std::chrono::milliseconds(
                load["work_ahead_ms"].get<std::int64_t>()))
          : FromSeconds(load.at("work_ahead_seconds").get<double>());
  return seen;
}

// The newest load of an endpoint is that of the shard that received a report
// last. The page does not name this shard, so the load of any connected shard
// is shown.
void ReadShard(const Json& shard, NodeStatus& status) {
  for (const auto& [id, view] : shard.at("endpoints").items()) {
    const bool connected = view.at("connected").get<bool>();
    const auto [found, first] =
        status.endpoints.try_emplace(EndpointId(id), ReadLoad(view.at("load")));
    EndpointView& seen = found->second;
    const bool all = connected && (first || seen.connected);
    if (connected) {
      seen = ReadLoad(view.at("load"));
    }
    seen.connected = all;
  }
}

NodeStatus ReadPage(const Json& page) {
  NodeStatus status{.is_entry = page.contains("entry"),
                    .ready = page.at("ready").get<bool>(),
                    .draining = page.at("draining").get<bool>()};
  if (page.at("manifest").is_object()) {
    status.manifest_offset = page["manifest"].at("offset").get<std::uint64_t>();
  }
  if (status.is_entry) {
    status.name = page["entry"].get<std::string>();
    for (const Json& shard : page.at("shards")) {
      ReadShard(shard, status);
    }
  } else {
    status.name = page.at("endpoint").get<std::string>();
    status.role = page.at("role").get<std::string>();
    status.load = ReadLoad(page.at("load"));
    status.held_attempts = page.at("held_attempts").size();
  }
  return status;
}

// The number in an entry's JSON or at the start of an agent's line.
int NumberIn(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (json.is_object() && json.contains("error") && json["error"].is_object() &&
      json["error"].contains("number") &&
      json["error"]["number"].is_number_integer()) {
    return json["error"]["number"].get<int>();
  }
  return static_cast<int>(std::strtol(body.c_str(), nullptr, 10));
}

}  // namespace

Error ErrorOf(const http::Response& response) {
  const int number = NumberIn(response.body);
  const auto code = static_cast<ResultCode>(number);
  const std::string detail = "status " + std::to_string(response.status) +
                             ": " + response.body.substr(0, kShownBytes);
  const bool ours = number != 0 && ResultCodeName(code) != "unlisted";
  return Error(ours ? code : ResultCode::kNodeBadAnswer,
               ours && response.status < kServerErrors
                   ? std::string(ResultCodeMeaning(code))
                   : detail);
}

Result<NodeStatus> ReadStatus(const NodeAnswer& answer) {
  if (!answer.response.ok()) {
    return answer.response.error();
  }
  if (answer.response->status != kOk) {
    return ErrorOf(*answer.response);
  }
  try {
    NodeStatus status = ReadPage(Json::parse(answer.response->body));
    status.address = answer.address;
    return status;
  } catch (const Json::exception& fault) {
    return Error(ResultCode::kNodeBadAnswer, fault.what());
  }
}

Result<operations::RequestsPage> ReadRequests(const NodeAnswer& answer) {
  if (!answer.response.ok()) {
    return answer.response.error();
  }
  if (answer.response->status != kOk) {
    return ErrorOf(*answer.response);
  }
  return operations::ParseRequestsPage(answer.response->body);
}

}  // namespace acacialug::control
