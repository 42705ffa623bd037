#ifndef SERVICE_LEVELS_TYPES_RESOLUTIONS_H_
#define SERVICE_LEVELS_TYPES_RESOLUTIONS_H_

#include <array>
#include <cstddef>
#include <string_view>

#include "framework/global/types/instant.h"

namespace acacialug::service_levels {

// One ring of bins. A sum over a ring's length is off by at most one bin, the
// bin that is still being filled: 1/30 of the shortest ring, and less of the
// others.
struct Resolution {
  Duration bin{};
  std::size_t bins = 0;

  constexpr Duration Length() const {
    return this->bin * static_cast<Duration::rep>(this->bins);
  }
};

// The lengths are those that multi-window alerts need (Google's SRE workbook,
// chapter 5: 1 h with 5 min, 6 h with 30 min, 3 d with 6 h) and the 30 days of
// the error budget. The 30 min window is the newer half of the second ring.
inline constexpr std::array<Resolution, 5> kResolutions = {{
    {.bin = 10s, .bins = 30},      // 5 min
    {.bin = 1min, .bins = 60},     // 1 h
    {.bin = 10min, .bins = 36},    // 6 h
    {.bin = 1h, .bins = 72},       // 3 d
    {.bin = 6 * 1h, .bins = 120},  // 30 d
}};

// A window that a report shows, and the ring that it is summed from.
struct ReportWindow {
  std::string_view name;
  Duration length{};
  std::size_t resolution = 0;  // index into kResolutions
};
inline constexpr std::array<ReportWindow, 6> kReportWindows = {{
    {.name = "5m", .length = 5min, .resolution = 0},
    {.name = "30m", .length = 30min, .resolution = 1},
    {.name = "1h", .length = 1h, .resolution = 1},
    {.name = "6h", .length = 6 * 1h, .resolution = 2},
    {.name = "3d", .length = 72 * 1h, .resolution = 3},
    {.name = "30d", .length = 720 * 1h, .resolution = 4},
}};
inline constexpr std::size_t kBudgetWindow = 5;  // index into kReportWindows
// The ring that supplies the plots over time: 6 h. An index into kResolutions.
inline constexpr std::size_t kTimelineResolution = 2;

}  // namespace acacialug::service_levels

#endif  // SERVICE_LEVELS_TYPES_RESOLUTIONS_H_
