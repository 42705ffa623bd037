#ifndef PROTOCOL_TYPES_PEER_HEARTBEAT_H_
#define PROTOCOL_TYPES_PEER_HEARTBEAT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "framework/global/types/identifiers.h"

namespace acacialug::protocol {

// A datagram from one gateway to another: what it has placed, and how far it
// knows configuration and endpoints. One that is lost is made good by the next.
struct PeerHeartbeat {
  struct Row {
    std::uint64_t endpoint_key = 0;  // hash of the endpoint's id
    std::uint32_t requests = 0;
    std::uint64_t kv_tokens = 0;
    std::uint64_t prefill_tokens = 0;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(this->endpoint_key, this->requests, this->kv_tokens,
              this->prefill_tokens);
    }
  };

  // An endpoint that takes no work for a while: it changes its role, or the
  // sender could not reach it.
  struct Pause {
    std::uint64_t endpoint_key = 0;
    std::uint32_t left_ms = 0;
    bool unreachable = false;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(this->endpoint_key, this->left_ms, this->unreachable);
    }
  };

  // What the sender learned of a service's engines: figures in the order of
  // forecast::Figure. In some heartbeats only, one service after the other.
  struct Forecast {
    struct Learned {
      float value = 0;
      std::uint8_t observations = 0;

      template <class Archive>
      void serialize(Archive& archive) {
        archive(this->value, this->observations);
      }
    };

    std::uint64_t service_key = 0;  // hash of the service's name
    std::vector<Learned> figures;
    // Of the requests that came to the sender: forecast::RequestSizes.
    float prompt_tokens = 0;
    float output_tokens = 0;
    std::uint8_t requests = 0;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(this->service_key, this->figures, this->prompt_tokens,
              this->output_tokens, this->requests);
    }
  };

  // A request under which endpoints ended; without ends: it was answered, and
  // what was told of it before does not count.
  struct Crash {
    struct End {
      std::uint64_t endpoint_key = 0;  // hash of the endpoint's start
      std::uint32_t attempt_key = 0;   // of the attempt that was there

      template <class Archive>
      void serialize(Archive& archive) {
        archive(this->endpoint_key, this->attempt_key);
      }
    };

    std::uint64_t request_key = 0;
    std::vector<End> ends;
    std::uint32_t age_ms = 0;  // since the last end, or since the answer

    template <class Archive>
    void serialize(Archive& archive) {
      archive(this->request_key, this->ends, this->age_ms);
    }
  };

  // What the sender took of a customer's quota: the fields of quota::QuotaUse.
  struct Quota {
    std::uint64_t customer_key = 0;  // hash of the customer's name
    std::uint32_t account = 0;
    std::uint32_t age_ms = 0;
    std::int64_t taken = 0;
    float left = 0;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(this->customer_key, this->account, this->age_ms, this->taken,
              this->left);
    }
  };

  std::string sender;
  std::uint64_t domain_key = 0;  // hash of the sender's failure domain
  Incarnation incarnation;
  std::uint64_t sequence = 0;     // rises within an incarnation
  std::uint16_t pages_port = 0;   // TCP, on the sender's address
  LogOffset configuration;        // offset of the one in force, plus one
  LogOffset endpoints;            // behind the last change that is known
  std::uint32_t read_age_ms = 0;  // since the sender read the store itself
  std::vector<Row> rows;
  std::vector<Pause> pauses;
  std::vector<Forecast> forecasts;
  std::vector<Crash> crashes;
  std::vector<Quota> quotas;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->sender, this->domain_key, this->incarnation, this->sequence,
            this->pages_port, this->configuration, this->endpoints,
            this->read_age_ms, this->rows, this->pauses, this->forecasts,
            this->crashes, this->quotas);
  }
};

// Rows and pauses in one datagram at most: they and the head stay under 1,200
// bytes, the least that every path takes whole.
inline constexpr std::size_t kMaxPeerHeartbeatRows = 26;
inline constexpr std::size_t kMaxPeerHeartbeatPauses = 16;
inline constexpr std::size_t kMaxPeerHeartbeatForecasts = 1;
inline constexpr std::size_t kMaxPeerHeartbeatFigures = 8;
inline constexpr std::size_t kMaxPeerHeartbeatCrashes = 4;
inline constexpr std::size_t kMaxCrashEnds = 3;
// A crash takes the place of so many rows.
inline constexpr std::size_t kRowsPerCrash = 2;
// Each takes the place of a row.
inline constexpr std::size_t kMaxPeerHeartbeatQuotas = 8;

}  // namespace acacialug::protocol

#endif  // PROTOCOL_TYPES_PEER_HEARTBEAT_H_
