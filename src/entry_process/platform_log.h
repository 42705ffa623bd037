#ifndef ENTRY_PROCESS_PLATFORM_LOG_H_
#define ENTRY_PROCESS_PLATFORM_LOG_H_

#include <memory>

#include "cluster/i_log.h"
#include "framework/http/http_types.h"

namespace acacialug::entry_process {

// Makes a client of the platform's log with its own HTTP client, so that each
// thread can have one. It is used on the thread that makes it, with a Qt event
// loop.
std::unique_ptr<cluster::ILog> MakePlatformLog(const http::Address& address);

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_PLATFORM_LOG_H_
