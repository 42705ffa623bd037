#ifndef ORIGIN_TYPES_ORIGIN_KEYS_H_
#define ORIGIN_TYPES_ORIGIN_KEYS_H_

#include <cstdint>
#include <string_view>

#include "framework/global/types/identifiers.h"

namespace acacialug::origin {

// A hash of a caller's request and of the caller's name for one attempt at it.
using StreamKey = Number<struct StreamKeyTag>;
// A hash of a service's name.
using ServiceKey = Number<struct ServiceKeyTag>;
// A hash of a service's name and of a version of its software. Zero is no
// version of any service.
using VersionKey = Number<struct VersionKeyTag>;

// The same on every host. Thread safe.
StreamKey StreamKeyOf(std::uint64_t request_key, std::string_view attempt);
ServiceKey ServiceKeyOf(const ServiceName& service);
VersionKey VersionKeyOf(const ServiceName& service, std::string_view version);

}  // namespace acacialug::origin

#endif  // ORIGIN_TYPES_ORIGIN_KEYS_H_
