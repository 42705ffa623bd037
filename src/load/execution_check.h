#ifndef LOAD_EXECUTION_CHECK_H_
#define LOAD_EXECUTION_CHECK_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "load/types/load_figures.h"
#include "load/types/violation.h"

namespace acacialug::load {

// One plain call as its caller observed it, with all submissions of its key.
struct CallRecord {
  std::string request;
  bool idempotent = true;
  bool any_completed = false;
  std::uint32_t submissions = 1;
  std::uint32_t refused_not_run = 0;  // of the submissions
};

// How often each call took effect, by the load's name for it, as the plain
// stand-ins report.
using Executions = std::map<std::string, std::uint64_t>;

// Compares the answers that callers received with the executions. Call it when
// all work has ended. Thread safe.
std::vector<Violation> CheckExecutions(const std::vector<CallRecord>& calls,
                                       const Executions& executions);

}  // namespace acacialug::load

#endif  // LOAD_EXECUTION_CHECK_H_
