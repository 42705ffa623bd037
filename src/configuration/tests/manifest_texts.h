#ifndef CONFIGURATION_TESTS_MANIFEST_TEXTS_H_
#define CONFIGURATION_TESTS_MANIFEST_TEXTS_H_

#include <cstdint>
#include <string>

#include "configuration/text_deltas.h"
#include "configuration/types/configuration_record.h"

namespace acacialug::configuration::testing_texts {

// The smallest valid manifest, which replaces the one at `replaces`.
inline std::string ManifestText(const std::string& version,
                                std::uint64_t replaces) {
  return "version = \"" + version +
         "\"\nreplaces = " + std::to_string(replaces) +
         "\ndomains = [\"hall-a\"]\n[[service]]\nname = \"desk\"\n"
         "kind = \"plain\"\n[[service.class]]\nname = \"c\"\n"
         "first_token = \"1s\"\n";
}

inline std::string Publish(const std::string& version,
                           std::uint64_t replaces,
                           std::uint64_t publication = 7) {
  return EncodeRecord({.kind = RecordKind::kPublish,
                       .manifest_text = ManifestText(version, replaces),
                       .publisher = "pipeline",
                       .publication = {.high = 1, .low = publication}});
}

// A publish of the same manifest by its delta from `base`.
inline std::string PublishDelta(const std::string& base,
                                const std::string& version,
                                std::uint64_t replaces) {
  return EncodeRecord(
      {.kind = RecordKind::kPublishDelta,
       .publisher = "pipeline",
       .publication = {.high = 3, .low = replaces},
       .replaces = LogOffset(replaces),
       .delta = MakeDelta(base, ManifestText(version, replaces))});
}

inline std::string Checkpoint(const std::string& version,
                              std::uint64_t replaces,
                              std::uint64_t accepted_at,
                              std::uint64_t read_through) {
  return EncodeRecord({.kind = RecordKind::kCheckpoint,
                       .manifest_text = ManifestText(version, replaces),
                       .publisher = "entry-1",
                       .publication = {.high = 2, .low = accepted_at},
                       .accepted_at = LogOffset(accepted_at),
                       .read_through = LogOffset(read_through)});
}

}  // namespace acacialug::configuration::testing_texts

#endif  // CONFIGURATION_TESTS_MANIFEST_TEXTS_H_
