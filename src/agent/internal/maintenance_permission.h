#ifndef AGENT_INTERNAL_MAINTENANCE_PERMISSION_H_
#define AGENT_INTERNAL_MAINTENANCE_PERMISSION_H_

#include <cstddef>
#include <string>

#include "agent/internal/utilisation.h"
#include "agent/types/agent_options.h"
#include "maintenance/maintenance_queue_client.h"
#include "manifest/types/manifest.h"

namespace acacialug::agent {

// Whether this endpoint may be taken out of service for an order: its turn in
// the pool has come, and the rest of the pool can carry the load. The pool's
// load is taken from this endpoint's own, as entries spread it. Not thread
// safe.
class MaintenancePermission {
 public:
  // All references outlive this.
  MaintenancePermission(const AgentOptions& agent_options,
                        RandomSource& random);

  // The pool of the endpoint in a manifest that came in force.
  void SetPool(const manifest::Manifest& manifest,
               const manifest::Endpoint& endpoint,
               Instant now);
  // While a turn is wanted: the endpoint's load from now on. Not watched
  // otherwise, since each message of a request would pay for it.
  void NoteLoad(const protocol::EndpointLoad& load, Instant now) {
    this->utilisation.NoteLoad(load, now);
  }
  void StopObserving() {
    this->utilisation = Utilisation(this->options.utilisation_memory);
  }

  // `idle`: the engine runs nothing; `out`: the endpoint is out already, and
  // its load tells nothing any more.
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

// The stream in which a pool's endpoints take their turns. Names that differ
// only in characters that a URL does not take share one; that costs reading.
// Thread safe.
std::string MaintenanceStream(const manifest::Endpoint& endpoint);

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_MAINTENANCE_PERMISSION_H_
