#ifndef SCENARIO_INTERNAL_MANIFEST_TEXT_H_
#define SCENARIO_INTERNAL_MANIFEST_TEXT_H_

#include <set>
#include <string>

#include "framework/global/types/identifiers.h"
#include "scenario/types/simulation_options.h"

namespace acacialug::scenario {

// The manifest of a simulation, as a publisher writes it: service "lm" with
// model "m", service "app", and every endpoint.
std::string ManifestText(const SimulationOptions& options,
                         const std::string& version,
                         LogOffset replaces,
                         const std::set<std::string>& leaving);

}  // namespace acacialug::scenario

#endif  // SCENARIO_INTERNAL_MANIFEST_TEXT_H_
