#include "origin/types/origin_keys.h"

#include <algorithm>

#include "placement/types/hashing.h"

namespace acacialug::origin {

StreamKey StreamKeyOf(std::uint64_t request_key, std::string_view attempt) {
  return StreamKey(placement::HashText(attempt, request_key));
}

ServiceKey ServiceKeyOf(const ServiceName& service) {
  return ServiceKey(placement::HashText(service.text));
}

VersionKey VersionKeyOf(const ServiceName& service, std::string_view version) {
  return VersionKey(std::max<std::uint64_t>(
      1, placement::HashText(version, ServiceKeyOf(service).value)));
}

}  // namespace acacialug::origin
