#include "manifest/manifest_parser.h"

#include "framework/settings/reader.h"
#include "manifest/internal/rule_checker.h"
#include "manifest/internal/table_reader.h"

namespace acacialug::manifest {
namespace {

std::vector<settings::Problem> Read(std::string_view text,
                                    const std::string& source,
                                    Manifest& manifest) {
  settings::Reader reader = settings::Reader::FromText(source, text);
  const settings::Table root = reader.Root();
  internal::ReadManifest(root, manifest);
  internal::CheckRules(root, manifest);
  return reader.Finish();
}

}  // namespace

std::vector<settings::Problem> CheckManifest(std::string_view text,
                                             const std::string& source) {
  Manifest manifest;
  return Read(text, source, manifest);
}

Result<Manifest> ParseManifest(std::string_view text,
                               const std::string& source) {
  Manifest manifest;
  const std::vector<settings::Problem> problems = Read(text, source, manifest);
  if (!problems.empty()) {
    return settings::ToError(problems);
  }
  return manifest;
}

}  // namespace acacialug::manifest
