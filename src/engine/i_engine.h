#ifndef ENGINE_I_ENGINE_H_
#define ENGINE_I_ENGINE_H_

#include <functional>

#include "engine/types/engine_messages.h"

namespace acacialug::engine {

// The engine (or plain service) beside an agent. One adapter a published
// protocol; agents know only this. Lives on the agent's thread.
class IEngine {
 public:
  virtual ~IEngine() = default;

  // Starts a command and returns at once; events follow by the hook, never
  // from inside Execute. After Abort no event of that attempt comes.
  virtual void Execute(const EngineCommand& command) = 0;

  virtual void SetOnEvent(std::function<void(const EngineEvent&)> on_event) = 0;
};

}  // namespace acacialug::engine

#endif  // ENGINE_I_ENGINE_H_
