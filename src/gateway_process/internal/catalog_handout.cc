#include "gateway_process/internal/catalog_handout.h"

namespace acacialug::gateway_process {

std::string CatalogHandout::PageFor(const Catalog& catalog,
                                    LogOffset /*asker_knows*/,
                                    Instant /*now*/) {
  ++this->render_count;
  return RenderCatalog(catalog);
}

}  // namespace acacialug::gateway_process
