#ifndef GATEWAY_TYPES_ENDPOINT_RECORD_H_
#define GATEWAY_TYPES_ENDPOINT_RECORD_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "framework/http/http_types.h"

namespace acacialug::gateway {

enum class EndpointRole { kPlain, kPrefill, kDecode };
inline constexpr EnumNames<EndpointRole, 3> kEndpointRoleNames = {
    {{EndpointRole::kPlain, "plain"},
     {EndpointRole::kPrefill, "prefill"},
     {EndpointRole::kDecode, "decode"}}};

// One start of an endpoint, as its own record tells it.
struct EndpointRecord {
  EndpointId id;
  ServiceName service;
  http::Address address;  // used again by others when this start is gone
  FailureDomain domain;
  EndpointRole role = EndpointRole::kPlain;
  std::uint32_t slots = 1;
  // When it started, Unix milliseconds by its own clock; 0: it does not say. A
  // runner that starts again may keep its id, and is another endpoint then: it
  // holds nothing of before.
  std::int64_t started_at_ms = 0;
  bool leaving = false;  // takes no new work

  friend bool operator==(const EndpointRecord&,
                         const EndpointRecord&) = default;
};

// A record that was written or deleted.
struct EndpointChange {
  LogOffset offset;
  EndpointId id;
  std::optional<EndpointRecord> record;  // empty: deleted
};

// All records as they stood at an offset.
struct EndpointSnapshot {
  LogOffset as_of;  // changes from here on are not in it
  // What is not in it is gone. False: its record may have lapsed only, while
  // the store was out.
  bool settled = false;
  std::vector<EndpointChange> records;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_TYPES_ENDPOINT_RECORD_H_
