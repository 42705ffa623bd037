#ifndef AGENT_PROCESS_MANIFEST_OPTIONS_H_
#define AGENT_PROCESS_MANIFEST_OPTIONS_H_

#include <memory>

#include "agent_process/types/agent_settings.h"
#include "framework/global/types/result.h"
#include "manifest/types/manifest.h"

namespace acacialug::agent_process {

// The settings with what the manifest's record of this endpoint and its
// service add: role, slots, memory, link. Errors: kManifestInvalid when the
// manifest has no such endpoint, or places it in another failure domain, or
// its role and the kind of engine don't go together. Thread safe.
Result<AgentSettings> WithManifest(AgentSettings agent_settings,
                                   const manifest::Manifest& manifest);

// What an agent needs of a manifest: its own endpoint's record, if there is
// one, its service, and the names of those in its pool. Endpoints of the whole
// installation take many times the memory of everything else in an agent.
// Thread safe.
std::shared_ptr<const manifest::Manifest> OwnPartOf(
    const manifest::Manifest& manifest,
    const EndpointId& endpoint);

}  // namespace acacialug::agent_process

#endif  // AGENT_PROCESS_MANIFEST_OPTIONS_H_
