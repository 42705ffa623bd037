#include "gateway/tests/quota_fleet.h"

#include <algorithm>
#include <utility>

#include "gateway/tests/heartbeat_interval.h"

namespace acacialug::gateway::testing {
namespace {

constexpr Instant kStart{1h};
constexpr Duration kRunTime = 30s;
constexpr Duration kOneWayDelay = 1500us;
constexpr double kMeanTokens = 6000;
constexpr double kMinTokens = 2000;

}  // namespace

QuotaFleet::QuotaFleet(const QuotaCase& quota_case, MakeStrategy maker)
    : options(quota_case),
      make_strategy(std::move(maker)),
      time(kStart),
      random(quota_case.seed),
      all(quota_case.processes),
      balance(kLimit.burst),
      refilled_at(kStart) {
  for (std::size_t number = 0; number < this->all.size(); ++number) {
    this->Begin(number);
    for (const bool near : {true, false}) {
      this->time.At(
          kStart + FromSeconds(Seconds(this->HeartbeatInterval(near)) *
                               this->random.Unit()),
          [this, number, near] { this->SendRound(number, near); });
    }
  }
  // The users' traffic begins well after the processes have received each
  // other's heartbeats.
  this->time.At(kStart + 3s, [this] { this->Arrive(); });
  if (this->options.all_restart) {
    for (std::size_t number = 0; number < this->all.size(); ++number) {
      this->time.At(kStart + 9s, [this, number] { this->End(number); });
      this->time.At(kStart + 10s, [this, number] { this->Begin(number); });
    }
  }
  if (this->options.roll_restart) {
    this->time.At(kStart + 5s, [this] { this->RestartNext(0); });
  }
}

void QuotaFleet::Run() {
  this->time.RunUntil(kStart + kRunTime);
}

void QuotaFleet::Begin(std::size_t number) {
  Process& process = this->all[number];
  process = {.strategy = this->make_strategy(*this, number),
             .incarnation = Incarnation(++this->incarnations)};
}

void QuotaFleet::End(std::size_t number) {
  this->all[number].up = false;
}

void QuotaFleet::RestartNext(std::size_t number) {
  this->End(number);
  this->time.At(this->time.now + 500ms,
                [this, number] { this->Begin(number); });
  this->time.At(this->time.now + 1s, [this, number] {
    this->RestartNext((number + 1) % this->all.size());
  });
}

quota::Quota QuotaFleet::limit() const {
  const bool lowered = this->time.now >= kStart + 10s;
  const double part = lowered ? this->options.lowered_factor : 1;
  return {.per_second = part * kLimit.per_second, .burst = part * kLimit.burst};
}

bool QuotaFleet::Isolated(std::size_t number) const {
  return this->time.now >= kStart + 4s && this->time.now < kStart + 14s &&
         static_cast<double>(number) <
             this->options.isolated_share *
                 static_cast<double>(this->all.size());
}

bool QuotaFleet::Reaches(std::size_t one, std::size_t other) const {
  return this->all[one].up && this->all[other].up &&
         (one == other || (!this->Isolated(one) && !this->Isolated(other)));
}

Duration QuotaFleet::HeartbeatInterval(bool near) const {
  return testing::HeartbeatInterval(this->all.size(), this->options.domains,
                                    near);
}

void QuotaFleet::SendRound(std::size_t number, bool near) {
  if (this->all[number].up) {
    const auto report = std::make_shared<const QuotaReport>(
        this->all[number].strategy.collect(near ? 0 : 1, this->time.now));
    const Incarnation incarnation = this->all[number].incarnation;
    for (std::size_t to = 0; to < this->all.size(); ++to) {
      if (to == number || !this->Reaches(number, to) ||
          near !=
              (to % this->options.domains == number % this->options.domains)) {
        continue;
      }
      this->reported_uses += report->uses.size();
      if (this->random.Unit() < this->options.loss_share) {
        continue;
      }
      this->time.At(this->time.now + kOneWayDelay,
                    [this, number, to, report, incarnation] {
                      if (this->all[to].up) {
                        this->all[to].strategy.receive(number, incarnation,
                                                       *report, this->time.now);
                      }
                    });
    }
  }
  this->time.At(this->time.now + this->HeartbeatInterval(near),
                [this, number, near] { this->SendRound(number, near); });
}

bool QuotaFleet::WithinLimit(double amount) {
  const quota::Quota limit = this->limit();
  this->balance =
      std::min(limit.burst,
               this->balance + limit.per_second *
                                   Seconds(this->time.now - this->refilled_at));
  this->refilled_at = this->time.now;
  if (this->balance < amount) {
    return false;
  }
  this->balance -= amount;
  return true;
}

void QuotaFleet::Arrive() {
  const Duration since = this->time.now - kStart;
  const bool in_burst = since >= 5s && since < 12s;
  const double rate = kLimit.per_second * this->options.demand *
                      (in_burst ? this->options.burst_factor : 1) / kMeanTokens;
  const double amount =
      kMinTokens + 2 * (kMeanTokens - kMinTokens) * this->random.Unit();
  const std::size_t reached = this->options.reached_processes == 0
                                  ? this->all.size()
                                  : this->options.reached_processes;
  const std::size_t number = this->random.Below(reached);
  if (this->all[number].up) {
    const bool within_limit = this->WithinLimit(amount);
    const bool granted =
        this->all[number].strategy.take(amount, this->time.now);
    this->tokens_within_limit += within_limit ? amount : 0;
    this->tokens_refused += within_limit && !granted ? amount : 0;
    if (granted) {
      this->grants.push_back({.at = this->time.now, .amount = amount});
    }
  }
  this->time.At(
      this->time.now + FromSeconds(this->random.Exponential(1 / rate)),
      [this] { this->Arrive(); });
}

double QuotaFleet::fullest_window() const {
  double fullest = 0;
  double within = 0;
  std::size_t oldest = 0;
  for (const Grant& grant : this->grants) {
    within += grant.amount;
    while (this->grants[oldest].at < grant.at - kWindow) {
      within -= this->grants[oldest++].amount;
    }
    // The bound of a lowered limit applies one window after the limit is known.
    const bool lowered = grant.at >= kStart + 10s + kWindow;
    const double part = lowered ? this->options.lowered_factor : 1;
    const double allowed =
        part * (kLimit.per_second * Seconds(kWindow) + kLimit.burst) *
            (1 + kOvershootShare) +
        kSlackTokens;
    fullest = std::max(fullest, within / allowed);
  }
  return fullest;
}

double QuotaFleet::reported_bytes_per_second() const {
  constexpr double kBytesOfUse = 28;
  return static_cast<double>(this->reported_uses) * kBytesOfUse /
         Seconds(kRunTime) / static_cast<double>(this->all.size());
}

}  // namespace acacialug::gateway::testing
