#ifndef AGENT_PROCESS_MANIFEST_OPTIONS_H_
#define AGENT_PROCESS_MANIFEST_OPTIONS_H_

#include <memory>

#include "agent_process/types/agent_settings.h"
#include "framework/global/types/result.h"
#include "manifest/types/manifest.h"

namespace acacialug::agent_process {

// Returns the settings completed from the manifest's records of this endpoint
// and its service: role, slots, memory, link. Errors: kManifestInvalid when the
// manifest has no such endpoint, puts it in another failure domain, or gives it
// a role that doesn't match the kind of engine. Thread safe.
Result<AgentSettings> WithManifest(AgentSettings agent_settings,
                                   const manifest::Manifest& manifest);

// Returns the part of a manifest that an agent needs: its own endpoint's
// record, if there is one, its service, and the names of the endpoints in its
// pool. The endpoints of the whole installation would take many times the
// memory of everything else in an agent. Thread safe.
std::shared_ptr<const manifest::Manifest> ManifestForEndpoint(
    const manifest::Manifest& manifest,
    const EndpointId& endpoint);

}  // namespace acacialug::agent_process

#endif  // AGENT_PROCESS_MANIFEST_OPTIONS_H_
