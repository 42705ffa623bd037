#ifndef ENGINE_I_ENGINE_H_
#define ENGINE_I_ENGINE_H_

#include <functional>

#include "engine/types/engine_messages.h"

namespace acacialug::engine {

// The engine (or plain service) beside an agent. There is one adapter for each
// published protocol; agents know only this interface. Lives on the agent's
// thread.
class IEngine {
 public:
  virtual ~IEngine() = default;

  // Starts a command and returns at once. The events are delivered through the
  // hook, never from inside Execute. No event of an attempt is delivered after
  // its Abort.
  virtual void Execute(const EngineCommand& command) = 0;

  virtual void SetOnEvent(std::function<void(const EngineEvent&)> on_event) = 0;
};

}  // namespace acacialug::engine

#endif  // ENGINE_I_ENGINE_H_
