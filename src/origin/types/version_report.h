#ifndef ORIGIN_TYPES_VERSION_REPORT_H_
#define ORIGIN_TYPES_VERSION_REPORT_H_

#include <vector>

#include "framework/global/types/instant.h"
#include "origin/types/origin_keys.h"

namespace acacialug::origin {

// A version of a service that a process has seen, as reported to its peers.
struct VersionReport {
  ServiceKey service;
  VersionKey version;
  Duration age{};         // since an endpoint of this version was seen
  Duration known_for{};   // for how long the process has seen all versions
  bool recorded = false;  // the version is in the stored record of the service

  friend bool operator==(const VersionReport&, const VersionReport&) = default;
};

// The versions of a service at which streams may have begun that their callers
// can still continue, as kept in the store.
struct VersionRecord {
  ServiceKey service;
  std::vector<VersionKey> versions;

  friend bool operator==(const VersionRecord&, const VersionRecord&) = default;
};

}  // namespace acacialug::origin

#endif  // ORIGIN_TYPES_VERSION_REPORT_H_
