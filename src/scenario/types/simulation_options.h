#ifndef SCENARIO_TYPES_SIMULATION_OPTIONS_H_
#define SCENARIO_TYPES_SIMULATION_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "agent/types/agent_options.h"
#include "entry/types/entry_options.h"
#include "framework/global/types/instant.h"

namespace acacialug::scenario {

// The safety rules of a whole simulation. Tests disable one of them to show
// that the checker detects it.
struct SafetyRules {
  entry::EntryRules entry;
  agent::AgentRules agent;
  bool learn_manifests = true;  // agents, from the entries
};

// The size of a simulation, and the delays between its processes.
struct SimulationOptions {
  std::uint32_t entries = 2;        // named e1, e2, ...
  std::uint32_t prefill = 2;        // p1, ...
  std::uint32_t decode = 3;         // d1, ...
  std::uint32_t plain = 2;          // s1, ...
  std::uint64_t kv_tokens = 40000;  // of a decode endpoint
  std::uint32_t slots = 8;
  Duration call_time = 20ms;       // mean, of a plain service
  Duration network_delay = 500us;  // one way
  Duration log_delay = 5ms;        // of one append or read
  Duration retention{};            // of the log's records; zero: for ever
  Duration load_time = 2s;         // of a model version in an engine
  std::uint32_t permits = 0;       // of the weight store; 0: there is none
  std::uint64_t seed = 1;
  // Contents of its manifests, from the next one on.
  std::string model_version;
  std::vector<std::string> adapters;
  std::uint32_t minimum_serving = 0;  // of the decode pool; 0: no rule
  SafetyRules rules;
};

}  // namespace acacialug::scenario

#endif  // SCENARIO_TYPES_SIMULATION_OPTIONS_H_
