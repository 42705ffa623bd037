#include <string>

#include "fuzz_support.h"
#include "service_levels/digest_codec.h"
#include "service_levels/level_fold.h"

// Whatever stands in the log or on another process's page: it is refused, or
// what was read is written and read again as the same, and a report of it ends.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace acacialug;
  const std::string_view text = fuzz::Text(data, size);
  const auto digest = service_levels::DecodeDigest(text);
  if (digest.ok()) {
    const auto again =
        service_levels::DecodeDigest(service_levels::EncodeDigest(*digest));
    fuzz::Require(again.ok() && *again == *digest);
  }
  service_levels::LevelFold fold;
  const auto page = service_levels::DecodeLevelPage(text);
  if (page.ok()) {
    fuzz::Require(
        service_levels::DecodeLevelPage(service_levels::EncodeLevelPage(*page))
            .ok());
    fold.AddLive(*page);
  }
  fold.AddRecord(text);
  (void)fold.Finish(service_levels::WallTime());
  return 0;
}
