#ifndef PROTOCOL_TYPES_PEER_HEARTBEAT_H_
#define PROTOCOL_TYPES_PEER_HEARTBEAT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "framework/global/types/identifiers.h"

namespace acacialug::protocol {

// A datagram from one gateway to another: its placed load, and how far it has
// read configuration and endpoints. The next datagram makes up for a lost one.
struct PeerHeartbeat {
  struct Row {
    std::uint64_t endpoint_key = 0;  // hash of the endpoint's id
    std::uint32_t requests = 0;
    std::uint64_t kv_tokens = 0;
    std::uint64_t prefill_tokens = 0;
    std::uint8_t pace = 0;  // as gateway::EndpointPaces::Report

    template <class Archive>
    void serialize(Archive& archive) {
      archive(this->endpoint_key, this->requests, this->kv_tokens,
              this->prefill_tokens, this->pace);
    }
  };

  // An endpoint that takes no work temporarily: it changes its role, or the
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

  // What the sender measured of a service's engines, in the order of
  // forecast::Figure. Only some heartbeats carry it, for one service in turn.
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
    // forecast::RequestSizes of the requests that reached the sender.
    float prompt_tokens = 0;
    float output_tokens = 0;
    std::uint8_t requests = 0;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(this->service_key, this->figures, this->prompt_tokens,
              this->output_tokens, this->requests);
    }
  };

  // A request during which endpoints ended, or a part of prompts. Without ends,
  // it was answered, and earlier reports on it do not count.
  struct Crash {
    struct End {
      std::uint64_t endpoint_key = 0;  // hash of the endpoint's start
      std::uint32_t attempt_key = 0;   // of the attempt that ran there
      std::uint32_t age_ms = 0;

      template <class Archive>
      void serialize(Archive& archive) {
        archive(this->endpoint_key, this->attempt_key, this->age_ms);
      }
    };

    std::uint64_t request_key = 0;
    std::vector<End> ends;
    std::uint32_t age_ms = 0;  // since the last end, or since the answer
    std::uint8_t subject = 0;  // as retry::CrashSubject
    bool confirmed = false;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(this->request_key, this->ends, this->age_ms, this->subject,
              this->confirmed);
    }
  };

  // The sender's use of a customer's quota: the fields of quota::QuotaUse.
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

  // The limit that an endpoint names in its answers: the fields of
  // gateway::EndpointLimitReport.
  struct Limit {
    std::uint64_t endpoint_key = 0;  // hash of the endpoint's id
    bool limited = false;
    float max_rate = 0;
    std::uint32_t age_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(this->endpoint_key, this->limited, this->max_rate, this->age_ms);
    }
  };

  // A software version of a service that the sender has seen: the fields of
  // origin::VersionReport.
  struct Version {
    std::uint64_t service_key = 0;  // hash of the service's name
    std::uint64_t version_key = 0;
    std::uint32_t age_ms = 0;
    std::uint32_t known_for_ms = 0;
    bool introduced = false;
    bool recorded = false;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(this->service_key, this->version_key, this->age_ms,
              this->known_for_ms, this->introduced, this->recorded);
    }
  };

  // How often requests of one priority for a service reach the sender. Only
  // some heartbeats carry any, of services with several priorities.
  struct Demand {
    std::uint64_t service_key = 0;  // hash of the service's name
    std::uint8_t priority = 0;
    float requests_per_second = 0;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(this->service_key, this->priority, this->requests_per_second);
    }
  };

  std::string sender;
  std::uint64_t domain_key = 0;  // hash of the sender's failure domain
  Incarnation incarnation;
  std::uint64_t sequence = 0;     // rises within an incarnation
  std::uint16_t pages_port = 0;   // TCP, on the sender's address
  NextVersion configuration;      // offset of the active one, plus one
  LogOffset endpoints;            // just past the last known change
  LogOffset endpoints_in_effect;  // no change before it is held back
  std::uint32_t read_age_ms = 0;  // since the sender read the store itself
  // Since the sender asked the store for the state that `endpoints` is known to
  // be complete for. Not what peers have told it: each process on the way would
  // add the time of a transmission.
  std::uint32_t confirmed_age_ms = 0;
  std::vector<Row> rows;
  std::vector<Pause> pauses;
  std::vector<Forecast> forecasts;
  std::vector<Crash> crashes;
  std::vector<Quota> quotas;
  std::vector<Limit> limits;
  // All that the sender has seen of a service, or none of them. Only some
  // heartbeats carry any.
  std::vector<Version> versions;
  std::vector<Demand> demands;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->sender, this->domain_key, this->incarnation, this->sequence,
            this->pages_port, this->configuration, this->endpoints,
            this->endpoints_in_effect, this->read_age_ms,
            this->confirmed_age_ms, this->rows, this->pauses, this->forecasts,
            this->crashes, this->quotas, this->limits, this->versions,
            this->demands);
  }
};

// Maximum rows and pauses in one datagram: they and the head stay under 1,200
// bytes, the minimum that every path carries without fragmentation.
inline constexpr std::size_t kMaxPeerHeartbeatRows = 26;
inline constexpr std::size_t kMaxPeerHeartbeatPauses = 16;
inline constexpr std::size_t kMaxPeerHeartbeatForecasts = 1;
inline constexpr std::size_t kMaxPeerHeartbeatFigures = 8;
inline constexpr std::size_t kMaxPeerHeartbeatCrashes = 4;
inline constexpr std::size_t kMaxCrashEnds = 3;
inline constexpr std::uint8_t kMaxCrashSubject = 2;
// The number of rows whose bytes one crash takes.
inline constexpr std::size_t kRowsPerCrash = 3;
// Each takes the bytes of one row.
inline constexpr std::size_t kMaxPeerHeartbeatQuotas = 8;
inline constexpr std::size_t kMaxPeerHeartbeatLimits = 4;
inline constexpr std::size_t kMaxPeerHeartbeatVersions = 12;
inline constexpr std::size_t kMaxPeerHeartbeatDemands = 10;

}  // namespace acacialug::protocol

#endif  // PROTOCOL_TYPES_PEER_HEARTBEAT_H_
