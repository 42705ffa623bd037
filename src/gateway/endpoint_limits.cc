#include "gateway/endpoint_limits.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "placement/types/hashing.h"

namespace acacialug::gateway {
namespace {

// Bounds a debt, which messages that cannot wait run up, to what the share
// yields in this time.
constexpr double kMaxDebtSeconds = 4;

}  // namespace

EndpointLimits::EndpointLimits(const std::string& process_id)
    : own_key(placement::HashText(process_id)) {}

void EndpointLimits::AddMember(const std::string& peer, Instant until) {
  Member& member =
      this->members.try_emplace(peer, Member{placement::HashText(peer)})
          .first->second;
  member.until = std::max(member.until, until);
}

void EndpointLimits::OnPeerHeartbeat(const std::string& peer, Instant now) {
  this->AddMember(peer, now + kPeerRetention);
}

void EndpointLimits::OnPeerListed(const std::string& peer, Instant now) {
  // A peer that is listed and silent was heard before, or ended.
  if (!this->members.contains(peer)) {
    this->AddMember(peer, now + kListedRetention);
  }
}

// Keeps the tokens of a limit that ended: one that ends and begins again in
// quick succession must not yield a burst each time.
bool EndpointLimits::Update(std::uint64_t endpoint_key,
                            std::optional<double> max_rate,
                            Instant shown_at,
                            Instant now) {
  const std::optional<double> before = this->MaxRate(endpoint_key);
  const bool may_add = max_rate && this->entries.size() < kMaxEndpoints;
  if (!may_add && !this->entries.contains(endpoint_key)) {
    return false;
  }
  Entry& entry = this->entries[endpoint_key];
  entry.max_rate = max_rate;
  entry.shown_at = shown_at;
  if (before && !max_rate) {
    entry.ended_at = now;
  }
  return before != max_rate;
}

bool EndpointLimits::NoteLimit(std::uint64_t endpoint_key,
                               double max_rate,
                               Instant now) {
  return this->Update(endpoint_key, max_rate, now, now);
}

bool EndpointLimits::NoteNoLimit(std::uint64_t endpoint_key,
                                 Instant sent_at,
                                 Instant now) {
  const auto known = this->entries.find(endpoint_key);
  if (known == this->entries.end() || sent_at < known->second.shown_at) {
    return false;
  }
  return this->Update(endpoint_key, std::nullopt, sent_at, now);
}

bool EndpointLimits::Merge(const EndpointLimitReport& report, Instant now) {
  const bool valid =
      report.age >= Duration::zero() && report.age < kRetention &&
      (!report.max_rate ||
       (std::isfinite(*report.max_rate) && *report.max_rate >= 0));
  const auto known = this->entries.find(report.endpoint_key);
  const Instant shown_at = now - report.age;
  if (!valid ||
      (known != this->entries.end() && known->second.shown_at >= shown_at)) {
    return false;
  }
  return this->Update(report.endpoint_key, report.max_rate, shown_at, now);
}

void EndpointLimits::Forget(std::uint64_t endpoint_key, Instant now) {
  this->Update(endpoint_key, std::nullopt, now, now);
}

EndpointLimits::Share EndpointLimits::ShareOf(std::uint64_t endpoint_key,
                                              double max_rate,
                                              std::uint32_t messages) const {
  const double rate = std::max(max_rate, kMinRate);
  const double burst = kBurst + rate * Seconds(kBurstTime);
  const double processes = static_cast<double>(this->members.size()) + 1;
  const double holders =
      std::clamp(std::floor(burst / messages), 1.0, processes);
  const std::uint64_t own_weight =
      placement::RendezvousWeight(endpoint_key, this->own_key);
  const auto better = static_cast<double>(std::count_if(
      this->members.begin(), this->members.end(),
      [endpoint_key, own_weight](const auto& member) {
        return placement::RendezvousWeight(endpoint_key, member.second.key) >
               own_weight;
      }));
  if (better >= holders) {
    return {};
  }
  return {.rate = rate / holders,
          .capacity = std::max(burst / holders, static_cast<double>(messages))};
}

bool EndpointLimits::Allows(std::uint64_t endpoint_key,
                            std::uint32_t messages,
                            Instant now) {
  const auto found = this->entries.find(endpoint_key);
  if (found == this->entries.end() || !found->second.max_rate) {
    return true;
  }
  Entry& entry = found->second;
  const Share share = this->ShareOf(endpoint_key, *entry.max_rate, messages);
  const double gained = share.rate * Seconds(now - entry.refilled_at);
  const double most_debt = -share.capacity - share.rate * kMaxDebtSeconds;
  entry.tokens = std::clamp(entry.tokens + gained, most_debt, share.capacity);
  entry.refilled_at = now;
  return entry.tokens >= messages;
}

void EndpointLimits::NoteSent(std::uint64_t endpoint_key) {
  const auto found = this->entries.find(endpoint_key);
  if (found != this->entries.end() && found->second.max_rate) {
    found->second.tokens -= 1;
  }
}

std::optional<double> EndpointLimits::MaxRate(
    std::uint64_t endpoint_key) const {
  const auto found = this->entries.find(endpoint_key);
  return found == this->entries.end() ? std::nullopt : found->second.max_rate;
}

std::vector<EndpointLimitReport> EndpointLimits::CollectReports(
    std::size_t max_count,
    std::size_t round,
    Instant now) const {
  std::vector<EndpointLimitReport> reports;
  const std::size_t count = std::min(max_count, this->entries.size());
  auto next = this->entries.begin();
  if (count < this->entries.size()) {
    std::advance(next, round * max_count % this->entries.size());
  }
  for (; reports.size() < count; ++next) {
    if (next == this->entries.end()) {
      next = this->entries.begin();
    }
    reports.push_back({.endpoint_key = next->first,
                       .max_rate = next->second.max_rate,
                       .age = now - next->second.shown_at});
  }
  return reports;
}

void EndpointLimits::Sweep(Instant now) {
  std::erase_if(this->members, [now](const auto& member) {
    return member.second.until <= now;
  });
  std::erase_if(this->entries, [now](const auto& entry) {
    return entry.second.max_rate ? now - entry.second.shown_at >= kRetention
                                 : now - entry.second.ended_at >= kEndRetention;
  });
}

std::size_t EndpointLimits::size() const {
  return static_cast<std::size_t>(
      std::count_if(this->entries.begin(), this->entries.end(),
                    [](const auto& entry) { return entry.second.max_rate; }));
}

}  // namespace acacialug::gateway
