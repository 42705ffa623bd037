#include <cstdint>
#include <string_view>

#include "framework/metrics/exposition.h"

// Whatever another process sends as its snapshot: reading it ends, and what
// reads merges with itself and is written back as the same.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace acacialug;
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  Result<metrics::Snapshot> snapshot = metrics::FromJson(text);
  if (!snapshot) {
    return 0;
  }
  (void)metrics::PrometheusText(*snapshot);
  const auto again = metrics::FromJson(metrics::ToJson(*snapshot));
  if (!again.ok() || !(*again == *snapshot)) {
    __builtin_trap();
  }
  if (!snapshot.value().Merge(*again).ok()) {
    __builtin_trap();
  }
  return 0;
}
