#ifndef AGENT_TYPES_AGENT_MESSAGES_H_
#define AGENT_TYPES_AGENT_MESSAGES_H_

#include <variant>

#include "engine/types/engine_messages.h"
#include "maintenance/maintenance_queue_client.h"
#include "protocol/types/messages.h"

namespace acacialug::agent {

// One connection from an entry, numbered by the process that accepted it.
using SessionId = Number<struct SessionTag>;

struct SendToEntry {
  SessionId session;
  protocol::AgentToEntry message;
};

// Ends the connection; the core has already removed the session.
struct CloseSession {
  SessionId session;
  ResultCode code = ResultCode::kOk;
};

struct ExecuteOnEngine {
  engine::EngineCommand command;
};

// Reads or appends to the pool's stream of the platform's log; the answer goes
// to OnMaintenanceRead or OnMaintenanceAppended. One operation runs at a time.
using maintenance::AppendMaintenanceRecord;
using maintenance::ReadMaintenanceStream;

// The actions that the process around an AgentCore has to take, in this order.
using AgentAction = std::variant<SendToEntry,
                                 CloseSession,
                                 ExecuteOnEngine,
                                 ReadMaintenanceStream,
                                 AppendMaintenanceRecord>;

}  // namespace acacialug::agent

#endif  // AGENT_TYPES_AGENT_MESSAGES_H_
