#include "framework/net/internal/frame_reader.h"

#include <QtEndian>
#include <algorithm>
#include <utility>

namespace acacialug::net {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kVersionBytes = 1;

}  // namespace

std::array<char, kFrameHeadBytes> FrameHead(std::size_t payload_bytes) {
  std::array<char, kFrameHeadBytes> head{};
  qToLittleEndian(static_cast<quint32>(payload_bytes + kVersionBytes),
                  head.data());
  head[kLengthBytes] = static_cast<char>(kProtocolVersion);
  return head;
}

FrameReader::FrameReader(std::size_t max_frame_bytes)
    : max_bytes(max_frame_bytes) {}

std::optional<std::string> FrameReader::Next(std::string_view& bytes) {
  if (this->found_fault || !this->TakeHead(bytes)) {
    return std::nullopt;
  }
  const std::size_t part =
      std::min(bytes.size(), this->payload_bytes - this->payload.size());
  this->payload.append(bytes.substr(0, part));
  bytes.remove_prefix(part);
  if (this->payload.size() < this->payload_bytes) {
    return std::nullopt;
  }
  this->head_bytes = 0;
  return std::exchange(this->payload, {});
}

// Returns true once the head is whole and good.
bool FrameReader::TakeHead(std::string_view& bytes) {
  if (this->head_bytes == kFrameHeadBytes) {
    return true;
  }
  const std::size_t part =
      std::min(bytes.size(), kFrameHeadBytes - this->head_bytes);
  std::copy_n(bytes.data(), part, this->head.data() + this->head_bytes);
  bytes.remove_prefix(part);
  this->head_bytes += part;
  if (this->head_bytes < kFrameHeadBytes) {
    return false;
  }
  const std::size_t length = qFromLittleEndian<quint32>(this->head.data());
  const auto version = static_cast<std::uint8_t>(this->head[kLengthBytes]);
  if (version != kProtocolVersion) {
    this->found_fault =
        Error(ResultCode::kProtocolVersion,
              "version " + std::to_string(version) + " in place of " +
                  std::to_string(kProtocolVersion));
  } else if (length < kVersionBytes) {
    this->found_fault = Error(ResultCode::kBadFrame, "a frame of no length");
  } else if (length - kVersionBytes > this->max_bytes) {
    this->found_fault =
        Error(ResultCode::kFrameTooLarge, std::to_string(length) + " bytes");
  }
  this->payload_bytes = length - kVersionBytes;
  return !this->found_fault;
}

}  // namespace acacialug::net
