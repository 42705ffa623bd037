#ifndef AGENT_PROCESS_MANIFEST_FILE_H_
#define AGENT_PROCESS_MANIFEST_FILE_H_

#include <memory>
#include <string>

#include "framework/global/types/result.h"
#include "manifest/types/manifest.h"

namespace acacialug::agent_process {

// Reads the manifest from a file. Errors: kSettingsUnreadable, and those of
// manifest::ParseManifest. Thread safe.
Result<std::shared_ptr<const manifest::Manifest>> ReadManifestFile(
    const std::string& path);

}  // namespace acacialug::agent_process

#endif  // AGENT_PROCESS_MANIFEST_FILE_H_
