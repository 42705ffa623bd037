#ifndef FRAMEWORK_NET_INTERNAL_FRAME_READER_H_
#define FRAMEWORK_NET_INTERNAL_FRAME_READER_H_

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "framework/global/types/result.h"
#include "framework/net/frame_channel.h"

namespace acacialug::net {

// The head of a frame with this payload. Precondition: the payload is within
// the limits, which are below 4 GB.
std::array<char, kFrameHeadBytes> FrameHead(std::size_t payload_bytes);

// Cuts a stream of bytes into frames, without I/O. Each byte is copied once,
// and memory grows with what has come, not with what a head claims.
class FrameReader {
 public:
  explicit FrameReader(std::size_t max_frame_bytes);

  // Takes bytes from the front of `bytes` up to the end of one frame, and
  // returns its payload; empty if the frame is not whole yet, or if fault()
  // is set: the stream is then of no further use.
  std::optional<std::string> Next(std::string_view& bytes);

  const std::optional<Error>& fault() const { return this->found_fault; }

 private:
  bool TakeHead(std::string_view& bytes);

  const std::size_t max_bytes;
  std::array<char, kFrameHeadBytes> head{};
  std::size_t head_bytes = 0;
  std::size_t payload_bytes = 0;  // valid once the head is whole
  std::string payload;
  std::optional<Error> found_fault;
};

}  // namespace acacialug::net

#endif  // FRAMEWORK_NET_INTERNAL_FRAME_READER_H_
