#ifndef PROTOCOL_TYPES_PEER_ORIGINS_H_
#define PROTOCOL_TYPES_PEER_ORIGINS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "framework/global/types/identifiers.h"

namespace acacialug::protocol {

// The first byte of the datagram, which distinguishes it from a heartbeat on
// the same socket. It changes with the layout.
inline constexpr std::uint8_t kPeerOriginsVersion = 129;

// A datagram from one gateway to another: the fields of origin::OriginMessage.
// Notices and queries are repeated until they are answered.
struct PeerOrigins {
  struct Origin {
    std::uint64_t stream_key = 0;
    std::uint64_t version_key = 0;
    std::uint32_t attempt = 0;
    std::uint32_t placement = 0;
    std::uint32_t left_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(this->stream_key, this->version_key, this->attempt,
              this->placement, this->left_ms);
    }
  };

  std::string sender;
  LogOffset endpoints;  // just past the last change that the sender knows
  std::vector<Origin> notices;
  std::vector<std::uint64_t> kept;
  std::vector<std::uint64_t> queries;
  std::vector<Origin> known;
  std::vector<std::uint64_t> unknown;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->sender, this->endpoints, this->notices, this->kept,
            this->queries, this->known, this->unknown);
  }
};

// In all lists of one datagram together, so that it stays under 1,200 bytes.
inline constexpr std::size_t kMaxPeerOriginsRows = 32;

}  // namespace acacialug::protocol

#endif  // PROTOCOL_TYPES_PEER_ORIGINS_H_
