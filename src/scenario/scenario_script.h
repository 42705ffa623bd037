#ifndef SCENARIO_SCENARIO_SCRIPT_H_
#define SCENARIO_SCENARIO_SCRIPT_H_

#include <optional>
#include <string>
#include <vector>

#include "scenario/types/simulation_options.h"

namespace acacialug::scenario {

// The result of a scenario: errors of the script, expectations that did not
// hold, and violations that the checker found. It passed if there are none.
struct ScenarioResult {
  std::vector<std::string> failures;
  std::vector<std::string> violations;

  bool passed() const {
    return this->failures.empty() && this->violations.empty();
  }
  // As text, with one line for each failure and violation.
  std::string ToText() const;
};

// Runs a scenario in Lua 5.4 (docs/SCENARIOS.md has its functions), waits until
// its simulation is idle, and checks that nothing is left behind. `rules`
// replace the default ones. A file that is unreadable or invalid is a failure.
// Thread safe.
ScenarioResult RunScenario(const std::string& path,
                           const SafetyRules& rules = {});

}  // namespace acacialug::scenario

#endif  // SCENARIO_SCENARIO_SCRIPT_H_
