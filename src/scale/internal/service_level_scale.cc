#include <string>

#include "framework/global/types/instant.h"
#include "scale/internal/sections.h"
#include "service_levels/digest_codec.h"
#include "service_levels/service_level_windows.h"

namespace acacialug::scale {
namespace {

using service_levels::Cause;
using service_levels::CauseOf;
using service_levels::LevelCounts;
using service_levels::SeriesKey;
using service_levels::ServiceLevelWindows;

SeriesKey KeyOf(std::size_t series) {
  return {.service = "service-" + std::to_string(series),
          .latency_class = "interactive"};
}

LevelCounts MixedCounts() {
  return {.total = 1000,
          .good = 960,
          .causes = {{Cause::kLateFirstToken, 20},
                     {Cause::kLateTokenInterval, 10},
                     {CauseOf(ResultCode::kOverloaded), 8},
                     {CauseOf(ResultCode::kEndpointLost), 2}}};
}

// Fills every bin of every ring: a month of counts, the oldest first.
void Fill(ServiceLevelWindows& windows, std::size_t series) {
  const LevelCounts counts = MixedCounts();
  for (std::size_t ring = service_levels::kResolutions.size(); ring > 0;
       --ring) {
    const service_levels::Resolution& resolution =
        service_levels::kResolutions[ring - 1];
    for (std::size_t bin = resolution.bins; bin > 0; --bin) {
      const auto age = resolution.bin * static_cast<Duration::rep>(bin - 1);
      for (std::size_t index = 0; index < series; ++index) {
        windows.Count(KeyOf(index), counts, Instant(1000 * 1h) - age);
      }
    }
  }
}

double WindowBytes(std::size_t series) {
  const double heap = HeapBytes();
  ServiceLevelWindows windows({.max_series = series}, Instant());
  Fill(windows, series);
  return HeapBytes() - heap;
}

double CountMicroseconds(std::size_t counts) {
  ServiceLevelWindows windows({}, Instant());
  const LevelCounts one = {.total = 1, .good = 1};
  const SeriesKey key = KeyOf(1);
  const double start = ThreadMicroseconds();
  for (std::size_t index = 0; index < counts; ++index) {
    windows.Count(key, one, Instant() + 8ms * static_cast<int>(index));
  }
  return ThreadMicroseconds() - start;
}

double DigestBytes(std::size_t series) {
  service_levels::DigestWindow window{.length = 50min};
  for (std::size_t index = 0; index < series; ++index) {
    window.series[KeyOf(index)] = MixedCounts();
  }
  return static_cast<double>(
      service_levels::EncodeDigest({.windows = {window}}).size());
}

double PageBytes(std::size_t series) {
  ServiceLevelWindows windows({.max_series = series}, Instant());
  Fill(windows, series);
  return static_cast<double>(service_levels::EncodeLevelPage(
                                 {.levels = windows.Read(Instant(1000 * 1h))})
                                 .size());
}

}  // namespace

std::vector<Sweep> ServiceLevelSweeps() {
  return {{.quantity = "service_levels.window_memory",
           .unit = "bytes",
           .x = "label sets, all bins full, 4 causes",
           .xs = {4, 16, 64},
           .measure = WindowBytes},
          {.quantity = "service_levels.count_cpu",
           .unit = "us",
           .x = "requests counted",
           .xs = {1000, 10'000, 100'000},
           .measure = CountMicroseconds},
          {.quantity = "service_levels.digest_bytes",
           .unit = "bytes",
           .x = "label sets, 4 causes",
           .xs = {4, 16, 64},
           .measure = DigestBytes},
          {.quantity = "service_levels.page_bytes",
           .unit = "bytes",
           .x = "label sets, all bins full, 4 causes",
           .xs = {4, 16, 64},
           .measure = PageBytes}};
}

}  // namespace acacialug::scale
