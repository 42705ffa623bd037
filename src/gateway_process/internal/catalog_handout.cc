#include "gateway_process/internal/catalog_handout.h"

namespace acacialug::gateway_process {

std::string CatalogHandout::PageFor(const Catalog& catalog,
                                    LogOffset asker_knows,
                                    Instant now) {
  const auto& configuration = catalog.configuration;
  if (configuration == nullptr || configuration->offset < asker_knows) {
    return RenderCatalog(catalog.endpoints, {});
  }
  const std::string& whole = this->TextOf(*configuration);
  return RenderCatalog(catalog.endpoints, this->Begin(whole.size(), now)
                                              ? std::string_view(whole)
                                              : std::string_view());
}

const std::string& CatalogHandout::TextOf(
    const gateway::Configuration& configuration) {
  if (this->text_of != configuration.offset) {
    this->text = RenderConfiguration(configuration);
    this->text_of = configuration.offset;
    ++this->render_count;
  }
  return this->text;
}

// How long one takes is reckoned: what the operating system has taken may still
// lie before the link.
bool CatalogHandout::Begin(std::size_t bytes, Instant now) {
  std::erase_if(this->ends, [now](Instant end) { return end <= now; });
  if (this->ends.size() >= kMostAtOnce) {
    return false;
  }
  this->ends.push_back(now +
                       FromSeconds(static_cast<double>(bytes * kMostAtOnce) /
                                   static_cast<double>(kBytesPerSecond)));
  return true;
}

}  // namespace acacialug::gateway_process
