#ifndef STANDIN_INTERNAL_ENGINE_REPORTS_H_
#define STANDIN_INTERNAL_ENGINE_REPORTS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

#include "framework/global/types/result.h"
#include "standin/types/engine_messages.h"

// The reports of an engine, and the orders that it takes, as JSON. All
// functions are thread safe.
namespace acacialug::standin {

nlohmann::json HeldJson(const std::vector<HeldRequest>& held);
nlohmann::json LoadJson(const EngineLoad& load);
nlohmann::json StateJson(const EngineState& state);
nlohmann::json StatsJson(const EngineStats& stats);
nlohmann::json CacheEventsJson(const std::vector<CacheEvent>& events,
                               std::uint64_t after);

// Errors: kMalformedJson.
Result<EngineOrder> ReadOrder(std::string_view body);

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_ENGINE_REPORTS_H_
