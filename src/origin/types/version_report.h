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
  Duration age{};           // since an endpoint of this version was seen
  Duration known_for{};     // for how long the process has seen all versions
  bool introduced = false;  // streams begin at it (VersionHistory)
  // The stored record of the service has the version, and as introduced if it
  // is that here.
  bool recorded = false;

  friend bool operator==(const VersionReport&, const VersionReport&) = default;
};

// The versions of a service at which streams may have begun that their callers
// can still continue, as kept in the store.
struct VersionRecord {
  ServiceKey service;
  std::vector<VersionKey> versions;
  std::vector<VersionKey> introduced;  // those of them (VersionHistory)

  friend bool operator==(const VersionRecord&, const VersionRecord&) = default;
};

}  // namespace acacialug::origin

#endif  // ORIGIN_TYPES_VERSION_REPORT_H_
