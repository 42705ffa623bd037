#ifndef GATEWAY_PROCESS_INTERNAL_HEARTBEAT_ROWS_H_
#define GATEWAY_PROCESS_INTERNAL_HEARTBEAT_ROWS_H_

#include <string>
#include <vector>

#include "forecast/types/forecast_digest.h"
#include "gateway/types/endpoint_limit_report.h"
#include "gateway/types/endpoint_load.h"
#include "origin/types/stream_origin.h"
#include "origin/types/version_report.h"
#include "protocol/types/peer_heartbeat.h"
#include "protocol/types/peer_origins.h"
#include "quota/types/quota_use.h"
#include "retry/types/crash_record.h"

namespace acacialug::gateway_process {

// Converts heartbeat rows to and from the types of the modules that use them.
// Thread safe.

protocol::PeerHeartbeat::Crash CrashRow(const retry::CrashRecord& record);
retry::CrashRecord CrashFromRow(const protocol::PeerHeartbeat::Crash& report);

std::vector<protocol::PeerHeartbeat::Quota> QuotaRows(
    const std::vector<quota::QuotaUse>& uses);
std::vector<quota::QuotaUse> QuotasFromRows(
    const std::vector<protocol::PeerHeartbeat::Quota>& rows);

protocol::PeerHeartbeat::Forecast ForecastRow(
    const forecast::ForecastReport& report);
// Figures that this process does not know come from a newer peer.
forecast::ForecastReport ForecastFromRow(
    const protocol::PeerHeartbeat::Forecast& row);

std::vector<protocol::PeerHeartbeat::Limit> LimitRows(
    const std::vector<gateway::EndpointLimitReport>& reports);
gateway::EndpointLimitReport LimitFromRow(
    const protocol::PeerHeartbeat::Limit& row);

std::vector<protocol::PeerHeartbeat::Version> VersionRows(
    const std::vector<origin::VersionReport>& reports);
std::vector<origin::VersionReport> VersionsFromRows(
    const std::vector<protocol::PeerHeartbeat::Version>& rows);

protocol::PeerOrigins OriginsDatagram(const std::string& sender,
                                      const origin::OriginMessage& message);
origin::OriginMessage OriginsFromDatagram(
    const protocol::PeerOrigins& datagram);

// Demands beyond the largest number in a heartbeat are left out.
std::vector<protocol::PeerHeartbeat::Demand> DemandRows(
    const std::vector<gateway::PeerLoad::Demand>& demands);

// `near`: the sender is in the reader's failure domain.
gateway::PeerLoad LoadFromHeartbeat(const protocol::PeerHeartbeat& heartbeat,
                                    bool near);

}  // namespace acacialug::gateway_process

#endif  // GATEWAY_PROCESS_INTERNAL_HEARTBEAT_ROWS_H_
