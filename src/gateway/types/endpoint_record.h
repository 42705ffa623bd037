#ifndef GATEWAY_TYPES_ENDPOINT_RECORD_H_
#define GATEWAY_TYPES_ENDPOINT_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
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

// One incarnation of an endpoint, as its own record describes it.
struct EndpointRecord {
  EndpointId id;
  ServiceName service;
  http::Address address;  // others may reuse it after this incarnation's end
  FailureDomain domain;
  EndpointRole role = EndpointRole::kPlain;
  std::uint32_t slots = 1;
  // When it started, in Unix milliseconds by its own clock; 0: it does not
  // report the time. A runner that restarts may keep its id. It is another
  // endpoint then, and holds none of the earlier work.
  std::int64_t started_at_ms = 0;
  bool leaving = false;  // takes no new work
  // Number of this record among those that this incarnation wrote; 0: unknown.
  std::uint64_t sequence = 0;
  // Of its software, not of its model's weights; versions have no order. Empty:
  // it does not report one.
  std::string software_version;

  friend bool operator==(const EndpointRecord&,
                         const EndpointRecord&) = default;
};

// Whether two start times of one id are known to be of two incarnations. Thread
// safe.
inline bool IsRestart(std::int64_t before_ms, std::int64_t after_ms) {
  return before_ms > 0 && after_ms > 0 && before_ms != after_ms;
}

// A record that was written or deleted.
struct EndpointChange {
  LogOffset offset;
  EndpointId id;
  std::optional<EndpointRecord> record;  // empty: deleted
};

// All records at an offset of the log, or those that changed since another.
struct EndpointSnapshot {
  struct Removal {
    EndpointId id;
    LogOffset offset;  // not before that of the deletion
  };

  LogOffset as_of;  // changes from this offset on are not included
  // An endpoint that is not included has ended. False: its record may only have
  // lapsed during an outage of the store.
  bool settled = false;
  // The sender knows later changes, of which some are not in effect yet.
  bool held_back = false;
  // Records are missing that could not be read: an endpoint that is not
  // included may serve.
  bool partial = false;
  // Zero: `records` are all. Else only those that changed from this offset on,
  // and `removals` are the endpoints that ended since.
  LogOffset since;
  std::vector<EndpointChange> records;
  std::vector<Removal> removals;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_TYPES_ENDPOINT_RECORD_H_
