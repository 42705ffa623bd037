#ifndef ORIGIN_TYPES_STREAM_ORIGIN_H_
#define ORIGIN_TYPES_STREAM_ORIGIN_H_

#include <cstdint>
#include <vector>

#include "framework/global/types/instant.h"
#include "origin/types/origin_keys.h"

namespace acacialug::origin {

// The software version at which an attempt's stream began, or begins.
struct StreamOrigin {
  StreamKey stream;
  VersionKey version;  // zero: contradicting ones
  // Unique among the attempts at all processes; callers may reuse a name.
  std::uint32_t attempt = 0;
  // Of this attempt before its first event. A later one replaces an earlier.
  std::uint32_t placement = 0;
  Duration left{};  // for which its caller may continue it

  friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

// A message from one process to another.
struct OriginMessage {
  std::vector<StreamOrigin> notices;  // to be kept by the receiver
  std::vector<StreamKey> kept;        // notices of the receiver
  std::vector<StreamKey> queries;
  std::vector<StreamOrigin> known;  // answers to queries
  std::vector<StreamKey> unknown;   // the same
  // The sender knows endpoints that the receiver does not know; set there.
  bool sender_knows_more = false;

  friend bool operator==(const OriginMessage&, const OriginMessage&) = default;
};

}  // namespace acacialug::origin

#endif  // ORIGIN_TYPES_STREAM_ORIGIN_H_
