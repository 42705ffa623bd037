#include <string>

#include "fuzz_support.h"
#include "service_levels/digest_codec.h"
#include "service_levels/level_fold.h"

// Any record of the log, or page of another process, is either rejected, or is
// the same after it is written and read again; rendering a report of it
// terminates.
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
