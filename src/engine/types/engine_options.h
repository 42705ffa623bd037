#ifndef ENGINE_TYPES_ENGINE_OPTIONS_H_
#define ENGINE_TYPES_ENGINE_OPTIONS_H_

#include <cstddef>
#include <cstdint>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/identifiers.h"
#include "framework/http/http_types.h"

namespace acacialug::engine {

// The published protocol that the engine beside the agent speaks.
enum class EngineKind : std::uint8_t { kOpenAi, kPlain };
inline constexpr EnumNames<EngineKind, 2> kEngineKindNames = {{
    {EngineKind::kOpenAi, "openai"},
    {EngineKind::kPlain, "plain"},
}};

struct EngineOptions {
  EngineKind kind = EngineKind::kOpenAi;
  http::Address address;
  EndpointId endpoint;                   // named in exported KV handles
  std::uint64_t kv_bytes_per_token = 0;  // of the service's model
  Duration connect_timeout = 2s;
  // A prefill, call or order fails when no byte of its answer arrives for this
  // time. Streams are excluded, since the agent watches their progress; the
  // agent also limits prefills and calls, so this timeout covers a peer that
  // disappears without closing the connection.
  Duration silence_timeout = 60s;
  // An abort that did not reach the engine is retried after `min_abort_retry`.
  // The delay doubles with each retry, up to `max_abort_retry`.
  Duration min_abort_retry = 200ms;
  Duration max_abort_retry = 5s;
  std::size_t max_event_bytes = std::size_t{1} << 20;  // one server-sent event
};

}  // namespace acacialug::engine

#endif  // ENGINE_TYPES_ENGINE_OPTIONS_H_
