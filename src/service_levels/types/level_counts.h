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

// The unit that a series counts. Requests: `total` have ended, `good` of them
// within their targets. Prefill: `total` tokens were computed, `good` of them
// were used by a completed answer.
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

// The cause of a missed target or of wasted work: a value named here, or the
// ResultCode with the same number (result codes begin at 1001).
enum class Cause : std::uint16_t {
  kOther = 0,              // above a bound, or a newer program's cause
  kLateFirstToken = 1,     // completed, outside the target
  kLateTokenInterval = 2,  // completed, outside the target; may miss both
  kCallerGone = 3,         // prefill: its caller disconnected
  kRepeated = 4,           // prefill: another prefill served the request
  kLateResult = 5,  // prefill: its result arrived after the request's end
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

// Returns the stable name, "unlisted" for a number outside both tables. Thread
// safe.
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

// Counts of one series over a period of time. Not thread safe.
struct LevelCounts {
  std::uint64_t total = 0;
  std::uint64_t good = 0;
  std::vector<CauseCount> causes;  // one item per cause, in order of first use

  // Adds to the count of a cause, or of kOther once there are `max_causes`
  // distinct causes. Sums saturate at the largest value instead of wrapping.
  void AddCause(Cause cause, std::uint64_t count, std::size_t max_causes);
  void Add(const LevelCounts& other, std::size_t max_causes = kAllCauses);

  std::uint64_t CountOf(Cause cause) const;
  bool empty() const { return this->total == 0 && this->causes.empty(); }

  friend bool operator==(const LevelCounts&, const LevelCounts&) = default;
};

}  // namespace acacialug::service_levels

#endif  // SERVICE_LEVELS_TYPES_LEVEL_COUNTS_H_
