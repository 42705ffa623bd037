#ifndef GATEWAY_PROCESS_SETTINGS_READER_H_
#define GATEWAY_PROCESS_SETTINGS_READER_H_

#include "framework/settings/table.h"
#include "gateway_process/types/gateway_settings.h"

namespace acacialug::gateway_process {

// Reads the tables [gateway], [repeats] and [log] of a settings text and
// reports errors to the table's reader. Not thread safe, like the reader.
GatewaySettings ReadGatewaySettings(const settings::Table& root);

}  // namespace acacialug::gateway_process

#endif  // GATEWAY_PROCESS_SETTINGS_READER_H_
