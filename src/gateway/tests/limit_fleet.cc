#include "gateway/tests/limit_fleet.h"

#include <algorithm>

#include "protocol/types/peer_heartbeat.h"

namespace acacialug::gateway::testing {
namespace {

constexpr Instant kStart{1h};
constexpr Duration kStep = 5ms;
constexpr Duration kAnswerDelay = 15ms;
constexpr Duration kHeartbeatInterval = 400ms;
// The users' terms: the limit binds a gateway this long after it passed on an
// answer with it, and is judged from `kJudgedAfter` on.
constexpr Duration kKnownAfter = 500ms;
constexpr Duration kJudgedAfter = 3s;
constexpr double kFailureShare = 0.14;  // of the answers
constexpr Duration kStallBegin = 4900ms;
constexpr Duration kStallEnd = 9s;

}  // namespace

LimitFleet::LimitFleet(const LimitCase& limit_case)
    : options(limit_case),
      now(kStart),
      all(limit_case.processes),
      heartbeat_at(kStart) {
  for (std::size_t number = 0; number < this->all.size(); ++number) {
    this->Start(number);
  }
}

void LimitFleet::Start(std::size_t number) {
  Process& process = this->all[number];
  process = {};
  process.gateway =
      std::make_unique<GatewaySimulation>(1000, "g" + std::to_string(number));
  process.gateway->now = this->now;
  process.gateway->random = RandomSource(number + 1);
  process.gateway->Configure();
  for (const std::string at : {"0", "1", "2"}) {
    process.gateway->AddEndpoint("p" + at, "plain", EndpointRole::kPlain);
    process.gateway->AddEndpoint("f" + at, "model", EndpointRole::kPrefill);
    process.gateway->AddEndpoint("d" + at, "model", EndpointRole::kDecode);
  }
}

bool LimitFleet::Between(Duration from, Duration until) const {
  return this->now >= kStart + from && this->now < kStart + until;
}

bool LimitFleet::Limited() const {
  return this->Between(kLimitBegin, kLimitEnd);
}

void LimitFleet::SendHeartbeats() {
  for (std::size_t from = 0; from < this->all.size(); ++from) {
    for (std::size_t to = 0; to < this->all.size(); ++to) {
      const bool cut =
          this->options.cut && (from == 0 || to == 0) && this->Between(8s, 18s);
      if (from == to || cut || this->Stalled(from) || this->Stalled(to) ||
          this->random.Unit() < this->options.loss_share) {
        continue;
      }
      GatewayCore& receiver = *this->all[to].gateway->core;
      receiver.OnPeerHeartbeat("g" + std::to_string(from), Incarnation(1), {});
      for (const EndpointLimitReport& report :
           this->all[from].gateway->core->CollectLimitReports(
               protocol::kMaxPeerHeartbeatLimits, this->all[from].rounds)) {
        receiver.SetPeerLimit(report);
      }
    }
    ++this->all[from].rounds;
  }
}

bool LimitFleet::Stalled(std::size_t number) const {
  return number == 0 && this->options.stall &&
         this->Between(kStallBegin, kStallEnd);
}

bool LimitFleet::FaultAt(std::size_t number) const {
  return number == 0 &&
         ((this->options.cut && this->Between(8s, 18s + kJudgedAfter)) ||
          (this->options.stall &&
           this->Between(kStallBegin, kStallEnd + kJudgedAfter)) ||
          (this->options.restart && this->Between(12s, 12s + kJudgedAfter)));
}

void LimitFleet::SendRequests() {
  double expected = this->options.demand * Seconds(kStep);
  while (this->random.Unit() < expected) {
    expected -= 1;
    const auto number = static_cast<std::size_t>(
        this->random.Unit() * static_cast<double>(this->all.size()));
    if (this->Stalled(number) ||
        (number == 0 && this->options.late_learner && this->Between(7s, 17s))) {
      continue;
    }
    this->answers.push_back(this->all[number].gateway->SendRequest(
        this->options.path, "r" + std::to_string(++this->requests), "100,50",
        1000));
  }
}

bool LimitFleet::NamesLimit(const Process& process, const Call& call) const {
  return this->Limited() &&
         (this->options.all_limited ||
          call.address == process.gateway->addresses.at(this->options.limited));
}

http::Headers LimitFleet::WriteAnswer(const Process& process,
                                      const Call& call) const {
  http::Headers headers = {{"Proof", "1"}};
  if (this->NamesLimit(process, call)) {
    headers.push_back({"Limit", std::to_string(this->options.limit)});
  }
  return headers;
}

void LimitFleet::Answer(std::size_t number) {
  Process& process = this->all[number];
  for (const auto& call : process.gateway->Calls()) {
    const bool limited =
        call->address == process.gateway->addresses.at(this->options.limited);
    const auto [answer, arrived] = process.answers.try_emplace(
        call->id, PendingAnswer{this->now + kAnswerDelay, {}});
    if (arrived && limited) {
      this->arrivals.push_back({.at = this->now,
                                .process = number,
                                .excused = this->FaultAt(number)});
    }
    PendingAnswer& pending = answer->second;
    if (pending.due > this->now) {
      continue;
    }
    if (!pending.written) {
      pending.written = this->WriteAnswer(process, *call);
    }
    if (this->Stalled(number)) {
      continue;
    }
    if (limited && http::FindHeader(*pending.written, "Limit")) {
      process.limit_known_at = std::min(process.limit_known_at, this->now);
    }
    const bool whole = HeaderOf(call, "Step") == "whole";
    const bool failed = whole && this->random.Unit() < kFailureShare;
    process.gateway->Reply(call, failed ? 500 : 200, *pending.written,
                           HeaderOf(call, "Step") == "decode" ? "" : "name");
  }
}

void LimitFleet::AdvanceProcesses() {
  for (std::size_t number = 0; number < this->all.size(); ++number) {
    GatewaySimulation& gateway = *this->all[number].gateway;
    if (this->Stalled(number)) {
      continue;
    }
    if (gateway.now + kStep < this->now) {
      gateway.Stall(this->now - gateway.now);
      this->SendHeartbeats();
    } else {
      gateway.AdvanceBy(kStep);
    }
  }
}

void LimitFleet::Run(Duration duration) {
  const Instant end = this->now + duration;
  while (this->now < end) {
    this->now += kStep;
    if (this->options.restart && this->Between(12s, 12s + kStep)) {
      this->Start(0);
    }
    this->AdvanceProcesses();
    if (this->now >= this->heartbeat_at) {
      this->heartbeat_at = this->now + kHeartbeatInterval;
      this->SendHeartbeats();
    }
    this->SendRequests();
    for (std::size_t number = 0; number < this->all.size(); ++number) {
      this->Answer(number);
    }
  }
}

double LimitFleet::fullest_window() const {
  const double allowed =
      kLimitFactor * this->options.limit * Seconds(kLimitWindow) + kLimitSpare;
  double fullest = 0;
  for (const Arrival& last : this->arrivals) {
    if (last.at < kStart + kLimitBegin + kJudgedAfter ||
        last.at >= kStart + kLimitEnd) {
      continue;
    }
    const auto counted = std::count_if(
        this->arrivals.begin(), this->arrivals.end(),
        [this, &last](const Arrival& arrival) {
          const Instant known_at = this->all[arrival.process].limit_known_at;
          return !arrival.excused && arrival.at > last.at - kLimitWindow &&
                 arrival.at <= last.at && known_at != kNever &&
                 arrival.at >= known_at + kKnownAfter;
        });
    fullest = std::max(fullest, static_cast<double>(counted) / allowed);
  }
  return fullest;
}

std::size_t LimitFleet::SentBetween(Duration from, Duration until) const {
  return static_cast<std::size_t>(std::count_if(
      this->arrivals.begin(), this->arrivals.end(),
      [from, until](const Arrival& arrival) {
        return arrival.at >= kStart + from && arrival.at < kStart + until;
      }));
}

std::size_t LimitFleet::refused() const {
  return static_cast<std::size_t>(
      std::count_if(this->answers.begin(), this->answers.end(),
                    [](const auto& answer) { return answer->status == 503; }));
}

}  // namespace acacialug::gateway::testing
