#ifndef GATEWAY_TYPES_ENDPOINT_LOAD_H_
#define GATEWAY_TYPES_ENDPOINT_LOAD_H_

#include <cstdint>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/instant.h"

namespace acacialug::gateway {

// Work that is placed at an endpoint and not over.
struct EndpointLoad {
  std::uint32_t requests = 0;
  std::uint64_t kv_tokens = 0;       // what runs and is to come will take
  std::uint64_t prefill_tokens = 0;  // prompts not yet computed

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
  // Precondition: not less in any part.
  EndpointLoad& operator-=(const EndpointLoad& other) {
    this->requests -= other.requests;
    this->kv_tokens -= other.kv_tokens;
    this->prefill_tokens -= other.prefill_tokens;
    return *this;
  }
  friend bool operator==(const EndpointLoad&, const EndpointLoad&) = default;
};

// Why an endpoint takes no work for a while.
enum class PauseReason : std::uint8_t {
  kRoleChange,   // it takes none in any case
  kUnreachable,  // the teller could not reach it
};
inline constexpr EnumNames<PauseReason, 2> kPauseReasonNames = {
    {{PauseReason::kRoleChange, "role_change"},
     {PauseReason::kUnreachable, "unreachable"}}};

// An endpoint that takes no work for a while.
struct EndpointPause {
  std::uint64_t endpoint_key = 0;  // hash of the endpoint's id
  Duration left{};
  PauseReason reason = PauseReason::kRoleChange;
};

// What one process has placed, for its peers.
struct PeerLoad {
  struct Row {
    std::uint64_t endpoint_key = 0;  // hash of the endpoint's id
    EndpointLoad load;
  };
  std::vector<Row> rows;
  bool near = false;  // of the reader's failure domain
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_TYPES_ENDPOINT_LOAD_H_
