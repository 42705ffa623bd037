#ifndef ENTRY_PROCESS_TYPES_ENTRY_SETTINGS_H_
#define ENTRY_PROCESS_TYPES_ENTRY_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "entry_process/types/entry_process_options.h"
#include "framework/http/http_types.h"
#include "framework/log/log.h"

namespace acacialug::entry_process {

// The content of acacialug-entry's settings file.
struct EntrySettings {
  EntryProcessOptions process;  // without make_log
  std::string manifest_file;    // empty: from the platform's log
  std::optional<http::Address> platform_log;
  std::optional<http::Address> platform_hosts;
  std::vector<http::Address> peers;  // operations ports of other entries
  Duration log_retention = 24h;  // the log keeps records at least for this time
  log::Level log_level = log::Level::kInfo;
};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_TYPES_ENTRY_SETTINGS_H_
