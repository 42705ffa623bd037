#ifndef ENGINE_INTERNAL_PLAIN_ENGINE_H_
#define ENGINE_INTERNAL_PLAIN_ENGINE_H_

#include <unordered_map>

#include "engine/i_engine.h"
#include "engine/internal/event_outlet.h"
#include "engine/types/engine_options.h"
#include "framework/http/http_client.h"

namespace acacialug::engine {

// A plain HTTP service: calls are passed through, and any whole HTTP answer
// counts as completed, whatever its status. The service holds nothing between
// calls.
class PlainEngine : public IEngine {
 public:
  explicit PlainEngine(const EngineOptions& engine_options);

  void Execute(const EngineCommand& command) override;
  void SetOnEvent(std::function<void(const EngineEvent&)> on_event) override;

 private:
  void Run(const Prefill& command);
  void Run(const Decode& command);
  void Run(const Abort& command);
  void Run(const SetPaused& command);
  void Run(const Call& command);
  void Run(const ListHeld& command);
  void Run(const Order& command);
  void Run(const ReadState& command);

  void Refuse(const AttemptId& attempt);
  void OnError(const AttemptId& attempt, bool sent);

  EngineOptions options;
  EventOutlet outlet;
  http::Client client;
  std::unordered_map<AttemptId, http::Client::ExchangeId> calls;
};

}  // namespace acacialug::engine

#endif  // ENGINE_INTERNAL_PLAIN_ENGINE_H_
