#include "agent_process/manifest_options.h"

namespace acacialug::agent_process {
namespace {

Error Mismatch(const AgentSettings& settings, const std::string& what) {
  return {ResultCode::kManifestInvalid,
          "endpoint " + settings.agent.endpoint.text + ": " + what};
}

}  // namespace

Result<AgentSettings> WithManifest(AgentSettings agent_settings,
                                   const manifest::Manifest& manifest) {
  const manifest::Endpoint* record =
      manifest.FindEndpoint(agent_settings.agent.endpoint);
  if (record == nullptr) {
    return Mismatch(agent_settings, "not in the manifest");
  }
  if (record->domain != agent_settings.agent.domain) {
    return Mismatch(agent_settings, "the manifest places it in " +
                                        record->domain.text + ", settings in " +
                                        agent_settings.agent.domain.text);
  }
  const bool plain_role = record->role == protocol::EndpointRole::kPlain;
  const bool plain_engine =
      agent_settings.engine.kind == engine::EngineKind::kPlain;
  if (plain_role != plain_engine) {
    return Mismatch(agent_settings,
                    "role and kind of engine don't go together");
  }
  agent_settings.agent.role = record->role;
  agent_settings.agent.kv_tokens = record->kv_tokens;
  agent_settings.agent.slots = record->slots;
  agent_settings.agent.link_bytes_per_second = record->link_bytes_per_second;
  agent_settings.engine.endpoint = record->id;
  if (const manifest::Service* service =
          manifest.FindService(record->service)) {
    agent_settings.engine.kv_bytes_per_token = service->kv_bytes_per_token;
  }
  return agent_settings;
}

std::shared_ptr<const manifest::Manifest> ManifestForEndpoint(
    const manifest::Manifest& manifest,
    const EndpointId& endpoint) {
  auto part = std::make_shared<manifest::Manifest>();
  part->offset = manifest.offset;
  part->replaces = manifest.replaces;
  part->version = manifest.version;
  if (const manifest::Endpoint* record = manifest.FindEndpoint(endpoint)) {
    part->endpoints.push_back(*record);
    if (const manifest::Service* service =
            manifest.FindService(record->service)) {
      part->services.push_back(*service);
    }
    // The other pool members' ids, which the maintenance queue depends on.
    for (const EndpointId& id :
         manifest.PoolMembers(record->service, record->role)) {
      if (id != endpoint) {
        part->endpoints.push_back(
            {.id = id, .service = record->service, .role = record->role});
      }
    }
  }
  return part;
}

}  // namespace acacialug::agent_process
