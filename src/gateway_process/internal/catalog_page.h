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

// Renders and parses the page as JSON. Errors: kMalformedJson. Thread safe.
std::string RenderCatalog(const Catalog& catalog);
// A configuration before the version `known` is left out and not decoded.
Result<Catalog> ParseCatalog(std::string_view text, NextVersion known = {});

// The page in two parts, so that a configuration, by far the larger part, is
// rendered once and sent to many peers. An empty text stands for none.
std::string RenderConfiguration(const gateway::Configuration& configuration);
std::string RenderCatalog(const gateway::EndpointSnapshot& endpoints,
                          std::string_view configuration_text);

// The target of a request for the page, from a process that needs no
// configuration before `known`, nor the endpoints that changed before
// `endpoints`; and what a target carries, zero if it carries none because the
// peer runs a program that does not send it.
std::string CatalogTarget(NextVersion known, LogOffset endpoints = {});
NextVersion KnownByTarget(std::string_view target);
LogOffset EndpointsKnownByTarget(std::string_view target);

}  // namespace acacialug::gateway_process

#endif  // GATEWAY_PROCESS_INTERNAL_CATALOG_PAGE_H_
