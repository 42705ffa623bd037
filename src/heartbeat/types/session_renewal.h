#ifndef HEARTBEAT_TYPES_SESSION_RENEWAL_H_
#define HEARTBEAT_TYPES_SESSION_RENEWAL_H_

#include <cstdint>
#include <optional>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "protocol/types/messages.h"

namespace acacialug::heartbeat {

// Identifies one session: the agent's incarnation and the session number from
// its Welcome. An agent assigns each number only once.
struct SessionName {
  Incarnation agent;
  std::uint32_t number = 0;

  friend auto operator<=>(const SessionName&, const SessionName&) = default;
};

// What the answer to a heartbeat means for one session. Instants are by this
// process's clock.
struct SessionRenewal {
  SessionName session;
  Instant sent_at;  // of the heartbeat; the lease starts here
  Duration round_trip{};
  Duration lease{};
  // No later heartbeat is answered, so the fields below are current.
  bool newest = false;
  bool leaving = false;
  std::optional<protocol::EndpointLoad> load;  // empty: no material change
};

}  // namespace acacialug::heartbeat

#endif  // HEARTBEAT_TYPES_SESSION_RENEWAL_H_
