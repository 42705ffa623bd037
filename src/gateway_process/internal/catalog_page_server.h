#ifndef GATEWAY_PROCESS_INTERNAL_CATALOG_PAGE_SERVER_H_
#define GATEWAY_PROCESS_INTERNAL_CATALOG_PAGE_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "gateway_process/internal/catalog_page.h"

namespace acacialug::gateway_process {

// Serves the catalog page to peers. Not thread safe.
class CatalogPageServer {
 public:
  // Number of configurations being sent at a time.
  static constexpr std::size_t kMaxConcurrent = 2;
  // Bandwidth that these configurations take together: half of the slowest link
  // that gateways have, 10 Mbit/s. With more, this process's requests to its
  // endpoints are delayed.
  static constexpr std::int64_t kBytesPerSecond = 625'000;

  // The page for a peer that needs no configuration before `known_to_peer`, as
  // in PeerLink::Positions; zero: it needs any configuration. The configuration
  // is left out when the peer does not need it, and when the maximum number is
  // being sent, so that the peer has to query another peer or try later.
  std::string PageFor(const Catalog& catalog,
                      NextVersion known_to_peer,
                      Instant now);

  // Number of configuration texts rendered.
  std::uint64_t renders() const { return this->render_count; }

 private:
  // Renders only when the configuration has changed: each peer requests it, and
  // rendering is the most expensive part of a page.
  const std::string& TextOf(const gateway::Configuration& configuration);
  // Whether another configuration may be sent; if so, it counts as being sent.
  bool Begin(std::size_t bytes, Instant now);

  std::string text;
  std::optional<std::uint64_t> text_of;  // the version
  std::vector<Instant> ends;             // when the transfers being sent end
  std::uint64_t render_count = 0;
};

}  // namespace acacialug::gateway_process

#endif  // GATEWAY_PROCESS_INTERNAL_CATALOG_PAGE_SERVER_H_
