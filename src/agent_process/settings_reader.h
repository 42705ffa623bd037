#ifndef AGENT_PROCESS_SETTINGS_READER_H_
#define AGENT_PROCESS_SETTINGS_READER_H_

#include <vector>

#include "agent_process/types/agent_settings.h"
#include "framework/settings/reader.h"

namespace acacialug::agent_process {

// Reads the settings (docs/SETTINGS.md) into `agent_settings`. The settings are
// valid only when the list of problems is empty. Thread safe.
std::vector<settings::Problem> ReadAgentSettings(settings::Reader reader,
                                                 AgentSettings& agent_settings);

}  // namespace acacialug::agent_process

#endif  // AGENT_PROCESS_SETTINGS_READER_H_
