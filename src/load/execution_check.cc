#include "load/execution_check.h"

namespace acacialug::load {

std::vector<Violation> CheckExecutions(const std::vector<CallRecord>& calls,
                                       const Executions& executions) {
  std::vector<Violation> violations;
  for (const CallRecord& call : calls) {
    const auto found = executions.find(call.request);
    const std::uint64_t ran = found == executions.end() ? 0 : found->second;
    const auto add = [&violations, &call, ran](ViolationKind kind) {
      violations.push_back({.kind = kind,
                            .request = call.request,
                            .detail = "ran " + std::to_string(ran) + " times"});
    };
    if (call.refused_not_run == call.submissions && ran > 0) {
      add(ViolationKind::kNotRunDidRun);
    }
    if (!call.idempotent && ran > 1) {
      add(ViolationKind::kRanTwice);
    }
    if (call.any_completed && ran == 0) {
      add(ViolationKind::kNeverRan);
    }
  }
  return violations;
}

}  // namespace acacialug::load
