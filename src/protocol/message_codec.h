#ifndef PROTOCOL_MESSAGE_CODEC_H_
#define PROTOCOL_MESSAGE_CODEC_H_

#include <string>
#include <string_view>

#include "framework/global/types/result.h"
#include "protocol/types/heartbeat.h"
#include "protocol/types/messages.h"
#include "protocol/types/peer_heartbeat.h"
#include "protocol/types/peer_origins.h"

namespace acacialug::protocol {

// Payloads of frames: cereal portable binary archives of the variants. All
// four are thread safe. Decoding accepts any bytes: a length inside the payload
// that exceeds the payload, an unknown alternative, an enumerator outside its
// table, or bytes left over give kBadFrame and take no memory beyond the
// payload's own size.
std::string Encode(const EntryToAgent& message);
std::string Encode(const AgentToEntry& message);
Result<EntryToAgent> DecodeEntryToAgent(std::string_view payload);
Result<AgentToEntry> DecodeAgentToEntry(std::string_view payload);

// Whole datagrams: a version byte and a cereal archive. Thread safe, and as
// strict as the payloads of frames. Errors of decoding: kFrameTooLarge (over
// kMaxDatagramBytes), kProtocolVersion, kBadFrame (also for more sessions than
// kMaxHeartbeatSessions).
std::string Encode(const Heartbeat& heartbeat);
std::string Encode(const HeartbeatAnswer& answer);
std::string Encode(const PeerHeartbeat& heartbeat);
Result<Heartbeat> DecodeHeartbeat(std::string_view datagram);
Result<HeartbeatAnswer> DecodeHeartbeatAnswer(std::string_view datagram);
std::string Encode(const PeerOrigins& message);
// kBadFrame also for lists that exceed their bound for one datagram.
Result<PeerOrigins> DecodePeerOrigins(std::string_view datagram);
// By the first byte.
bool IsPeerOrigins(std::string_view datagram);
// kBadFrame also for a list that exceeds its bound for one heartbeat.
Result<PeerHeartbeat> DecodePeerHeartbeat(std::string_view datagram);

}  // namespace acacialug::protocol

#endif  // PROTOCOL_MESSAGE_CODEC_H_
