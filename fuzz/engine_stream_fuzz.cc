#include <string>

#include "engine/internal/event_stream_reader.h"
#include "engine/internal/openai_format.h"
#include "fuzz_support.h"

namespace acacialug::engine {
namespace {

constexpr std::size_t kMaximumEvent = 512;

// All events of a stream that is received in chunks of `piece` bytes.
std::string Events(std::string_view stream, std::size_t piece) {
  EventStreamReader reader(kMaximumEvent);
  std::string events;
  while (!stream.empty()) {
    reader.Feed(stream.substr(0, piece));
    stream.remove_prefix(std::min(piece, stream.size()));
    while (const auto event = reader.Next()) {
      events += *event + '|';
      (void)ParseStreamPart(*event).ok();
    }
  }
  return events + (reader.broken() ? "broken" : "");
}

}  // namespace
}  // namespace acacialug::engine

// For any bytes from an engine, the events do not depend on how the bytes are
// split, and a body that is invalid only fails to parse.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace acacialug;
  const std::string_view text = fuzz::Text(data, size);
  fuzz::Require(engine::Events(text, 1) == engine::Events(text, 7));
  (void)engine::ParseStreamPart(text).ok();
  (void)engine::ParsePrefillAnswer(text).ok();
  (void)engine::ParseHeld(text).ok();
  (void)engine::ParseState(text).ok();
  (void)engine::ParseOrderAnswer(409, text);
  (void)engine::FailureOf(503, text);
  return 0;
}
