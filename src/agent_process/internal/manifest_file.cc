#include "agent_process/manifest_file.h"

#include <fstream>
#include <iterator>

#include "manifest/manifest_parser.h"

namespace acacialug::agent_process {

Result<std::shared_ptr<const manifest::Manifest>> ReadManifestFile(
    const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file.is_open() || file.bad()) {
    return Error(ResultCode::kSettingsUnreadable, path);
  }
  Result<manifest::Manifest> manifest = manifest::ParseManifest(text, path);
  if (!manifest.ok()) {
    return manifest.error();
  }
  return std::make_shared<const manifest::Manifest>(
      std::move(manifest.value()));
}

}  // namespace acacialug::agent_process
