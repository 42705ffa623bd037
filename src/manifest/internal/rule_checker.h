#ifndef MANIFEST_INTERNAL_RULE_CHECKER_H_
#define MANIFEST_INTERNAL_RULE_CHECKER_H_

#include "framework/settings/reader.h"
#include "manifest/types/manifest.h"

namespace acacialug::manifest::internal {

// Reports to the text's own tables every rule between keys that the manifest
// breaks: duplicate names, names that nothing defines, roles that do
// not fit the kind of service, pools that a model service lacks.
void CheckRules(const settings::Table& root, const Manifest& manifest);

}  // namespace acacialug::manifest::internal

#endif  // MANIFEST_INTERNAL_RULE_CHECKER_H_
