#ifndef AGENT_PROCESS_TYPES_AGENT_SETTINGS_H_
#define AGENT_PROCESS_TYPES_AGENT_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "agent/types/agent_options.h"
#include "engine/types/engine_options.h"
#include "framework/http/http_types.h"
#include "framework/log/types/record.h"

namespace acacialug::agent_process {

// The contents of an agent's settings file. Role, slots and memory come from
// the manifest's record of the endpoint instead.
struct AgentSettings {
  http::Address listen;             // for entries
  http::Address operations_listen;  // for operators and probes
  bool allow_drain = false;         // accepts POST /drain on that port
  std::string manifest_file;        // empty: the platform's log is used
  std::optional<http::Address> platform_log;
  std::optional<http::Address> platform_weights;  // loads need permits
  std::vector<http::Address> peers;               // operations ports of entries
  http::TlsFiles peer_tls;
  log::Level log_level = log::Level::kInfo;
  engine::EngineOptions engine;
  // Identity and policy; WithManifest fills in the rest.
  agent::AgentOptions agent;
};

}  // namespace acacialug::agent_process

#endif  // AGENT_PROCESS_TYPES_AGENT_SETTINGS_H_
