#ifndef PLACEMENT_WORKING_SET_H_
#define PLACEMENT_WORKING_SET_H_

#include <cstddef>
#include <vector>

#include "framework/global/types/identifiers.h"
#include "manifest/types/manifest.h"

namespace acacialug::placement {

// The endpoints of a pool that one entry connects to. With 750 entries and
// 12,000 endpoints, not every entry can receive reports from every endpoint.
// Sampling by the rendezvous hash of entry and endpoint gives each endpoint
// about the same number of entries, and a change of the pool changes few
// connections. Immutable, so thread safe.
class WorkingSet {
 public:
  struct Options {
    EntryId entry;
    FailureDomain domain;
    std::size_t size = 64;
    // Share of `size` reserved for endpoints of other failure domains, so that
    // some connections are already open when the entry's own domain is lost.
    double remote_share = 0.25;
  };

  explicit WorkingSet(Options set_options);

  // The selected endpoints of this pool, those of the entry's own failure
  // domain first, then by distance. Endpoints that are leaving are left out.
  // The pointers point into the manifest. Cost: O(n log n) over the pool, once
  // per manifest.
  std::vector<const manifest::Endpoint*> Choose(
      const manifest::Manifest& manifest,
      const ServiceName& service,
      protocol::EndpointRole role) const;

 private:
  Options options;
};

}  // namespace acacialug::placement

#endif  // PLACEMENT_WORKING_SET_H_
