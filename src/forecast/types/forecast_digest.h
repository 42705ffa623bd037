#ifndef FORECAST_TYPES_FORECAST_DIGEST_H_
#define FORECAST_TYPES_FORECAST_DIGEST_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "forecast/types/reported_value.h"
#include "forecast/types/request_sizes.h"
#include "framework/global/types/enum_names.h"

namespace acacialug::forecast {

// Quantities that are learned about a service's engines.
enum class Figure {
  kPrefillFixedMs,     // of any prompt at a prefill endpoint, whatever its size
  kPrefillTokenMs,     // in addition, for each token of the prompt
  kLocalPrefillRatio,  // time at a decode endpoint over that prefill time
  kFirstEventMs,       // from a computed prompt to the first event
  kPauseMs,            // between two events
  kPromptPauseMs,      // the same, while that endpoint computes a prompt
  kTokenMs,            // for one token of one stream
  kCallMs,             // of a plain request, from its sending to its answer
};
inline constexpr std::size_t kFigures = 8;
inline constexpr EnumNames<Figure, kFigures> kFigureNames = {
    {{Figure::kPrefillFixedMs, "prefill_fixed_ms"},
     {Figure::kPrefillTokenMs, "prefill_token_ms"},
     {Figure::kLocalPrefillRatio, "own_prompt_times"},
     {Figure::kFirstEventMs, "first_event_ms"},
     {Figure::kPauseMs, "pause_ms"},
     {Figure::kPromptPauseMs, "prompt_pause_ms"},
     {Figure::kTokenMs, "token_ms"},
     {Figure::kCallMs, "call_ms"}}};

// All figures, as reported to peers.
using ForecastDigest = std::array<ReportedValue, kFigures>;

// Returns whether a learned figure of `newer` differs from that of `older` by
// more than `factor`, or has no observations in `older`. Thread safe.
bool Differ(const ForecastDigest& newer,
            const ForecastDigest& older,
            double factor);

struct ForecastReport {
  std::uint64_t service_key = 0;  // hash of the service's name
  ForecastDigest figures;
  RequestSizes sizes;
};

}  // namespace acacialug::forecast

#endif  // FORECAST_TYPES_FORECAST_DIGEST_H_
