#ifndef SCALE_INTERNAL_SYNTHETIC_MANIFEST_H_
#define SCALE_INTERNAL_SYNTHETIC_MANIFEST_H_

#include <cstddef>
#include <string>

#include "manifest/types/manifest.h"

namespace acacialug::scale {

inline constexpr std::size_t kModels = 9;
inline constexpr std::size_t kDomains = 22;

// TOML text of 9 model services over 22 failure domains, every fourth
// endpoint for prefill. Precondition: endpoints >= 8 * kModels, or 0.
std::string ManifestText(std::size_t endpoints, std::size_t callers);

// The same, parsed, with offset 1. Aborts if the parser rejects the text.
manifest::Manifest MakeManifest(std::size_t endpoints, std::size_t callers);

std::string ModelName(std::size_t index);

}  // namespace acacialug::scale

#endif  // SCALE_INTERNAL_SYNTHETIC_MANIFEST_H_
