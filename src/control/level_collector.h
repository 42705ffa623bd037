#ifndef CONTROL_LEVEL_COLLECTOR_H_
#define CONTROL_LEVEL_COLLECTOR_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "cluster/i_log.h"
#include "control/burn_report.h"
#include "framework/global/types/instant.h"
#include "framework/http/http_types.h"
#include "service_levels/level_fold.h"

namespace acacialug::control {

struct CollectorOptions {
  std::vector<http::Address> nodes;  // operations ports, of both kinds
  std::optional<http::Address> log;  // empty: only live processes
  Duration timeout = 5s;             // of all processes, and of each read
  std::size_t max_answer_bytes = std::size_t{16} * 1024 * 1024;  // of one
  std::function<void(std::size_t done)> on_progress;             // may be empty
};

struct Collected {
  service_levels::LevelFold fold;
  BurnSources sources;
};

// Queries all nodes at once, then reads the digests of stopped entries from the
// log. A node that answers 404 at the path of the service level page is an
// agent, and its counters are read. The sources list what could not be read.
// Needs a QCoreApplication; runs its event loop meanwhile. One thread.
Collected CollectLevels(const CollectorOptions& options);

// Reads the stream of digests from its start to the end that it had at the
// first read. Returns false when the log did not answer in time or answered
// badly; the records read before that are in the fold. Needs a
// QCoreApplication; runs its event loop meanwhile. One thread.
bool ReadDigests(cluster::ILog& log,
                 Duration timeout,
                 service_levels::LevelFold& fold);

}  // namespace acacialug::control

#endif  // CONTROL_LEVEL_COLLECTOR_H_
