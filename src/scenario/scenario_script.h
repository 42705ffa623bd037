#ifndef SCENARIO_SCENARIO_SCRIPT_H_
#define SCENARIO_SCENARIO_SCRIPT_H_

#include <optional>
#include <string>
#include <vector>

#include "scenario/types/world_options.h"

namespace acacialug::scenario {

// What came of a scenario: errors of the script and expectations that did not
// hold, and what the checker found. Both empty: it passed.
struct ScenarioResult {
  std::vector<std::string> failures;
  std::vector<std::string> violations;

  bool passed() const {
    return this->failures.empty() && this->violations.empty();
  }
  // For people; one line each.
  std::string ToText() const;
};

// Runs a scenario written in Lua 5.4 (docs/SCENARIOS.md tells its words),
// lets its world come to rest, and checks what is left. `rules` replace those
// in force. A file that cannot be read or is no Lua is a failure. Thread safe.
ScenarioResult RunScenario(const std::string& path,
                           const WorldRules& rules = {});

}  // namespace acacialug::scenario

#endif  // SCENARIO_SCENARIO_SCRIPT_H_
