#ifndef ENTRY_PROCESS_SETTINGS_READER_H_
#define ENTRY_PROCESS_SETTINGS_READER_H_

#include <vector>

#include "entry_process/types/entry_settings.h"
#include "framework/settings/reader.h"

namespace acacialug::entry_process {

// Reads the settings into `entry_settings`, which may be used only if the
// returned list of problems is empty. Thread safe.
std::vector<settings::Problem> ReadEntrySettings(settings::Reader reader,
                                                 EntrySettings& entry_settings);

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_SETTINGS_READER_H_
