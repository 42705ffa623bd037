#include <string>

#include "framework/net/internal/frame_reader.h"
#include "fuzz_support.h"
#include "protocol/message_codec.h"

namespace acacialug {
namespace {

constexpr std::size_t kMaximumFrame = 4096;

// A message that decodes is encoded as bytes that decode to the same message.
template <typename Message>
void RoundTrip(const Result<Message>& decoded,
               Result<Message> (*decode)(std::string_view)) {
  if (!decoded) {
    fuzz::Require(decoded.error().result_code() == ResultCode::kBadFrame);
    return;
  }
  const std::string bytes = protocol::Encode(*decoded);
  const Result<Message> again = decode(bytes);
  fuzz::Require(again.ok() && protocol::Encode(*again) == bytes);
}

// As above. A datagram may also be rejected for its version or its checksum.
template <typename Message>
void RoundTripDatagram(std::string_view datagram,
                       Result<Message> (*decode)(std::string_view)) {
  const Result<Message> decoded = decode(datagram);
  if (!decoded) {
    const ResultCode code = decoded.error().result_code();
    fuzz::Require(code == ResultCode::kBadFrame ||
                  code == ResultCode::kProtocolVersion ||
                  code == ResultCode::kFrameTooLarge);
    return;
  }
  const std::string bytes = protocol::Encode(*decoded);
  const Result<Message> again = decode(bytes);
  fuzz::Require(again.ok() && protocol::Encode(*again) == bytes);
}

// All payloads of a stream that is received in chunks of `piece` bytes.
std::string Payloads(std::string_view stream, std::size_t piece) {
  net::FrameReader reader(kMaximumFrame);
  std::string payloads;
  while (!stream.empty() && !reader.fault()) {
    std::string_view bytes = stream.substr(0, piece);
    stream.remove_prefix(bytes.size());
    while (!bytes.empty() && !reader.fault()) {
      if (const auto payload = reader.Next(bytes)) {
        fuzz::Require(payload->size() <= kMaximumFrame);
        payloads += *payload + '|';
        RoundTrip(protocol::DecodeEntryToAgent(*payload),
                  protocol::DecodeEntryToAgent);
        RoundTrip(protocol::DecodeAgentToEntry(*payload),
                  protocol::DecodeAgentToEntry);
      }
    }
  }
  return payloads + (reader.fault() ? "fault" : "");
}

}  // namespace
}  // namespace acacialug

// For any bytes from a peer, the frames do not depend on how the bytes are
// split, and a payload that is invalid only fails to decode. The input is read
// as a stream of frames, as a payload, and as a datagram.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace acacialug;
  const std::string_view text = fuzz::Text(data, size);
  fuzz::Require(Payloads(text, size) == Payloads(text, 3));
  RoundTrip(protocol::DecodeEntryToAgent(text), protocol::DecodeEntryToAgent);
  RoundTrip(protocol::DecodeAgentToEntry(text), protocol::DecodeAgentToEntry);
  RoundTripDatagram(text, protocol::DecodeHeartbeat);
  RoundTripDatagram(text, protocol::DecodeHeartbeatAnswer);
  return 0;
}
