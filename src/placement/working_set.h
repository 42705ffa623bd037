#ifndef PLACEMENT_WORKING_SET_H_
#define PLACEMENT_WORKING_SET_H_

#include <cstddef>
#include <vector>

#include "framework/global/types/identifiers.h"
#include "manifest/types/manifest.h"

namespace acacialug::placement {

// The endpoints of a pool that one entry connects to. With 750 entries before
// 12,000 endpoints nobody can hear everybody; sampling by rendezvous hash of
// entry and endpoint gives each endpoint near the same number of entries, and
// a change of the pool moves few connections. Thread safe: constant.
class WorkingSet {
 public:
  struct Options {
    EntryId entry;
    FailureDomain domain;
    std::size_t size = 64;
    // Part of the places kept for other failure domains, so that the loss of
    // one's own leaves connections that are open already.
    double elsewhere = 0.25;
  };

  explicit WorkingSet(Options set_options);

  // The endpoints for this pool, own failure domain first, then by distance.
  // Endpoints that are leaving are left out. The pointers are into the
  // manifest. Cost: O(n log n) over the pool, once a manifest.
  std::vector<const manifest::Endpoint*> Choose(
      const manifest::Manifest& manifest,
      const ServiceName& service,
      protocol::EndpointRole role) const;

 private:
  Options options;
};

}  // namespace acacialug::placement

#endif  // PLACEMENT_WORKING_SET_H_
