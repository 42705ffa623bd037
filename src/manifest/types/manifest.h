#ifndef MANIFEST_TYPES_MANIFEST_H_
#define MANIFEST_TYPES_MANIFEST_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "framework/http/http_types.h"
#include "protocol/types/messages.h"

namespace acacialug::manifest {

enum class ServiceKind : std::uint8_t { kModel, kPlain };
inline constexpr EnumNames<ServiceKind, 2> kServiceKindNames = {{
    {ServiceKind::kModel, "model"},
    {ServiceKind::kPlain, "plain"},
}};

// The two latency targets of a class of requests, and its rank.
struct LatencyClass {
  std::string name;           // "interactive", "batch", ...
  Duration first_token = 2s;  // for a plain call: the whole answer
  Duration token_interval = 100ms;
  std::int32_t priority = 0;  // smaller first
  double objective = 0.95;    // share that must meet both targets
  Duration patience = 30s;    // longest wait in a queue
};

// The calls of a plain service that may be repeated. The first rule whose
// method and path prefix match decides; GET, HEAD, PUT, DELETE and OPTIONS are
// idempotent by default, POST and PATCH are not.
struct IdempotencyRule {
  std::string method;  // empty: any
  std::string path_prefix;
  bool idempotent = false;
};

struct CallerLimits {
  CallerName caller;
  double share = 1.0;              // weight among callers under overload
  double requests_per_second = 0;  // across all entries; 0: no limit
  double burst_seconds = 2.0;
  std::string latency_class;  // empty: the service's first
};

struct Adapter {
  std::string name;
  std::string version;
};

// The minimum number of endpoints that orders leave in service, of one pool.
struct PoolRule {
  protocol::EndpointRole role = protocol::EndpointRole::kPlain;
  std::uint32_t minimum_serving = 0;
  double minimum_serving_share = 0;  // of the endpoints that are not leaving
};

struct Service {
  ServiceName name;
  ServiceKind kind = ServiceKind::kPlain;
  std::vector<ModelName> models;  // kModel: names callers may use
  std::string model_version;
  std::vector<Adapter> adapters;
  std::uint32_t context_tokens = 32768;
  std::uint32_t default_max_tokens = 256;
  std::uint64_t kv_bytes_per_token = 131072;
  std::uint32_t piece_tokens = 2048;
  std::vector<LatencyClass> classes;  // never empty; the first is the default
  std::vector<IdempotencyRule> idempotency;
  std::vector<PoolRule> pools;      // each role at most once
  std::uint32_t queue_limit = 256;  // per class and entry
};

struct Endpoint {
  EndpointId id;
  HostId host;
  FailureDomain domain;
  ServiceName service;
  protocol::EndpointRole role = protocol::EndpointRole::kPlain;
  http::Address agent;          // of its agent, for entries
  std::uint64_t kv_tokens = 0;  // decode: memory; 0 elsewhere
  std::uint32_t slots = 0;      // streams, prefills or calls at once
  std::uint64_t link_bytes_per_second = 0;  // decode: ingress of KV transfers
  bool checks_fencing = false;
  bool leaving = false;
};

// Cost of crossing between two failure domains, one way.
struct DomainDistance {
  FailureDomain from;
  FailureDomain to;
  Duration one_way{};
};

// One accepted configuration, complete and immutable. `offset` is its position
// in the log; a greater offset is newer.
struct Manifest {
  LogOffset offset;
  LogOffset replaces;   // the offset of the previous manifest
  std::string version;  // the build pipeline's name for it
  std::vector<FailureDomain> domains;
  std::vector<DomainDistance> distances;
  std::vector<Service> services;
  std::vector<Endpoint> endpoints;
  std::vector<CallerLimits> callers;
  bool require_known_callers = false;

  // Null when no item has that name. Thread safe: the manifest is constant.
  const Service* FindService(const ServiceName& name) const;
  const Service* FindServiceOfModel(const ModelName& model) const;
  const Endpoint* FindEndpoint(const EndpointId& id) const;
  const CallerLimits* FindCaller(const CallerName& name) const;
  // The endpoints of a service's pool that are not leaving.
  std::vector<EndpointId> PoolMembers(const ServiceName& service,
                                      protocol::EndpointRole role) const;
  // The minimum number of endpoints that orders must leave in service in a
  // pool of `members`. Without a rule: half of them, rounded up, but never all.
  // Zero for an unknown service.
  std::size_t MinimumServing(const ServiceName& service,
                             protocol::EndpointRole role,
                             std::size_t members) const;
  // Zero within a failure domain and for a pair that is not listed.
  Duration DistanceBetween(const FailureDomain& from,
                           const FailureDomain& to) const;
};

}  // namespace acacialug::manifest

#endif  // MANIFEST_TYPES_MANIFEST_H_
