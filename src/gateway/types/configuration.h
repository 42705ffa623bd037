#ifndef GATEWAY_TYPES_CONFIGURATION_H_
#define GATEWAY_TYPES_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "gateway/types/customer.h"

namespace acacialug::gateway {

// How often a request may run.
enum class WorkKind {
  kIdempotent,       // may run any number of times
  kNonIdempotent,    // runs at most once
  kStream,           // a stream of events that runs at most once
  kResumableStream,  // a stream that another endpoint may continue
};
inline constexpr EnumNames<WorkKind, 4> kWorkKindNames = {
    {{WorkKind::kIdempotent, "idempotent"},
     {WorkKind::kNonIdempotent, "non_idempotent"},
     {WorkKind::kStream, "stream"},
     {WorkKind::kResumableStream, "resumable_stream"}}};

constexpr bool IsStream(WorkKind kind) {
  return kind == WorkKind::kStream || kind == WorkKind::kResumableStream;
}

constexpr bool MayRunAgain(WorkKind kind) {
  return kind == WorkKind::kIdempotent || kind == WorkKind::kResumableStream;
}

struct WeightedService {
  ServiceName service;
  std::uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;         // as in the Host header, without the port
  std::string path_prefix;  // begins and ends with a slash
  WorkKind kind = WorkKind::kIdempotent;
  std::vector<WeightedService> services;  // never empty
  std::uint32_t max_endpoints = 1;        // that may run the same request
  std::uint32_t priority = 0;             // 0 is served first
  Duration timeout{};                     // from arrival to the final answer
  // From arrival to the complete answer or, for a stream, its first event.
  Duration objective{};
  // The max time between two events of a stream that is on time. Zero: no limit
  // is set.
  Duration longest_pause{};
  bool open_to_all = false;  // no customer key is required
};

// The properties of a service's model engine, as its operator declares them.
struct EngineTraits {
  std::uint32_t slots = 1;
  std::uint64_t kv_tokens = 0;         // capacity of one endpoint's memory
  std::uint32_t tokens_per_event = 1;  // of a stream
  Duration export_lifetime{};          // of a prefilled prompt
  Duration role_switch{};              // between prefill and decode
};

struct ServiceTraits {
  ServiceName name;
  std::string health_path;
  std::uint32_t max_connections = 0;   // of one endpoint, from all callers
  std::optional<EngineTraits> engine;  // empty: a plain service
};

// Limits on the size of a caller's request, and on how long a caller may take
// to send it or stay idle.
struct CallerLimits {
  std::uint64_t max_header_bytes = 16384;
  std::uint64_t max_body_bytes = 4194304;
  Duration header_timeout = 3s;
  Duration idle_timeout = 15s;
};

// One complete configuration. It is immutable; a later one replaces it.
struct Configuration {
  std::uint64_t version = 0;  // a greater version is newer
  LogOffset offset;           // of its record
  std::vector<Route> routes;
  std::vector<ServiceTraits> services;
  CallerLimits limits;
  // Empty: no request needs a key. A key belongs to one customer only.
  std::optional<std::vector<Customer>> customers;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_TYPES_CONFIGURATION_H_
