#ifndef AGENT_TYPES_AGENT_MESSAGES_H_
#define AGENT_TYPES_AGENT_MESSAGES_H_

#include <variant>

#include "engine/types/engine_messages.h"
#include "protocol/types/messages.h"
#include "turns/turn_keeper.h"

namespace acacialug::agent {

// One connection from an entry, numbered by the process that accepted it.
using SessionId = Number<struct SessionTag>;

struct SendToEntry {
  SessionId session;
  protocol::AgentToEntry message;
};

// Ends the connection; the core already forgot the session.
struct CloseSession {
  SessionId session;
  ResultCode code = ResultCode::kOk;
};

struct ExecuteOnEngine {
  engine::EngineCommand command;
};

// Reads or appends to the pool's stream of the platform's log; the answer goes
// to OnTurnsRead or OnTurnAppended. One at a time.
using turns::AppendTurn;
using turns::ReadTurns;

// What the process around an AgentCore has to do, in this order.
using AgentAction = std::
    variant<SendToEntry, CloseSession, ExecuteOnEngine, ReadTurns, AppendTurn>;

}  // namespace acacialug::agent

#endif  // AGENT_TYPES_AGENT_MESSAGES_H_
