#include "maintenance/maintenance_queue.h"

#include <algorithm>

namespace acacialug::maintenance {

void MaintenanceQueue::Apply(LogOffset offset, const std::string& payload) {
  if (offset <= this->through) {
    return;
  }
  this->through = offset;
  const Result<MaintenanceRecord> record = DecodeMaintenanceRecord(payload);
  if (!record.ok()) {
    return;
  }
  if (record->kind == MaintenanceRecordKind::kRelease) {
    this->Close(*record);
  } else {
    this->Open(offset, *record);
  }
}

void MaintenanceQueue::Open(LogOffset offset, const MaintenanceRecord& record) {
  if (this->IsClosed(record.endpoint, record.id)) {
    return;
  }
  const auto found = this->by_endpoint.find(record.endpoint);
  if (found != this->by_endpoint.end()) {
    Claim& claim = this->claims.at(found->second);
    if (claim.id == record.id) {
      claim.newest = offset;
    }
    return;
  }
  // The claim's first record may be gone from the log; a copy still takes the
  // queue position of that record. When another claim has this position, the
  // copy's `since` cannot be right, and the copy is queued at its own offset.
  LogOffset since =
      record.since.value == 0 || record.since > offset ? offset : record.since;
  if (this->claims.contains(since)) {
    since = offset;
  }
  this->claims.emplace(since, Claim{.endpoint = record.endpoint,
                                    .id = record.id,
                                    .since = since,
                                    .newest = offset});
  this->by_endpoint.emplace(record.endpoint, since);
}

void MaintenanceQueue::Close(const MaintenanceRecord& record) {
  const auto found = this->by_endpoint.find(record.endpoint);
  if (found != this->by_endpoint.end() &&
      this->claims.at(found->second).id == record.id) {
    this->claims.erase(found->second);
    this->by_endpoint.erase(found);
  }
  if (this->IsClosed(record.endpoint, record.id)) {
    return;
  }
  std::deque<std::uint64_t>& kept = this->closed[record.endpoint];
  kept.push_back(record.id);
  if (kept.size() > kClosedKept) {
    kept.pop_front();
  }
}

const MaintenanceQueue::Claim* MaintenanceQueue::OpenClaimOf(
    const EndpointId& endpoint) const {
  const auto found = this->by_endpoint.find(endpoint);
  return found == this->by_endpoint.end() ? nullptr
                                          : &this->claims.at(found->second);
}

std::optional<std::size_t> MaintenanceQueue::RankOf(
    const EndpointId& endpoint,
    const std::set<EndpointId>& members) const {
  const Claim* own = this->OpenClaimOf(endpoint);
  if (own == nullptr) {
    return std::nullopt;
  }
  std::size_t rank = 0;
  for (const auto& [since, claim] : this->claims) {
    if (since >= own->since) {
      break;
    }
    rank += members.contains(claim.endpoint) ? 1 : 0;
  }
  return rank;
}

bool MaintenanceQueue::IsClosed(const EndpointId& endpoint,
                                std::uint64_t id) const {
  const auto found = this->closed.find(endpoint);
  return found != this->closed.end() &&
         std::find(found->second.begin(), found->second.end(), id) !=
             found->second.end();
}

}  // namespace acacialug::maintenance
