#ifndef STANDIN_SETTINGS_H_
#define STANDIN_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "framework/settings/types/problem.h"
#include "standin/engine_server.h"
#include "standin/platform_server.h"
#include "standin/service_server.h"

namespace acacialug::standin {

// The roles of one stand-in process.
struct StandinSettings {
  std::vector<EngineServerOptions> engines;
  std::vector<ServiceServerOptions> services;
  std::optional<LogServerOptions> log;
  std::optional<HostListServerOptions> hosts;
  std::optional<WeightStoreServerOptions> weights;
};

struct LoadedSettings {
  StandinSettings settings;  // invalid if there are problems
  std::vector<settings::Problem> problems;
};

// Reads a settings file (docs/STANDINS.md). Thread safe.
LoadedSettings LoadStandinSettings(const std::string& path);

// The same for a text; `source` names it in problems. Thread safe.
LoadedSettings ReadStandinSettings(std::string source, std::string_view text);

}  // namespace acacialug::standin

#endif  // STANDIN_SETTINGS_H_
