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

// What is handed over to peers that ask for the catalog page. Not thread safe.
class CatalogPageServer {
 public:
  // So many configurations are under way at a time.
  static constexpr std::size_t kMaxConcurrent = 2;
  // And together take so much of this process's link: half of the thinnest
  // that gateways have, 10 Mbit/s. With more of it, what the process asks of
  // its endpoints meanwhile is late.
  static constexpr std::int64_t kBytesPerSecond = 625'000;

  // The page for a peer that needs no configuration before `known_to_peer`, a
  // position as of PeerLink::Positions; zero: it needs whatever there is.
  // Without the configuration when the peer need not have it, and when so many
  // are under way that it has to ask elsewhere or later.
  std::string PageFor(const Catalog& catalog,
                      LogOffset known_to_peer,
                      Instant now);

  // Texts of configurations made so far.
  std::uint64_t renders() const { return this->render_count; }

 private:
  // Made anew when there is another one: each peer asks, and rendering is a
  // page's dearest part.
  const std::string& TextOf(const gateway::Configuration& configuration);
  // Whether one more may be handed over; if so, it is under way from now on.
  bool Begin(std::size_t bytes, Instant now);

  std::string text;
  std::optional<LogOffset> text_of;
  std::vector<Instant> ends;  // of those under way
  std::uint64_t render_count = 0;
};

}  // namespace acacialug::gateway_process

#endif  // GATEWAY_PROCESS_INTERNAL_CATALOG_PAGE_SERVER_H_
