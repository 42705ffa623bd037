#include "standin/platform_models.h"

#include <algorithm>
#include <utility>

namespace acacialug::standin {

LogModel::LogModel(LogOptions log_options) : options(log_options) {}

Result<LogOffset> LogModel::Append(const std::string& stream,
                                   std::string payload,
                                   Instant now) {
  if (this->outage) {
    return Error(ResultCode::kPlatformUnavailable, "outage");
  }
  if (payload.size() > this->options.max_record_bytes) {
    return Error(ResultCode::kInvalidParameter, "record too large");
  }
  if (!this->TakeToken(now)) {
    return Error(ResultCode::kPlatformUnavailable, "rate of appends");
  }
  Stream& written = this->streams[stream];
  const LogOffset offset(written.next());
  written.entries.push_back({.payload = std::move(payload), .at = now});
  this->Expire(written, now);
  return offset;
}

Result<cluster::ILog::Read> LogModel::ReadFrom(const std::string& stream,
                                               LogOffset from,
                                               std::size_t limit,
                                               Instant now) {
  if (this->outage) {
    return Error(ResultCode::kPlatformUnavailable, "outage");
  }
  cluster::ILog::Read read{.first_kept = LogOffset(1), .next = LogOffset(1)};
  const auto found = this->streams.find(stream);
  if (found == this->streams.end()) {
    return read;
  }
  Stream& kept = found->second;
  this->Expire(kept, now);
  read.first_kept = LogOffset(kept.first_kept);
  read.next = LogOffset(kept.next());
  std::uint64_t at = std::max(from.value, kept.first_kept);
  for (; at < kept.next() && read.records.size() < limit; ++at) {
    read.records.push_back(
        {.offset = LogOffset(at),
         .payload = kept.entries[at - kept.first_kept].payload});
  }
  return read;
}

bool LogModel::TakeToken(Instant now) {
  const double rate = this->options.appends_per_second;
  if (rate <= 0) {
    return true;
  }
  if (!std::exchange(this->tokens_begun, true)) {
    this->tokens = rate;
    this->tokens_at = now;
  }
  this->tokens =
      std::min(rate, this->tokens + Seconds(now - this->tokens_at) * rate);
  this->tokens_at = now;
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

void LogModel::Expire(Stream& stream, Instant now) const {
  const auto too_many = [&] {
    return this->options.retain_records > 0 &&
           stream.entries.size() > this->options.retain_records;
  };
  const auto too_old = [&] {
    return this->options.retain_age > Duration::zero() &&
           stream.entries.front().at + this->options.retain_age <= now;
  };
  while (!stream.entries.empty() && (too_many() || too_old())) {
    stream.entries.pop_front();
    ++stream.first_kept;
  }
}

HostListModel::HostListModel(const HostListOptions& host_options)
    : lag(host_options.lag) {
  for (const cluster::HostRecord& record : host_options.hosts) {
    this->hosts[record.host] = record.state;
  }
}

void HostListModel::Set(const HostId& host,
                        cluster::HostState state,
                        Instant now) {
  this->changes.push_back({.at = now, .host = host, .state = state});
}

void HostListModel::Remove(const HostId& host, Instant now) {
  this->changes.push_back({.at = now, .host = host, .removed = true});
}

std::vector<cluster::HostRecord> HostListModel::Read(Instant now) {
  this->Apply(now);
  std::vector<cluster::HostRecord> records;
  for (const auto& [host, state] : this->hosts) {
    records.push_back({.host = host, .state = state});
  }
  return records;
}

void HostListModel::Apply(Instant now) {
  while (!this->changes.empty() &&
         this->changes.front().at + this->lag <= now) {
    const Change change = std::move(this->changes.front());
    this->changes.pop_front();
    if (change.removed) {
      this->hosts.erase(change.host);
    } else {
      this->hosts[change.host] = change.state;
    }
  }
}

Result<Duration> WeightStoreModel::Acquire(const EndpointId& endpoint,
                                           Instant now) {
  if (this->held(now) >= this->options.permits &&
      !this->holders.contains(endpoint)) {
    return Error(ResultCode::kOverloaded, "all permits are held");
  }
  this->holders[endpoint] = now + this->options.lease;
  return this->options.lease;
}

void WeightStoreModel::Release(const EndpointId& endpoint) {
  this->holders.erase(endpoint);
}

std::size_t WeightStoreModel::held(Instant now) {
  std::erase_if(this->holders,
                [now](const auto& holder) { return holder.second <= now; });
  return this->holders.size();
}

}  // namespace acacialug::standin
