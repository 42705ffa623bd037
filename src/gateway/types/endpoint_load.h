#ifndef GATEWAY_TYPES_ENDPOINT_LOAD_H_
#define GATEWAY_TYPES_ENDPOINT_LOAD_H_

#include <cstdint>
#include <vector>

#include "admission/urgency_reserve.h"
#include "framework/global/types/enum_names.h"
#include "framework/global/types/instant.h"

namespace acacialug::gateway {

// Work that is placed at an endpoint and has not ended.
struct EndpointLoad {
  std::uint32_t requests = 0;
  std::uint64_t kv_tokens = 0;       // for running and coming work
  std::uint64_t prefill_tokens = 0;  // of prompts that are not computed yet

  bool empty() const {
    return this->requests == 0 && this->kv_tokens == 0 &&
           this->prefill_tokens == 0;
  }
  EndpointLoad& operator+=(const EndpointLoad& other) {
    this->requests += other.requests;
    this->kv_tokens += other.kv_tokens;
    this->prefill_tokens += other.prefill_tokens;
    return *this;
  }
  // Precondition: no member of `other` is greater than its counterpart here.
  EndpointLoad& operator-=(const EndpointLoad& other) {
    this->requests -= other.requests;
    this->kv_tokens -= other.kv_tokens;
    this->prefill_tokens -= other.prefill_tokens;
    return *this;
  }
  friend bool operator==(const EndpointLoad&, const EndpointLoad&) = default;
};

// Why an endpoint temporarily takes no work.
enum class PauseReason : std::uint8_t {
  kRoleChange,   // it takes no work from any process
  kUnreachable,  // the reporting process could not reach it
};
inline constexpr EnumNames<PauseReason, 2> kPauseReasonNames = {
    {{PauseReason::kRoleChange, "role_change"},
     {PauseReason::kUnreachable, "unreachable"}}};

// An endpoint that temporarily takes no work.
struct EndpointPause {
  std::uint64_t endpoint_key = 0;  // hash of the endpoint's id
  Duration left{};
  PauseReason reason = PauseReason::kRoleChange;
};

// The work that one process has placed, as reported to its peers.
struct PeerLoad {
  struct Row {
    std::uint64_t endpoint_key = 0;  // hash of the endpoint's id
    EndpointLoad load;
  };
  // How fast the process saw an endpoint work, as EndpointPaces::Report.
  struct Pace {
    std::uint64_t endpoint_key = 0;
    std::uint8_t pace = 0;
  };
  // How often requests of one priority arrive for a service.
  struct Demand {
    std::uint64_t service_key = 0;  // hash of the service's name
    admission::LevelDemand level;
  };
  std::vector<Row> rows;
  std::vector<Pace> paces;
  std::vector<Demand> demands;
  bool near = false;  // the process is in the receiver's failure domain
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_TYPES_ENDPOINT_LOAD_H_
