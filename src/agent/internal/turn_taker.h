#ifndef AGENT_INTERNAL_TURN_TAKER_H_
#define AGENT_INTERNAL_TURN_TAKER_H_

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
class TurnTaker {
 public:
  // All references outlive this.
  TurnTaker(const AgentOptions& agent_options, RandomSource& random);

  // The pool of the endpoint in a manifest that came in force.
  void SetPool(const manifest::Manifest& manifest,
               const manifest::Endpoint& endpoint,
               Instant now);
  // While a turn is wanted: the endpoint's load from now on. Not watched
  // otherwise, since each message of a request would pay for it.
  void Note(const protocol::EndpointLoad& load, Instant now) {
    this->utilisation.Note(load, now);
  }
  void StopNoting() {
    this->utilisation = Utilisation(this->options.utilisation_memory);
  }

  // `idle`: the engine runs nothing; `out`: the endpoint is out already, and
  // its load tells nothing any more.
  bool MayGo(bool idle, bool out, Instant now) const;

  maintenance::MaintenanceQueueClient& keeper() { return this->turn_keeper; }
  const maintenance::MaintenanceQueueClient& keeper() const {
    return this->turn_keeper;
  }

 private:
  bool RestCarries(std::size_t before, bool idle, Instant now) const;

  const AgentOptions& options;
  Utilisation utilisation;
  maintenance::MaintenanceQueueClient turn_keeper;
  std::size_t members = 0;
};

// The stream in which a pool's endpoints take their turns. Names that differ
// only in characters that a URL does not take share one; that costs reading.
// Thread safe.
std::string TurnStream(const manifest::Endpoint& endpoint);

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_TURN_TAKER_H_
