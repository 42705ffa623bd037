#ifndef ENTRY_PROCESS_MANIFEST_SOURCE_H_
#define ENTRY_PROCESS_MANIFEST_SOURCE_H_

#include <QTimer>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/i_log.h"
#include "configuration_client/configuration_client.h"
#include "framework/global/random_source.h"
#include "framework/global/types/result.h"
#include "manifest/types/manifest.h"

namespace acacialug::entry_process {

// Supplies an entry's manifests from a file or from the platform's log. Lives
// on the main thread with a Qt event loop; hooks run there.
class ManifestSource {
 public:
  struct Options {
    std::string file;  // empty: from `log`
    std::unique_ptr<cluster::ILog> log;
    std::string author;                // written into checkpoints
    Duration log_retention{};          // checkpoints are made well within it
    std::vector<http::Address> peers;  // queried while the log is unreachable
    // `text` is empty for a file, which peers cannot use.
    std::function<void(std::shared_ptr<const manifest::Manifest>,
                       const std::string& text)>
        on_manifest;
  };

  // `random` outlives this object.
  ManifestSource(Options options, RandomSource& random);

  // Passes on the file's manifest at once, or the log's newest manifest when it
  // is known to be the newest. Errors (of a file): kSettingsUnreadable and
  // those of manifest::ParseManifest.
  Status Start();

  // Reads the file again. Does nothing with a log, which is followed
  // continuously. Errors as Start.
  Status Reload();

  // An agent reported a manifest at this offset.
  void OnPeerOffset(LogOffset offset);

 private:
  void FollowLog();
  void PassManifestOn();

  Options options;
  RandomSource& random;
  std::uint64_t file_reads = 0;
  std::optional<configuration_client::ConfigurationClient> client;
  QTimer ready_check;
};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_MANIFEST_SOURCE_H_
