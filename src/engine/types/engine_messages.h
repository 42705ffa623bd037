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

// ---- what an agent asks of the engine beside it ----

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

// Frees what the attempt holds in the engine: a running prefill or stream,
// and an export not yet fetched. Safe to repeat.
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

// Asks which attempts the engine holds, exports included.
struct ListHeld {};

// Brings the engine to this state; `fencing_token` is the manifest's offset.
struct Order {
  LogOffset fencing_token;
  ModelName model;
  std::string version;
  std::vector<std::string> adapters;
  std::string role;
};

// Asks which model, version, adapters and role the engine has.
struct ReadState {};

using EngineCommand = std::variant<Prefill,
                                   Decode,
                                   Abort,
                                   SetPaused,
                                   Call,
                                   ListHeld,
                                   Order,
                                   ReadState>;

// ---- what the engine tells ----

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

// `outcome` is kNotRun only when no byte of the request left the agent, or
// the engine itself said that it did not run it.
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
  ResultCode code = ResultCode::kOk;  // kEngineUnavailable when not read
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
