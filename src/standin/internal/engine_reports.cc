#include "standin/internal/engine_reports.h"

#include <cstdio>
#include <utility>

#include "standin/internal/json_access.h"

namespace acacialug::standin {

using nlohmann::json;

json HeldJson(const std::vector<HeldRequest>& held) {
  json requests = json::array();
  for (const HeldRequest& request : held) {
    requests.push_back({{"request_id", request.request_id},
                        {"kind", NameOf(kHeldKindNames, request.kind)},
                        {"kv_tokens", request.kv_tokens}});
  }
  return {{"requests", std::move(requests)}};
}

json LoadJson(const EngineLoad& load) {
  return {{"running", load.running},
          {"waiting", load.waiting},
          {"free_kv_tokens", load.free_kv_tokens},
          {"total_kv_tokens", load.total_kv_tokens}};
}

json StateJson(const EngineState& state) {
  return {{"fence", state.order.fencing_token},
          {"model", state.order.model},
          {"version", state.order.version},
          {"adapters", state.order.adapters},
          {"role", NameOf(kEngineRoleNames, state.order.role)},
          {"loading", state.loading}};
}

json StatsJson(const EngineStats& stats) {
  return {{"prefill_computed_tokens", stats.prefill_computed},
          {"prefill_cached_tokens", stats.prefill_cached},
          {"prefill_wasted_tokens", stats.prefill_wasted},
          {"prompt_discarded_tokens", stats.prompt_discarded},
          {"output_tokens", stats.output},
          {"prefills_done", stats.prefills_done},
          {"streams_done", stats.streams_done},
          {"exports_fetched", stats.exports_fetched},
          {"exports_evicted", stats.exports_evicted},
          {"aborted", stats.aborted},
          {"refused", stats.refused},
          {"failed", stats.failed},
          {"iterations", stats.iterations},
          {"busy_seconds", Seconds(stats.busy)}};
}

json CacheEventsJson(const std::vector<CacheEvent>& events,
                     std::uint64_t after) {
  json list = json::array();
  for (const CacheEvent& event : events) {
    char hash[17];
    std::snprintf(hash, sizeof hash, "%016llx",
                  static_cast<unsigned long long>(event.hash));
    list.push_back({{"id", event.id},
                    {"kind", NameOf(kCacheEventKindNames, event.kind)},
                    {"hash", hash}});
  }
  return {{"next", events.empty() ? after : events.back().id},
          {"events", std::move(list)}};
}

Result<EngineOrder> ReadOrder(std::string_view text) {
  const json body = Parse(text);
  const std::optional<EngineRole> role =
      ValueOf(kEngineRoleNames, TextOr(body, "role", "mixed"));
  if (!body.is_object() || !role || IntegerOr(body, "fence", -1) < 0) {
    return Error(ResultCode::kMalformedJson, "fence, role");
  }
  EngineOrder order{
      .fencing_token = static_cast<std::uint64_t>(IntegerOr(body, "fence", 0)),
      .model = TextOr(body, "model", ""),
      .version = TextOr(body, "version", ""),
      .role = *role};
  for (const json& adapter : ChildOr(body, "adapters")) {
    if (adapter.is_string()) {
      order.adapters.push_back(adapter.get<std::string>());
    }
  }
  return order;
}

}  // namespace acacialug::standin
