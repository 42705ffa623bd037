#ifndef MANIFEST_MANIFEST_PARSER_H_
#define MANIFEST_MANIFEST_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

#include "framework/global/types/result.h"
#include "framework/settings/types/problem.h"
#include "manifest/types/manifest.h"

namespace acacialug::manifest {

// All problems of a manifest, in the order of the text; empty when it may be
// published. `source` names the text in each problem. Thread
// safe.
std::vector<settings::Problem> CheckManifest(std::string_view text,
                                             const std::string& source);

// The manifest of a text (docs/MANIFEST.md is its schema). `offset` is left
// zero: the caller that read the log sets it. Errors: those of the settings
// (6001 to 6006) for a key's form, and kManifestInvalid for a broken rule
// between keys; the detail names source, line and key of every problem.
// Thread safe.
Result<Manifest> ParseManifest(std::string_view text,
                               const std::string& source);

}  // namespace acacialug::manifest

#endif  // MANIFEST_MANIFEST_PARSER_H_
