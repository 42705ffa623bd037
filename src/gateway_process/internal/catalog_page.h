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

// The page as JSON, and how it is read. Errors: kMalformedJson. Thread safe.
std::string RenderCatalog(const Catalog& catalog);
// A configuration before the position `known` is left out, undecoded.
Result<Catalog> ParseCatalog(std::string_view text, LogOffset known = {});

// The page in two parts, for a configuration that is rendered once and handed
// to many: it is the greater by far. An empty text stands for none.
std::string RenderConfiguration(const gateway::Configuration& configuration);
std::string RenderCatalog(const gateway::EndpointSnapshot& endpoints,
                          std::string_view configuration_text);

// The target of a request for the page, of a process that needs no
// configuration before `known`; and what a target tells of that, zero if
// nothing: a process of a program that did not tell it.
std::string CatalogTarget(LogOffset known);
LogOffset KnownByTarget(std::string_view target);

}  // namespace acacialug::gateway_process

#endif  // GATEWAY_PROCESS_INTERNAL_CATALOG_PAGE_H_
