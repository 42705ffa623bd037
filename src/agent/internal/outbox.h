#ifndef AGENT_INTERNAL_OUTBOX_H_
#define AGENT_INTERNAL_OUTBOX_H_

#include <functional>
#include <utility>
#include <variant>
#include <vector>

#include "agent/types/agent_messages.h"
#include "framework/global/types/instant.h"

namespace acacialug::agent {

// Collects the actions of the core, in order. Every message with a field for
// the endpoint's load carries the load at that moment. Not thread safe.
class Outbox {
 public:
  using LoadHook = std::function<protocol::EndpointLoad(Instant)>;

  explicit Outbox(LoadHook load_now) : load(std::move(load_now)) {}

  template <typename Message>
  void Send(SessionId session, Message message, Instant now) {
    if constexpr (requires { message.load; }) {
      message.load = this->load(now);
    }
    this->actions.push_back(
        SendToEntry{session, protocol::AgentToEntry(std::move(message))});
  }

  void Execute(engine::EngineCommand command) {
    this->actions.push_back(ExecuteOnEngine{std::move(command)});
  }

  void Submit(maintenance::MaintenanceAction action) {
    std::visit(
        [this](auto& typed) { this->actions.emplace_back(std::move(typed)); },
        action);
  }

  void Close(SessionId session, ResultCode code) {
    this->actions.push_back(CloseSession{session, code});
  }

  std::vector<AgentAction> Take() { return std::exchange(this->actions, {}); }

 private:
  LoadHook load;
  std::vector<AgentAction> actions;
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_OUTBOX_H_
