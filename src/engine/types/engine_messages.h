#ifndef ENGINE_TYPES_ENGINE_MESSAGES_H_
#define ENGINE_TYPES_ENGINE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "framework/global/types/instant.h"
#include "framework/global/types/result_code.h"
#include "protocol/types/generation.h"

namespace acacialug::engine {

// Commands from an agent to the engine beside it.

// Computes the prompt and exports its KV cache.
struct Prefill {
  AttemptId attempt;
  protocol::GenerationRequest generation;
};

// Imports the KV cache, if there is one, and streams the answer.
struct Decode {
  AttemptId attempt;
  protocol::GenerationRequest generation;
  protocol::KvHandle kv;
};

// Frees what the attempt holds in the engine: a running prefill or stream, and
// an export that was not fetched yet. Safe to repeat.
struct Abort {
  AttemptId attempt;
};

// Stops and restarts reading a stream (back-pressure on the engine).
struct SetPaused {
  AttemptId attempt;
  bool paused = false;
};

struct Call {
  AttemptId attempt;
  protocol::ServiceRequest request;
};

// Lists the attempts that the engine holds, including exports.
struct ListHeld {};

// Brings the engine to this state; `fencing_token` is the offset of the
// manifest.
struct Order {
  LogOffset fencing_token;
  ModelName model;
  std::string version;
  std::vector<std::string> adapters;
  std::string role;
};

// Queries the model, version, adapters and role of the engine.
struct ReadState {};

using EngineCommand = std::variant<Prefill,
                                   Decode,
                                   Abort,
                                   SetPaused,
                                   Call,
                                   ListHeld,
                                   Order,
                                   ReadState>;

// Events from the engine.

struct PrefillDone {
  AttemptId attempt;
  protocol::KvHandle kv;
  protocol::Usage usage;
};

struct Text {
  AttemptId attempt;
  std::string text;
  std::uint32_t tokens = 0;
};

struct StreamDone {
  AttemptId attempt;
  protocol::FinishReason reason = protocol::FinishReason::kStop;
  protocol::Usage usage;
};

struct CallDone {
  AttemptId attempt;
  protocol::ServiceAnswer answer;
};

// `outcome` is kNotRun only when no byte of the request left the agent, or when
// the engine itself reported that it did not run the request.
struct AttemptFailed {
  AttemptId attempt;
  ResultCode code = ResultCode::kEngineFailed;
  protocol::Outcome outcome = protocol::Outcome::kUnknown;
};

struct Held {
  std::vector<AttemptId> attempts;
};
struct ListFailed {};

struct OrderDone {
  LogOffset fencing_token;
  ResultCode code = ResultCode::kOk;  // kOrderRefused, kOrderFenced, ...
};

struct EngineState {
  ResultCode code = ResultCode::kOk;  // kEngineUnavailable if unread
  LogOffset fencing_token;
  ModelName model;
  std::string version;
  std::vector<std::string> adapters;
  std::string role;
  bool loading = false;
};

using EngineEvent = std::variant<PrefillDone,
                                 Text,
                                 StreamDone,
                                 CallDone,
                                 AttemptFailed,
                                 Held,
                                 ListFailed,
                                 OrderDone,
                                 EngineState>;

}  // namespace acacialug::engine

#endif  // ENGINE_TYPES_ENGINE_MESSAGES_H_
