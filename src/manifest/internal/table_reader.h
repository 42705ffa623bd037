#ifndef MANIFEST_INTERNAL_TABLE_READER_H_
#define MANIFEST_INTERNAL_TABLE_READER_H_

#include "framework/settings/reader.h"
#include "manifest/types/manifest.h"

namespace acacialug::manifest::internal {

// Reads the form of every key of the text's root into `manifest`; problems
// stay in the table's reader. CheckRules checks the rules between keys.
void ReadManifest(const settings::Table& root, Manifest& manifest);

}  // namespace acacialug::manifest::internal

#endif  // MANIFEST_INTERNAL_TABLE_READER_H_
