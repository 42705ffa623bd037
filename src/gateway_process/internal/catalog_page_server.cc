#include "gateway_process/internal/catalog_page_server.h"

namespace acacialug::gateway_process {

std::string CatalogPageServer::PageFor(const Catalog& catalog,
                                       NextVersion known_to_peer,
                                       Instant now) {
  const auto& configuration = catalog.configuration;
  if (configuration == nullptr ||
      configuration->version < known_to_peer.value) {
    return RenderCatalog(catalog.endpoints, {});
  }
  const std::string& whole = this->TextOf(*configuration);
  return RenderCatalog(catalog.endpoints, this->Begin(whole.size(), now)
                                              ? std::string_view(whole)
                                              : std::string_view());
}

const std::string& CatalogPageServer::TextOf(
    const gateway::Configuration& configuration) {
  if (this->text_of != configuration.version) {
    this->text = RenderConfiguration(configuration);
    this->text_of = configuration.version;
    ++this->render_count;
  }
  return this->text;
}

// The duration is computed, since bytes that the operating system has accepted
// may not have reached the link yet.
bool CatalogPageServer::Begin(std::size_t bytes, Instant now) {
  std::erase_if(this->ends, [now](Instant end) { return end <= now; });
  if (this->ends.size() >= kMaxConcurrent) {
    return false;
  }
  this->ends.push_back(now +
                       FromSeconds(static_cast<double>(bytes * kMaxConcurrent) /
                                   static_cast<double>(kBytesPerSecond)));
  return true;
}

}  // namespace acacialug::gateway_process
