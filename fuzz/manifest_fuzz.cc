#include <set>

#include "fuzz_support.h"
#include "manifest/manifest_parser.h"

// For any text that is published, checking and parsing agree, and a manifest
// that parses has the invariants that routing relies on.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace acacialug;
  const std::string_view text = fuzz::Text(data, size);
  const bool faultless = manifest::CheckManifest(text, "fuzz").empty();
  const Result<manifest::Manifest> parsed =
      manifest::ParseManifest(text, "fuzz");
  fuzz::Require(parsed.ok() == faultless);
  if (!parsed) {
    return 0;
  }
  std::set<EndpointId> endpoints;
  for (const manifest::Endpoint& endpoint : parsed->endpoints) {
    fuzz::Require(endpoints.insert(endpoint.id).second);
    fuzz::Require(parsed->FindService(endpoint.service) != nullptr);
  }
  for (const manifest::Service& service : parsed->services) {
    fuzz::Require(!service.classes.empty());
  }
  return 0;
}
