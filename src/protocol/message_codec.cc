#include "protocol/message_codec.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cmath>
#include <ostream>
#include <streambuf>

#include "protocol/internal/bounded_input_archive.h"

namespace acacialug::protocol {
namespace {

// Appends to a string, which avoids the copy out of a std::ostringstream.
class StringBuffer : public std::streambuf {
 public:
  std::string TakeText() { return std::move(this->text); }

 protected:
  std::streamsize xsputn(const char* data, std::streamsize count) override {
    this->text.append(data, static_cast<std::size_t>(count));
    return count;
  }

 private:
  std::string text;
};

template <typename Message>
std::string EncodeAny(const Message& message) {
  StringBuffer buffer;
  std::ostream stream(&buffer);
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(message);
  return buffer.TakeText();
}

template <typename Message>
Result<Message> DecodeAny(std::string_view payload) {
  try {
    BoundedInputArchive archive(payload);
    Message message;
    archive(message);
    if (archive.remaining() != 0) {
      return Error(ResultCode::kBadFrame, "bytes left over");
    }
    return message;
  } catch (const cereal::Exception& exception) {
    return Error(ResultCode::kBadFrame, exception.what());
  }
}

template <typename Message>
std::string EncodeDatagram(const Message& message,
                           std::uint8_t version = kHeartbeatVersion) {
  return static_cast<char>(version) + EncodeAny(message);
}

template <typename Message>
Result<Message> DecodeDatagram(std::string_view datagram,
                               std::uint8_t expected = kHeartbeatVersion) {
  if (datagram.size() > kMaxDatagramBytes) {
    return Error(ResultCode::kFrameTooLarge, "datagram");
  }
  if (datagram.empty()) {
    return Error(ResultCode::kBadFrame, "empty datagram");
  }
  const auto version = static_cast<std::uint8_t>(datagram.front());
  if (version != expected) {
    return Error(ResultCode::kProtocolVersion,
                 "datagram of version " + std::to_string(version));
  }
  return DecodeAny<Message>(datagram.substr(1));
}

bool IsBounded(const PeerHeartbeat& heartbeat) {
  return heartbeat.rows.size() + heartbeat.quotas.size() +
                 heartbeat.limits.size() + heartbeat.versions.size() +
                 heartbeat.demands.size() +
                 kRowsPerCrash * heartbeat.crashes.size() <=
             kMaxPeerHeartbeatRows &&
         heartbeat.quotas.size() <= kMaxPeerHeartbeatQuotas &&
         std::all_of(heartbeat.quotas.begin(), heartbeat.quotas.end(),
                     [](const PeerHeartbeat::Quota& quota) {
                       return std::isfinite(quota.left);
                     }) &&
         heartbeat.limits.size() <= kMaxPeerHeartbeatLimits &&
         std::all_of(heartbeat.limits.begin(), heartbeat.limits.end(),
                     [](const PeerHeartbeat::Limit& limit) {
                       return std::isfinite(limit.max_rate) &&
                              limit.max_rate >= 0;
                     }) &&
         heartbeat.versions.size() <= kMaxPeerHeartbeatVersions &&
         heartbeat.demands.size() <= kMaxPeerHeartbeatDemands &&
         std::all_of(heartbeat.demands.begin(), heartbeat.demands.end(),
                     [](const PeerHeartbeat::Demand& demand) {
                       return std::isfinite(demand.requests_per_second) &&
                              demand.requests_per_second >= 0;
                     }) &&
         heartbeat.crashes.size() <= kMaxPeerHeartbeatCrashes &&
         std::all_of(heartbeat.crashes.begin(), heartbeat.crashes.end(),
                     [](const PeerHeartbeat::Crash& crash) {
                       return crash.ends.size() <= kMaxCrashEnds &&
                              crash.subject <= kMaxCrashSubject;
                     }) &&
         heartbeat.pauses.size() <= kMaxPeerHeartbeatPauses &&
         heartbeat.forecasts.size() <= kMaxPeerHeartbeatForecasts &&
         std::all_of(heartbeat.forecasts.begin(), heartbeat.forecasts.end(),
                     [](const PeerHeartbeat::Forecast& forecast) {
                       return forecast.figures.size() <=
                              kMaxPeerHeartbeatFigures;
                     });
}

}  // namespace

std::string Encode(const PeerHeartbeat& heartbeat) {
  return EncodeDatagram(heartbeat);
}

Result<PeerHeartbeat> DecodePeerHeartbeat(std::string_view datagram) {
  Result<PeerHeartbeat> heartbeat = DecodeDatagram<PeerHeartbeat>(datagram);
  if (heartbeat.ok() && !IsBounded(*heartbeat)) {
    return Error(ResultCode::kBadFrame, "too many rows, or one that cannot be");
  }
  return heartbeat;
}

std::string Encode(const PeerOrigins& message) {
  return EncodeDatagram(message, kPeerOriginsVersion);
}

Result<PeerOrigins> DecodePeerOrigins(std::string_view datagram) {
  Result<PeerOrigins> message =
      DecodeDatagram<PeerOrigins>(datagram, kPeerOriginsVersion);
  if (message.ok() && message->notices.size() + message->kept.size() +
                              message->queries.size() + message->known.size() +
                              message->unknown.size() >
                          kMaxPeerOriginsRows) {
    return Error(ResultCode::kBadFrame, "too many rows");
  }
  return message;
}

bool IsPeerOrigins(std::string_view datagram) {
  return !datagram.empty() &&
         static_cast<std::uint8_t>(datagram.front()) == kPeerOriginsVersion;
}

std::string Encode(const EntryToAgent& message) {
  return EncodeAny(message);
}

std::string Encode(const AgentToEntry& message) {
  return EncodeAny(message);
}

Result<EntryToAgent> DecodeEntryToAgent(std::string_view payload) {
  return DecodeAny<EntryToAgent>(payload);
}

Result<AgentToEntry> DecodeAgentToEntry(std::string_view payload) {
  return DecodeAny<AgentToEntry>(payload);
}

std::string Encode(const Heartbeat& heartbeat) {
  return EncodeDatagram(heartbeat);
}

std::string Encode(const HeartbeatAnswer& answer) {
  return EncodeDatagram(answer);
}

Result<Heartbeat> DecodeHeartbeat(std::string_view datagram) {
  Result<Heartbeat> heartbeat = DecodeDatagram<Heartbeat>(datagram);
  if (heartbeat.ok() && heartbeat->sessions.size() > kMaxHeartbeatSessions) {
    return Error(ResultCode::kBadFrame, "too many sessions");
  }
  return heartbeat;
}

Result<HeartbeatAnswer> DecodeHeartbeatAnswer(std::string_view datagram) {
  return DecodeDatagram<HeartbeatAnswer>(datagram);
}

}  // namespace acacialug::protocol
