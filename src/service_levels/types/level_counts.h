#ifndef SERVICE_LEVELS_TYPES_LEVEL_COUNTS_H_
#define SERVICE_LEVELS_TYPES_LEVEL_COUNTS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/result_code.h"

namespace acacialug::service_levels {

// What a series counts. Requests: `total` ended, `good` within their targets.
// Prefill: `total` tokens computed, `good` those that a completed answer used.
enum class SeriesKind : std::uint8_t { kRequests, kPrefill };
inline constexpr EnumNames<SeriesKind, 2> kSeriesKindNames = {{
    {SeriesKind::kRequests, "requests"},
    {SeriesKind::kPrefill, "prefill"},
}};

// One set of labels. `latency_class` is empty for prefill work.
struct SeriesKey {
  SeriesKind kind = SeriesKind::kRequests;
  std::string service;
  std::string latency_class;

  friend auto operator<=>(const SeriesKey&, const SeriesKey&) = default;
};

// Why something was missed or wasted: one of those named here, or the
// ResultCode of the same number (those begin at 1001).
enum class Cause : std::uint16_t {
  kOther = 0,              // beyond a bound, or a newer program's cause
  kLateFirstToken = 1,     // completed, outside the target
  kLateTokenInterval = 2,  // the same; a request may miss both
  kCallerGone = 3,         // prefill: its caller went away
  kRepeated = 4,           // prefill: another one served the request
  kLateResult = 5,         // prefill: its result came after the end
};
inline constexpr EnumNames<Cause, 6> kCauseNames = {{
    {Cause::kOther, "other"},
    {Cause::kLateFirstToken, "late_first_token"},
    {Cause::kLateTokenInterval, "late_token_interval"},
    {Cause::kCallerGone, "caller_gone"},
    {Cause::kRepeated, "repeated"},
    {Cause::kLateResult, "late"},
}};

constexpr Cause CauseOf(ResultCode code) {
  return static_cast<Cause>(static_cast<int>(code));
}

// The stable name, "unlisted" for a number outside both tables. Thread safe.
std::string_view CauseName(Cause cause);

// The inverse of CauseName; empty for any other text. Thread safe.
std::optional<Cause> CauseFromName(std::string_view name);

struct CauseCount {
  Cause cause = Cause::kOther;
  std::uint64_t count = 0;

  friend bool operator==(const CauseCount&, const CauseCount&) = default;
};

inline constexpr std::size_t kAllCauses =
    std::numeric_limits<std::size_t>::max();

// Counts of one series over some time. Not thread safe, like any value.
struct LevelCounts {
  std::uint64_t total = 0;
  std::uint64_t good = 0;
  std::vector<CauseCount> causes;  // each once, in order of first use

  // Adds to a cause; beyond `max_causes` distinct ones, to kOther. Sums stay
  // at the greatest number rather than begin anew.
  void AddCause(Cause cause, std::uint64_t count, std::size_t max_causes);
  void Add(const LevelCounts& other, std::size_t max_causes = kAllCauses);

  std::uint64_t CountOf(Cause cause) const;
  bool empty() const { return this->total == 0 && this->causes.empty(); }

  friend bool operator==(const LevelCounts&, const LevelCounts&) = default;
};

}  // namespace acacialug::service_levels

#endif  // SERVICE_LEVELS_TYPES_LEVEL_COUNTS_H_
