#ifndef GATEWAY_PROCESS_INTERNAL_CATALOG_PAGE_H_
#define GATEWAY_PROCESS_INTERNAL_CATALOG_PAGE_H_

#include <memory>
#include <string>
#include <string_view>

#include "framework/global/types/result.h"
#include "gateway/types/configuration.h"
#include "gateway/types/endpoint_record.h"

namespace acacialug::gateway_process {

// What a process knows of configuration and endpoints, for peers that cannot
// reach the store.
struct Catalog {
  std::shared_ptr<const gateway::Configuration> configuration;  // may be null
  gateway::EndpointSnapshot endpoints;
};

inline constexpr std::string_view kCatalogPath = "/catalog";

// The page as JSON, and how it is read: without the configuration if that is
// before the position `known`. Errors: kMalformedJson. Thread safe.
std::string RenderCatalog(const Catalog& catalog);
Result<Catalog> ParseCatalog(std::string_view text, LogOffset known = {});

}  // namespace acacialug::gateway_process

#endif  // GATEWAY_PROCESS_INTERNAL_CATALOG_PAGE_H_
