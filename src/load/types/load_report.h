#ifndef LOAD_TYPES_LOAD_REPORT_H_
#define LOAD_TYPES_LOAD_REPORT_H_

#include <cstdint>
#include <vector>

#include "load/types/load_figures.h"
#include "load/types/violation.h"

namespace acacialug::load {

// What the stand-in engines computed during the run.
struct StandInFigures {
  bool known = false;  // every stand-in answered, before and after
  std::uint64_t prefill_computed = 0;  // tokens
  std::uint64_t prefill_cached = 0;    // tokens
  std::uint64_t output = 0;            // tokens
  std::uint64_t exports_evicted = 0;   // requests
  std::uint64_t aborted = 0;           // requests
  std::uint64_t refused = 0;           // requests
  std::uint64_t failed = 0;            // requests
  // Requests still held by an engine after the last answer.
  std::uint64_t held_after = 0;
};

struct LoadReport {
  LoadFigures figures;
  StandInFigures stand_ins;
  std::vector<Violation> violations;
  // The longest time between a request's arrival and its sending. A large value
  // shows that this program was too slow for the load.
  Duration latest_send{};

  // The share of the prefill work that was not for a request that completed; 0
  // if the engines computed nothing.
  double wasted_prefill_ratio() const {
    const auto computed = static_cast<double>(this->stand_ins.prefill_computed);
    const auto used =
        static_cast<double>(this->figures.completed_prefill_tokens);
    return computed <= used ? 0 : (computed - used) / computed;
  }
};

}  // namespace acacialug::load

#endif  // LOAD_TYPES_LOAD_REPORT_H_
