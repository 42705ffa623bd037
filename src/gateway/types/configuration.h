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

// What may happen to a request more than once.
enum class WorkKind {
  kIdempotent,       // may run any number of times
  kNonIdempotent,    // may run once at most
  kStream,           // a stream of events that may run once at most
  kResumableStream,  // a stream that another endpoint may go on with
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
  std::string host;         // as in the Host header, without a port
  std::string path_prefix;  // begins and ends with a slash
  WorkKind kind = WorkKind::kIdempotent;
  std::vector<WeightedService> services;  // never empty
  std::uint32_t max_endpoints = 1;        // that may run one request
  std::uint32_t priority = 0;             // 0 is served first
  Duration timeout{};                     // from arrival to the final answer
  Duration objective{};  // to a whole answer, or the first event
  // The longest pause between two events that is on time; zero: none stated.
  Duration longest_pause{};
  bool open_to_all = false;  // needs no customer's key
};

// How a model engine of a service works, as its operator declares it.
struct EngineTraits {
  std::uint32_t slots = 1;
  std::uint64_t kv_tokens = 0;         // that one endpoint's memory holds
  std::uint32_t tokens_per_event = 1;  // of a stream
  Duration export_lifetime{};          // of a prefilled prompt
  Duration role_switch{};              // prefill to decode and back
};

struct ServiceTraits {
  ServiceName name;
  std::string health_path;
  std::uint32_t max_connections = 0;   // of one endpoint, from all callers
  std::optional<EngineTraits> engine;  // empty: a plain service
};

// What a caller may send, and how long it may take or stay idle.
struct CallerLimits {
  std::uint64_t max_header_bytes = 16384;
  std::uint64_t max_body_bytes = 4194304;
  Duration header_timeout = 3s;
  Duration idle_timeout = 15s;
};

// One whole configuration. A later one replaces it; none is ever changed.
struct Configuration {
  std::uint64_t version = 0;
  LogOffset offset;  // of the record that holds it; a later one is newer
  std::vector<Route> routes;
  std::vector<ServiceTraits> services;
  CallerLimits limits;
  // Empty: nobody needs a key. No key belongs to two of them.
  std::optional<std::vector<Customer>> customers;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_TYPES_CONFIGURATION_H_
