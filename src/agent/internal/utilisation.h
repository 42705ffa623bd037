#ifndef AGENT_INTERNAL_UTILISATION_H_
#define AGENT_INTERNAL_UTILISATION_H_

#include <optional>

#include "framework/global/types/instant.h"
#include "protocol/types/messages.h"

namespace acacialug::agent {

// The recent utilisation of the endpoint, as a share of its capacity: the mean
// of its busiest resource, weighted by exp(-age / memory). The value at one
// moment is no estimate for a prefill endpoint, which is either busy or idle.
// Not thread safe.
class Utilisation {
 public:
  explicit Utilisation(Duration memory_length) : memory(memory_length) {}

  // Records the load from now on, until the next call.
  void NoteLoad(const protocol::EndpointLoad& load, Instant now);

  // Empty until the endpoint was observed for the length of `memory`: an agent
  // that just started must not count its endpoint as idle.
  std::optional<double> At(Instant now) const;

 private:
  double MeanAt(Instant now) const;

  Duration memory;
  std::optional<Instant> watched_since;
  Instant noted_at{};
  double current = 0;
  double mean = 0;
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_UTILISATION_H_
