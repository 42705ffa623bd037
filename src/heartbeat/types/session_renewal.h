#ifndef HEARTBEAT_TYPES_SESSION_RENEWAL_H_
#define HEARTBEAT_TYPES_SESSION_RENEWAL_H_

#include <cstdint>
#include <optional>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "protocol/types/messages.h"

namespace acacialug::heartbeat {

// Names one session: its agent's start and the number in its Welcome, which
// an agent gives once only.
struct SessionName {
  Incarnation agent;
  std::uint32_t number = 0;

  friend auto operator<=>(const SessionName&, const SessionName&) = default;
};

// A heartbeat's answer, as one session hears of it. The instants are of this
// process's clock.
struct SessionRenewal {
  SessionName session;
  Instant sent_at;  // of the heartbeat: the lease counts from here
  Duration round_trip{};
  Duration lease{};
  bool newest = false;  // nothing later was answered: what follows holds
  bool leaving = false;
  std::optional<protocol::EndpointLoad> load;  // empty: not changed much
};

}  // namespace acacialug::heartbeat

#endif  // HEARTBEAT_TYPES_SESSION_RENEWAL_H_
