#ifndef PROTOCOL_TYPES_HEARTBEAT_H_
#define PROTOCOL_TYPES_HEARTBEAT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "protocol/types/messages.h"

// The two datagrams between an entry's process and an agent. One heartbeat
// renews the sessions of all shards of the process. docs/PROTOCOL.md describes
// both datagrams in prose.
namespace acacialug::protocol {

// The first byte of a datagram. A datagram of another version is dropped, and
// frames renew the sessions instead.
inline constexpr std::uint8_t kHeartbeatVersion = 1;
// Fits the smallest MTU of IPv6 (1,280 bytes) with its headers, so that no
// datagram of this protocol is ever fragmented.
inline constexpr std::size_t kMaxDatagramBytes = 1200;
// Headers of IPv4 (20) and UDP (8), as the byte budget assumes them.
inline constexpr std::size_t kDatagramHeaderBytes = 28;
// One bit each in HeartbeatAnswer::renewed.
inline constexpr std::size_t kMaxHeartbeatSessions = 64;

// Renews the listed sessions. The agent renews only sessions that a Hello of
// the same incarnation of the process opened.
struct Heartbeat {
  EntryId entry;                // the process, not one of its shards
  Incarnation incarnation;      // of the process
  std::uint32_t sequence = 0;   // ascending within the incarnation, from 1
  std::uint32_t load_seen = 0;  // newest answer with a load; 0: none
  LogOffset manifest;
  Duration interval{};                  // that the entry's byte budget requires
  std::vector<std::uint32_t> sessions;  // by the numbers of their Welcomes

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->entry, this->incarnation, this->sequence, this->load_seen,
            this->manifest, this->interval, this->sessions);
  }
};

struct HeartbeatAnswer {
  Incarnation agent;
  std::uint32_t sequence = 0;  // of the heartbeat
  LogOffset manifest;
  Duration lease{};           // from the heartbeat on
  std::uint64_t renewed = 0;  // bit i: the heartbeat's i-th session
  bool leaving = false;
  bool has_load = false;  // false: as in the answer that `load_seen` named
  EndpointLoad load;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->agent, this->sequence, this->manifest, this->lease,
            this->renewed, this->leaving, this->has_load);
    if (this->has_load) {
      archive(this->load);
    }
  }
};

}  // namespace acacialug::protocol

#endif  // PROTOCOL_TYPES_HEARTBEAT_H_
