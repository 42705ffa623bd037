#include "framework/metrics/exposition.h"
#include "fuzz_support.h"

// For any snapshot from another process, parsing terminates, and a snapshot
// that parses is written back unchanged, merges with itself and can be
// rendered.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace acacialug;
  Result<metrics::Snapshot> snapshot =
      metrics::FromJson(fuzz::Text(data, size));
  if (!snapshot) {
    return 0;
  }
  (void)metrics::PrometheusText(*snapshot);
  const auto again = metrics::FromJson(metrics::ToJson(*snapshot));
  fuzz::Require(again.ok() && *again == *snapshot);
  fuzz::Require(snapshot.value().Merge(*again).ok());
  return 0;
}
