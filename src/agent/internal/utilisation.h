#ifndef AGENT_INTERNAL_UTILISATION_H_
#define AGENT_INTERNAL_UTILISATION_H_

#include <optional>

#include "framework/global/types/instant.h"
#include "protocol/types/messages.h"

namespace acacialug::agent {

// How busy the endpoint was lately, as a share of what it can do: the mean of
// its busiest resource, weighted by exp(-age / memory). A moment's value would
// tell nothing of a prefill endpoint, which is either busy or not. Not thread
// safe.
class Utilisation {
 public:
  explicit Utilisation(Duration memory_length) : memory(memory_length) {}

  // The load from now on, until the next call.
  void NoteLoad(const protocol::EndpointLoad& load, Instant now);

  // Empty before it was watched for the memory's length: an agent that just
  // started must not take its endpoint for idle.
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
