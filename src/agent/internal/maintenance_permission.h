#ifndef AGENT_INTERNAL_MAINTENANCE_PERMISSION_H_
#define AGENT_INTERNAL_MAINTENANCE_PERMISSION_H_

#include <cstddef>
#include <string>

#include "agent/internal/utilisation.h"
#include "agent/types/agent_options.h"
#include "maintenance/maintenance_queue_client.h"
#include "manifest/types/manifest.h"

namespace acacialug::agent {

// Whether this endpoint may be taken out of service for an order: its place in
// the pool's maintenance queue permits it, and the rest of the pool can carry
// the load. The pool's load is estimated from this endpoint's own load, since
// entries spread it. Not thread safe.
class MaintenancePermission {
 public:
  // All references outlive this.
  MaintenancePermission(const AgentOptions& agent_options,
                        RandomSource& random);

  // Sets the endpoint's pool from a manifest that became active.
  void SetPool(const manifest::Manifest& manifest,
               const manifest::Endpoint& endpoint,
               Instant now);
  // Records the endpoint's load from now on, while maintenance is wanted. The
  // load is not observed otherwise, since each message of a request would pay
  // for it.
  void NoteLoad(const protocol::EndpointLoad& load, Instant now) {
    this->utilisation.NoteLoad(load, now);
  }
  void StopObserving() {
    this->utilisation = Utilisation(this->options.utilisation_memory);
  }

  // `idle`: the engine runs nothing; `out`: the endpoint is already out of
  // service, so its load is no longer an estimate.
  bool MayLeaveService(bool idle, bool out, Instant now) const;

  maintenance::MaintenanceQueueClient& queue_client() { return this->client; }
  const maintenance::MaintenanceQueueClient& queue_client() const {
    return this->client;
  }

 private:
  bool RestCanCarryLoad(std::size_t members_ahead,
                        bool idle,
                        Instant now) const;

  const AgentOptions& options;
  Utilisation utilisation;
  maintenance::MaintenanceQueueClient client;
  std::size_t members = 0;
};

// The stream that holds the maintenance queue of a pool's endpoints. Names that
// differ only in characters that a URL does not allow share a stream; that
// costs only additional reads. Thread safe.
std::string MaintenanceStream(const manifest::Endpoint& endpoint);

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_MAINTENANCE_PERMISSION_H_
