#ifndef LOAD_TYPES_LOAD_FIGURES_H_
#define LOAD_TYPES_LOAD_FIGURES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/instant.h"

namespace acacialug::load {

// How a request ended, as its caller saw it.
enum class RequestOutcome : std::uint8_t {
  kCompleted,
  kNotRun,    // refused, provably not run
  kUnknown,   // broken off, or an error that may have run
  kRejected,  // the request itself was found wrong (a fault of the plan)
  kLeft,      // the caller left, as the plan wanted
};
inline constexpr EnumNames<RequestOutcome, 5> kRequestOutcomeNames = {{
    {RequestOutcome::kCompleted, "completed"},
    {RequestOutcome::kNotRun, "refused_not_run"},
    {RequestOutcome::kUnknown, "unknown"},
    {RequestOutcome::kRejected, "rejected"},
    {RequestOutcome::kLeft, "left"},
}};

// Exact quantiles of measured durations.
struct DurationFigures {
  std::uint64_t count = 0;
  Duration p50{};
  Duration p95{};
  Duration p99{};
  Duration longest{};
};

// Of the measured requests of one kind.
struct MixFigures {
  std::string name;
  bool generation = true;
  bool direct = false;
  std::uint64_t offered = 0;
  std::map<RequestOutcome, std::uint64_t> outcomes;
  std::uint64_t on_time = 0;  // completed within both targets
  std::uint64_t slow_readers = 0;
  // Of all offered ones, as drawn; means for generations.
  double mean_prompt_tokens = 0;
  double mean_shared_tokens = 0;
  double mean_output_tokens = 0;
  // Generations: to the first token, and between tokens, of completed ones.
  // Calls: to the whole answer; no intervals.
  DurationFigures first_token;
  DurationFigures token_interval;
  // Result code (or HTTP status, if the answer had none) of each request that
  // did not complete.
  std::map<std::string, std::uint64_t> codes;
};

// Outcomes of the requests that arrived in each step of kTimelineStep, the
// first of which begins with the load. Indices are the same in all lists.
inline constexpr Duration kTimelineStep = 100ms;
struct Timeline {
  Instant begun;
  std::vector<std::uint32_t> offered;
  std::vector<std::uint32_t> on_time;  // completed within both targets
  std::vector<std::uint32_t> failed;   // not completed, for whatever reason
  std::vector<Duration> slowest;       // to first token or whole answer
};

struct LoadFigures {
  Duration measured{};
  std::vector<MixFigures> mixes;
  std::uint64_t measured_tokens = 0;  // received in the measured time
  std::uint64_t max_outstanding = 0;  // requests open at once
  // All requests, not only the measured ones.
  std::uint64_t tokens = 0;
  std::uint64_t arrived = 0;
  std::uint64_t completed = 0;
  // Prompt tokens that the prefills of completed generations computed.
  std::uint64_t completed_prefill_tokens = 0;
  Timeline timeline;  // without those past the router
};

}  // namespace acacialug::load

#endif  // LOAD_TYPES_LOAD_FIGURES_H_
