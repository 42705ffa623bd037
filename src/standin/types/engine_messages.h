#ifndef STANDIN_TYPES_ENGINE_MESSAGES_H_
#define STANDIN_TYPES_ENGINE_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/instant.h"
#include "protocol/types/generation.h"
#include "standin/types/engine_options.h"

namespace acacialug::standin {

// Where an exported KV cache can be fetched. `address` is not used by the model
// itself.
struct RemoteKv {
  std::string engine_id;
  std::string request_id;
  std::string address;  // IP:PORT
};

// One request to the engine.
struct EngineWork {
  std::string request_id;
  std::string model;
  std::int32_t priority = 0;  // smaller first
  std::string prompt;  // the whole text, with a resumed answer at its end
  std::uint32_t max_tokens = 0;
  bool export_kv = false;             // compute the prompt and keep its KV
  std::optional<RemoteKv> import_kv;  // empty: a stream computes its prompt
};

enum class EngineError : std::uint8_t {
  kMemoryFull,
  kQueueFull,
  kLoading,
  kRefused,
  kWrongRole,
  kUnknownModel,
  kContextTooLong,
  kDuplicate,
  kKvExpired,
  kFailed,
  kModelReplaced,
  kRestarted,
};
inline constexpr EnumNames<EngineError, 12> kEngineErrorNames = {{
    {EngineError::kMemoryFull, "memory_full"},
    {EngineError::kQueueFull, "queue_full"},
    {EngineError::kLoading, "loading"},
    {EngineError::kRefused, "refused"},
    {EngineError::kWrongRole, "wrong_role"},
    {EngineError::kUnknownModel, "model_not_found"},
    {EngineError::kContextTooLong, "context_length_exceeded"},
    {EngineError::kDuplicate, "duplicate_request"},
    {EngineError::kKvExpired, "kv_expired"},
    {EngineError::kFailed, "engine_failed"},
    {EngineError::kModelReplaced, "model_replaced"},
    {EngineError::kRestarted, "restarted"},
}};

// ---- outputs of the model ----

struct PrefillReady {
  std::string request_id;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
};

struct TokensMade {
  std::string request_id;
  std::string text;
  std::uint32_t tokens = 0;
};

struct WorkDone {
  std::string request_id;
  protocol::FinishReason reason = protocol::FinishReason::kLength;
  protocol::Usage usage;
};

// The work ended without an answer. None of it ran if the error is a refusal
// (up to kDuplicate).
struct WorkFailed {
  std::string request_id;
  EngineError error = EngineError::kFailed;
};

// A request to fetch this export (`done` false), or the notice that it has been
// fetched. Each is answered by EngineModel::OnPullAnswered.
struct PullKv {
  std::string request_id;  // of the stream that needs it
  RemoteKv kv;
  bool done = false;
};

using EngineOutput =
    std::variant<PrefillReady, TokensMade, WorkDone, WorkFailed, PullKv>;

// ---- reports ----

struct EngineLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t free_kv_tokens = 0;
  std::uint64_t total_kv_tokens = 0;
};

enum class HeldKind : std::uint8_t { kPrefill, kStream, kExport };
inline constexpr EnumNames<HeldKind, 3> kHeldKindNames = {{
    {HeldKind::kPrefill, "prefill"},
    {HeldKind::kStream, "stream"},
    {HeldKind::kExport, "export"},
}};

struct HeldRequest {
  std::string request_id;
  HeldKind kind = HeldKind::kPrefill;
  std::uint64_t kv_tokens = 0;
};

struct EngineOrder {
  std::uint64_t fencing_token = 0;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  EngineRole role = EngineRole::kMixed;
};

struct EngineState {
  EngineOrder order;
  bool loading = false;
};

enum class CacheEventKind : std::uint8_t { kStored, kRemoved };
inline constexpr EnumNames<CacheEventKind, 2> kCacheEventKindNames = {{
    {CacheEventKind::kStored, "stored"},
    {CacheEventKind::kRemoved, "removed"},
}};

struct CacheEvent {
  std::uint64_t id = 0;
  CacheEventKind kind = CacheEventKind::kStored;
  std::uint64_t hash = 0;  // as PrefixHashes
  Instant visible_at;
};

// Counts since the engine's start, in tokens unless stated otherwise.
struct EngineStats {
  std::uint64_t prefill_computed = 0;
  std::uint64_t prefill_cached = 0;
  // Computed for a prefill that was aborted or failed, or for an export that
  // was evicted or aborted.
  std::uint64_t prefill_wasted = 0;
  // Prompts whose KV cache a stream had when it was aborted or failed.
  std::uint64_t prompt_discarded = 0;
  std::uint64_t output = 0;
  std::uint64_t prefills_done = 0;    // requests
  std::uint64_t streams_done = 0;     // requests
  std::uint64_t exports_fetched = 0;  // requests
  std::uint64_t exports_evicted = 0;  // requests
  std::uint64_t aborted = 0;          // requests
  std::uint64_t refused = 0;          // requests
  std::uint64_t failed = 0;           // requests
  std::uint64_t iterations = 0;
  Duration busy{};  // in iterations
};

}  // namespace acacialug::standin

#endif  // STANDIN_TYPES_ENGINE_MESSAGES_H_
