#ifndef ENGINE_INTERNAL_OPENAI_ENGINE_H_
#define ENGINE_INTERNAL_OPENAI_ENGINE_H_

#include <memory>
#include <string>
#include <unordered_map>

#include "engine/i_engine.h"
#include "engine/internal/abort_sender.h"
#include "engine/internal/event_outlet.h"
#include "engine/internal/event_stream_reader.h"
#include "engine/internal/openai_format.h"
#include "engine/types/engine_options.h"
#include "framework/http/http_client.h"

namespace acacialug::engine {

// An engine with the OpenAI-compatible API, vLLM's KV cache transfer, and the
// control routes of docs/PROTOCOL.md.
class OpenAiEngine : public IEngine {
 public:
  explicit OpenAiEngine(const EngineOptions& engine_options);

  void Execute(const EngineCommand& command) override;
  void SetOnEvent(std::function<void(const EngineEvent&)> on_event) override;

 private:
  // One running prefill or stream.
  struct Work {
    AttemptId attempt;
    http::Client* client = nullptr;
    http::Client::ExchangeId exchange = 0;
    // For streams only:
    int status = 0;
    std::string error_body;
    EventStreamReader reader;
    std::optional<protocol::FinishReason> reason;
    protocol::Usage usage;
    bool finished = false;  // sends no further event
  };
  using WorkPtr = std::shared_ptr<Work>;

  void Run(const Prefill& command);
  void Run(const Decode& command);
  void Run(const Abort& command);
  void Run(const SetPaused& command);
  void Run(const Call& command);
  void Run(const ListHeld& command);
  void Run(const Order& command);
  void Run(const ReadState& command);

  WorkPtr AddWork(const AttemptId& attempt, http::Client& client);
  http::Request GenerationRequest(const protocol::GenerationRequest& request,
                                  const AttemptId& attempt,
                                  std::string body) const;
  void OnPrefillEnd(Work& work, const std::string& body);
  void OnStreamData(const WorkPtr& work, std::string_view data);
  void OnStreamEvent(Work& work, const std::string& data);
  void OnStreamPart(Work& work, StreamPart part);
  void OnStreamEnd(Work& work);
  void Fail(Work& work, const Failure& failure);
  void FailExchange(Work& work, bool sent);
  void Finish(Work& work);
  void Refuse(const AttemptId& attempt, ResultCode code);

  EngineOptions options;
  EventOutlet outlet;
  std::unordered_map<AttemptId, WorkPtr> works;
  http::Client streams;   // no response timeout: the agent watches progress
  http::Client requests;  // prefills and control
  AbortSender aborts;
};

}  // namespace acacialug::engine

#endif  // ENGINE_INTERNAL_OPENAI_ENGINE_H_
