#ifndef PROTOCOL_TYPES_GENERATION_H_
#define PROTOCOL_TYPES_GENERATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/identifiers.h"

namespace acacialug::protocol {

// The OpenAI-compatible route on which a generation arrived.
enum class GenerationApi : std::uint8_t { kCompletions, kChat };
inline constexpr EnumNames<GenerationApi, 2> kGenerationApiNames = {{
    {GenerationApi::kCompletions, "completions"},
    {GenerationApi::kChat, "chat"},
}};

// What an engine has to generate.
struct GenerationRequest {
  GenerationApi api = GenerationApi::kCompletions;
  ModelName model;
  std::string body;              // JSON object, as the caller sent it; checked
  std::uint32_t max_tokens = 0;  // output tokens still to produce
  std::int32_t priority = 0;     // smaller runs earlier, as in the engines
  // Text that an earlier attempt already delivered to the caller; the engine
  // continues after it.
  std::string resumed_text;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->api, this->model, this->body, this->max_tokens,
            this->priority, this->resumed_text);
  }
};

// A prefill's exported KV cache, by reference.
struct KvHandle {
  EndpointId prefill_endpoint;
  std::string transfer_params;  // JSON `kv_transfer_params`, opaque here
  std::uint64_t tokens = 0;
  std::uint64_t bytes = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->prefill_endpoint, this->transfer_params, this->tokens,
            this->bytes);
  }
};

struct Usage {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;  // of the prompt, found in the prefix cache
  std::uint32_t output_tokens = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->prompt_tokens, this->cached_tokens, this->output_tokens);
  }
};

enum class FinishReason : std::uint8_t { kStop, kLength };
inline constexpr EnumNames<FinishReason, 2> kFinishReasonNames = {{
    {FinishReason::kStop, "stop"},
    {FinishReason::kLength, "length"},
}};

// Hashes of a prompt's prefix blocks. Each covers its block and all blocks
// before it, so that an equal hash means an equal prefix. First block first.
using PrefixChain = std::vector<std::uint64_t>;

struct HeaderField {
  std::string name;
  std::string value;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->name, this->value);
  }
};

// An HTTP request for a plain service, hop-by-hop headers already dropped.
struct ServiceRequest {
  std::string method;
  std::string target;  // path below the service, and query
  std::vector<HeaderField> headers;
  std::string body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->method, this->target, this->headers, this->body);
  }
};

struct ServiceAnswer {
  std::uint16_t status = 0;
  std::vector<HeaderField> headers;
  std::string body;
  // It had neither a length nor chunks: only the end of the endpoint's
  // connection says that it is whole.
  bool unframed = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->status, this->headers, this->body, this->unframed);
  }
};

// How far an attempt got; never an estimate. Only kNotRun, or an idempotent
// request, may be retried.
enum class Outcome : std::uint8_t { kNotRun, kCompleted, kUnknown };
inline constexpr EnumNames<Outcome, 3> kOutcomeNames = {{
    {Outcome::kNotRun, "not_run"},
    {Outcome::kCompleted, "completed"},
    {Outcome::kUnknown, "unknown"},
}};

}  // namespace acacialug::protocol

#endif  // PROTOCOL_TYPES_GENERATION_H_
