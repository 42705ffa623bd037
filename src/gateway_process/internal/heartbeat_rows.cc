#include "gateway_process/internal/heartbeat_rows.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>

namespace acacialug::gateway_process {
namespace {

// The sender's clock may have stopped, so a duration may have any size.
std::uint32_t MillisecondsOf(Duration duration) {
  const std::int64_t whole =
      std::chrono::floor<std::chrono::milliseconds>(duration).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(whole, 0, UINT32_MAX));
}

std::uint8_t ByteOf(std::uint32_t count) {
  return static_cast<std::uint8_t>(std::min<std::uint32_t>(count, UINT8_MAX));
}

}  // namespace

protocol::PeerHeartbeat::Crash CrashRow(const retry::CrashRecord& record) {
  protocol::PeerHeartbeat::Crash crash{
      .request_key = record.request.value,
      .age_ms = MillisecondsOf(record.age),
      .subject = static_cast<std::uint8_t>(record.subject),
      .confirmed = record.confirmed};
  for (const retry::CrashEnd& end : record.ends) {
    crash.ends.push_back({.endpoint_key = end.endpoint,
                          .attempt_key = end.attempt,
                          .age_ms = MillisecondsOf(end.age)});
  }
  return crash;
}

retry::CrashRecord CrashFromRow(const protocol::PeerHeartbeat::Crash& report) {
  retry::CrashRecord record{
      .request = retry::RequestKey(report.request_key),
      .age = std::chrono::milliseconds(report.age_ms),
      .subject = static_cast<retry::CrashSubject>(report.subject),
      .confirmed = report.confirmed};
  for (const protocol::PeerHeartbeat::Crash::End& end : report.ends) {
    record.ends.push_back({.endpoint = end.endpoint_key,
                           .attempt = end.attempt_key,
                           .age = std::chrono::milliseconds(end.age_ms)});
  }
  return record;
}

std::vector<protocol::PeerHeartbeat::Quota> QuotaRows(
    const std::vector<quota::QuotaUse>& uses) {
  std::vector<protocol::PeerHeartbeat::Quota> rows;
  rows.reserve(uses.size());
  for (const quota::QuotaUse& use : uses) {
    rows.push_back({.customer_key = use.customer.value,
                    .account = use.account,
                    .age_ms = MillisecondsOf(use.age),
                    .taken = use.taken,
                    .left = static_cast<float>(use.left)});
  }
  return rows;
}

std::vector<quota::QuotaUse> QuotasFromRows(
    const std::vector<protocol::PeerHeartbeat::Quota>& rows) {
  std::vector<quota::QuotaUse> uses;
  uses.reserve(rows.size());
  for (const protocol::PeerHeartbeat::Quota& row : rows) {
    uses.push_back({.customer = quota::CustomerKey(row.customer_key),
                    .account = row.account,
                    .age = std::chrono::milliseconds(row.age_ms),
                    .taken = row.taken,
                    .left = row.left});
  }
  return uses;
}

protocol::PeerHeartbeat::Forecast ForecastRow(
    const forecast::ForecastReport& report) {
  protocol::PeerHeartbeat::Forecast row{
      .service_key = report.service_key,
      .prompt_tokens = static_cast<float>(report.sizes.prompt_tokens),
      .output_tokens = static_cast<float>(report.sizes.output_tokens),
      .requests = ByteOf(report.sizes.requests)};
  for (const forecast::ReportedValue& figure : report.figures) {
    row.figures.push_back({.value = static_cast<float>(figure.value),
                           .observations = ByteOf(figure.observations)});
  }
  return row;
}

forecast::ForecastReport ForecastFromRow(
    const protocol::PeerHeartbeat::Forecast& row) {
  forecast::ForecastReport report{.service_key = row.service_key,
                                  .sizes = {.prompt_tokens = row.prompt_tokens,
                                            .output_tokens = row.output_tokens,
                                            .requests = row.requests}};
  const std::size_t known = std::min(row.figures.size(), report.figures.size());
  for (std::size_t at = 0; at < known; ++at) {
    report.figures[at] = {.value = row.figures[at].value,
                          .observations = row.figures[at].observations};
  }
  return report;
}

std::vector<protocol::PeerHeartbeat::Limit> LimitRows(
    const std::vector<gateway::EndpointLimitReport>& reports) {
  std::vector<protocol::PeerHeartbeat::Limit> rows;
  rows.reserve(reports.size());
  for (const gateway::EndpointLimitReport& report : reports) {
    const double rate = std::min<double>(report.max_rate.value_or(0),
                                         std::numeric_limits<float>::max());
    rows.push_back({.endpoint_key = report.endpoint_key,
                    .limited = report.max_rate.has_value(),
                    .max_rate = static_cast<float>(rate),
                    .age_ms = MillisecondsOf(report.age)});
  }
  return rows;
}

gateway::EndpointLimitReport LimitFromRow(
    const protocol::PeerHeartbeat::Limit& row) {
  return {.endpoint_key = row.endpoint_key,
          .max_rate =
              row.limited ? std::optional<double>(row.max_rate) : std::nullopt,
          .age = std::chrono::milliseconds(row.age_ms)};
}

std::vector<protocol::PeerHeartbeat::Version> VersionRows(
    const std::vector<origin::VersionReport>& reports) {
  std::vector<protocol::PeerHeartbeat::Version> rows;
  rows.reserve(reports.size());
  for (const origin::VersionReport& report : reports) {
    rows.push_back({.service_key = report.service.value,
                    .version_key = report.version.value,
                    .age_ms = MillisecondsOf(report.age),
                    .known_for_ms = MillisecondsOf(report.known_for),
                    .introduced = report.introduced,
                    .recorded = report.recorded});
  }
  return rows;
}

std::vector<origin::VersionReport> VersionsFromRows(
    const std::vector<protocol::PeerHeartbeat::Version>& rows) {
  std::vector<origin::VersionReport> reports;
  reports.reserve(rows.size());
  for (const protocol::PeerHeartbeat::Version& row : rows) {
    reports.push_back({.service = origin::ServiceKey(row.service_key),
                       .version = origin::VersionKey(row.version_key),
                       .age = std::chrono::milliseconds(row.age_ms),
                       .known_for = std::chrono::milliseconds(row.known_for_ms),
                       .introduced = row.introduced,
                       .recorded = row.recorded});
  }
  return reports;
}

protocol::PeerOrigins OriginsDatagram(const std::string& sender,
                                      const origin::OriginMessage& message) {
  const auto rows_of = [](const std::vector<origin::StreamOrigin>& origins) {
    std::vector<protocol::PeerOrigins::Origin> rows;
    rows.reserve(origins.size());
    for (const origin::StreamOrigin& stream : origins) {
      rows.push_back({.stream_key = stream.stream.value,
                      .version_key = stream.version.value,
                      .attempt = stream.attempt,
                      .placement = stream.placement,
                      .left_ms = MillisecondsOf(stream.left)});
    }
    return rows;
  };
  const auto keys_of = [](const std::vector<origin::StreamKey>& streams) {
    std::vector<std::uint64_t> keys;
    keys.reserve(streams.size());
    for (const origin::StreamKey stream : streams) {
      keys.push_back(stream.value);
    }
    return keys;
  };
  return {.sender = sender,
          .notices = rows_of(message.notices),
          .kept = keys_of(message.kept),
          .queries = keys_of(message.queries),
          .known = rows_of(message.known),
          .unknown = keys_of(message.unknown)};
}

origin::OriginMessage OriginsFromDatagram(
    const protocol::PeerOrigins& datagram) {
  const auto origins_of =
      [](const std::vector<protocol::PeerOrigins::Origin>& rows) {
        std::vector<origin::StreamOrigin> origins;
        origins.reserve(rows.size());
        for (const protocol::PeerOrigins::Origin& row : rows) {
          origins.push_back({.stream = origin::StreamKey(row.stream_key),
                             .version = origin::VersionKey(row.version_key),
                             .attempt = row.attempt,
                             .placement = row.placement,
                             .left = std::chrono::milliseconds(row.left_ms)});
        }
        return origins;
      };
  const auto streams_of = [](const std::vector<std::uint64_t>& keys) {
    return std::vector<origin::StreamKey>(keys.begin(), keys.end());
  };
  return {.notices = origins_of(datagram.notices),
          .kept = streams_of(datagram.kept),
          .queries = streams_of(datagram.queries),
          .known = origins_of(datagram.known),
          .unknown = streams_of(datagram.unknown)};
}

std::vector<protocol::PeerHeartbeat::Demand> DemandRows(
    const std::vector<gateway::PeerLoad::Demand>& demands) {
  std::vector<protocol::PeerHeartbeat::Demand> rows;
  for (const gateway::PeerLoad::Demand& demand : demands) {
    if (rows.size() < protocol::kMaxPeerHeartbeatDemands) {
      rows.push_back({.service_key = demand.service_key,
                      .priority = ByteOf(demand.level.priority),
                      .requests_per_second = static_cast<float>(
                          demand.level.requests_per_second)});
    }
  }
  return rows;
}

gateway::PeerLoad LoadFromHeartbeat(const protocol::PeerHeartbeat& heartbeat,
                                    bool near) {
  gateway::PeerLoad load{.near = near};
  load.rows.reserve(heartbeat.rows.size());
  for (const protocol::PeerHeartbeat::Row& row : heartbeat.rows) {
    load.rows.push_back({.endpoint_key = row.endpoint_key,
                         .load = {.requests = row.requests,
                                  .kv_tokens = row.kv_tokens,
                                  .prefill_tokens = row.prefill_tokens}});
    if (row.pace > 0) {
      load.paces.push_back(
          {.endpoint_key = row.endpoint_key, .pace = row.pace});
    }
  }
  for (const protocol::PeerHeartbeat::Demand& row : heartbeat.demands) {
    load.demands.push_back(
        {.service_key = row.service_key,
         .level = {.priority = row.priority,
                   .requests_per_second = row.requests_per_second}});
  }
  return load;
}

}  // namespace acacialug::gateway_process
