#include "gateway/tests/limit_fleet.h"

#include <algorithm>

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
const std::string kLimitedEndpoint = "p0";

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
  for (const std::string endpoint : {"p0", "p1", "p2"}) {
    process.gateway->AddEndpoint(endpoint, "plain", EndpointRole::kPlain);
  }
}

bool LimitFleet::Limited() const {
  return this->now >= kStart + kLimitBegin;
}

void LimitFleet::SendHeartbeats() {
  for (std::size_t from = 0; from < this->all.size(); ++from) {
    for (std::size_t to = 0; to < this->all.size(); ++to) {
      if (from != to) {
        this->all[to].gateway->core->OnPeerHeartbeat("g" + std::to_string(from),
                                                     Incarnation(1), {});
      }
    }
  }
}

void LimitFleet::SendRequests() {
  double expected = this->options.demand * Seconds(kStep);
  while (this->random.Unit() < expected) {
    expected -= 1;
    const auto number = static_cast<std::size_t>(
        this->random.Unit() * static_cast<double>(this->all.size()));
    this->answers.push_back(this->all[number].gateway->SendRequest(
        this->options.path, "r" + std::to_string(++this->requests), "100,50",
        1000));
  }
}

http::Headers LimitFleet::AnswerOf(const Process& process,
                                   const Call& call) const {
  http::Headers headers = {{"Proof", "1"}};
  if (this->Limited() &&
      call.address == process.gateway->addresses.at(kLimitedEndpoint)) {
    headers.push_back({"Limit", std::to_string(this->options.limit)});
  }
  return headers;
}

void LimitFleet::Answer(std::size_t number) {
  Process& process = this->all[number];
  for (const auto& call : process.gateway->Calls()) {
    const bool limited =
        call->address == process.gateway->addresses.at(kLimitedEndpoint);
    const auto [due, arrived] =
        process.answers_due.try_emplace(call->id, this->now + kAnswerDelay);
    if (arrived && limited) {
      this->arrivals.push_back({.at = this->now, .process = number});
    }
    if (due->second <= this->now) {
      if (limited && this->Limited()) {
        process.limit_known_at = std::min(process.limit_known_at, this->now);
      }
      const int status = this->random.Unit() < kFailureShare ? 500 : 200;
      process.gateway->Reply(call, status, this->AnswerOf(process, *call));
    }
  }
}

void LimitFleet::Run(Duration duration) {
  const Instant end = this->now + duration;
  while (this->now < end) {
    this->now += kStep;
    for (const Process& process : this->all) {
      process.gateway->AdvanceBy(kStep);
    }
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
    if (last.at < kStart + kLimitBegin + kJudgedAfter) {
      continue;
    }
    const auto counted = std::count_if(
        this->arrivals.begin(), this->arrivals.end(),
        [this, &last](const Arrival& arrival) {
          const Instant known_at = this->all[arrival.process].limit_known_at;
          return arrival.at > last.at - kLimitWindow && arrival.at <= last.at &&
                 known_at != kNever && arrival.at >= known_at + kKnownAfter;
        });
    fullest = std::max(fullest, static_cast<double>(counted) / allowed);
  }
  return fullest;
}

std::size_t LimitFleet::sent_since(Duration from) const {
  return static_cast<std::size_t>(std::count_if(
      this->arrivals.begin(), this->arrivals.end(),
      [from](const Arrival& arrival) { return arrival.at >= kStart + from; }));
}

std::size_t LimitFleet::refused() const {
  return static_cast<std::size_t>(
      std::count_if(this->answers.begin(), this->answers.end(),
                    [](const auto& answer) { return answer->status == 503; }));
}

}  // namespace acacialug::gateway::testing
