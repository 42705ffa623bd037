#include "gateway/tests/repeat_fleet.h"

#include <algorithm>
#include <utility>

namespace acacialug::gateway::testing {
namespace {

constexpr Instant kStart{1h};
constexpr Duration kStep = 1ms;
constexpr Duration kOneWayDelay = 1500us;
constexpr Duration kPrefillTime = 60ms;
constexpr Duration kFirstEventTime = 30ms;
constexpr Duration kStreamTime = 300ms;
constexpr Duration kHeartbeatInterval = 400ms;
constexpr Duration kRestartTime = 500ms;
// Before the first request, as on the users' platform.
constexpr Duration kWarmUp = 10s;
constexpr double kBusyShare = 0.75;
const std::string kSize = "600,60";

}  // namespace

RepeatFleet::RepeatFleet(const RepeatCase& repeat_case)
    : options(repeat_case),
      random(repeat_case.seed),
      all(repeat_case.processes) {
  this->time.now = kStart - kWarmUp;
  for (std::size_t number = 0; number < this->all.size(); ++number) {
    this->Start(number);
  }
  this->time.At(this->time.now + kHeartbeatInterval,
                [this] { this->Heartbeat(); });
  this->time.At(kStart, [this] { this->Arrive(); });
  for (const Duration kill : this->options.kills) {
    this->time.At(kStart + kill, [this] { this->KillSome(); });
  }
}

void RepeatFleet::Start(std::size_t number) {
  auto gateway = std::make_shared<GatewaySimulation>(
      kRepeatExtra, "g" + std::to_string(number), this->time.now);
  gateway->random = RandomSource(this->options.seed * 1000 + number);
  gateway->Configure();
  for (std::size_t endpoint = 0; endpoint < this->all.size() + 4; ++endpoint) {
    const std::string name = std::to_string(endpoint);
    gateway->AddEndpoint("f" + name, "model", EndpointRole::kPrefill);
    gateway->AddEndpoint("d" + name, "model", EndpointRole::kDecode);
  }
  gateway->on_call = [this, number](const std::shared_ptr<Call>& call) {
    this->OnCall(number, call);
  };
  this->all[number] = std::move(gateway);
}

void RepeatFleet::KillSome() {
  for (std::size_t number = 0; number < this->all.size(); ++number) {
    if (this->random.Unit() < this->options.kill_share) {
      this->all[number] = nullptr;
      this->time.At(this->time.now + kRestartTime,
                    [this, number] { this->Start(number); });
    }
  }
}

void RepeatFleet::Heartbeat() {
  for (std::size_t number = 0; number < this->all.size(); ++number) {
    if (this->all[number] && !this->options.isolated) {
      this->all[number]->core->SetPeers(this->all.size() - 1, number == 0);
    }
  }
  this->time.At(this->time.now + kHeartbeatInterval,
                [this] { this->Heartbeat(); });
}

bool RepeatFleet::Within(const Span& span) const {
  return this->time.now >= kStart + span.from &&
         this->time.now < kStart + span.to;
}

void RepeatFleet::Arrive() {
  const auto& gateway = this->all[this->random.Below(this->all.size())];
  const std::string id = "r" + std::to_string(this->sent_at.size());
  this->sent_at.push_back(this->time.now);
  if (gateway) {
    this->answers.push_back(gateway->SendRequest("/resumable/a", id, kSize));
  } else {
    this->answers.push_back(std::make_shared<testing::Answer>());
  }
  const double factor =
      this->Within(this->options.trouble) ? this->options.burst_factor : 1;
  const double rate = this->options.requests_per_second * factor *
                      static_cast<double>(this->all.size());
  this->time.At(
      this->time.now + FromSeconds(this->random.Exponential(1 / rate)),
      [this] { this->Arrive(); });
}

void RepeatFleet::OnCall(std::size_t number,
                         const std::shared_ptr<Call>& call) {
  const std::weak_ptr<GatewaySimulation> at = this->all[number];
  const bool trouble = this->Within(this->options.trouble);
  if (call->request.target.starts_with("/reserve/")) {
    const bool refused =
        this->Within(this->options.busy) && this->random.Unit() < kBusyShare;
    this->time.At(this->time.now + 2 * kOneWayDelay, [call, at, refused] {
      const auto gateway = at.lock();
      if (gateway && !call->cancelled) {
        gateway->Reply(call, refused ? 503 : 200, {}, refused ? "" : "v");
      }
    });
    return;
  }
  if (call->request.target == "/report") {
    this->time.At(this->time.now + 2 * kOneWayDelay, [call, at] {
      const auto gateway = at.lock();
      if (gateway && !call->cancelled) {
        gateway->Reply(call, 200, {}, "no runs");
      }
    });
    return;
  }
  const bool rejected =
      trouble && this->random.Unit() < this->options.reject_share;
  this->time.At(this->time.now + kOneWayDelay, [this, at, call, rejected] {
    this->Count(call, rejected);
    this->Answer(at, call, rejected);
  });
}

void RepeatFleet::Count(const std::shared_ptr<Call>& call, bool rejected) {
  Request& request = this->requests[HeaderOf(call, "Id")];
  const bool prefill = HeaderOf(call, "Step") == "prefill";
  if (prefill && !rejected && !std::exchange(request.prefill_accepted, true)) {
    return;
  }
  if (++request.arrivals > 1) {
    this->repeats_at.push_back(this->time.now);
    ++this->repeat_messages[HeaderOf(call, "Step") +
                            (rejected ? " rejected" : "")];
  }
}

void RepeatFleet::Answer(const std::weak_ptr<GatewaySimulation>& at,
                         const std::shared_ptr<Call>& call,
                         bool rejected) {
  const bool prefill = HeaderOf(call, "Step") == "prefill";
  const bool lost = !prefill && this->Within(this->options.trouble) &&
                    this->random.Unit() < this->options.lose_share;
  const Duration after = rejected  ? kOneWayDelay
                         : prefill ? kPrefillTime
                                   : kFirstEventTime;
  this->time.At(this->time.now + after,
                [this, at, call, rejected, prefill, lost] {
                  const auto gateway = at.lock();
                  if (!gateway || call->cancelled) {
                    return;
                  }
                  if (rejected) {
                    gateway->ReplyRefused(call);
                  } else if (prefill) {
                    gateway->Reply(call, 200, {}, "x");
                  } else if (lost) {
                    gateway->Break(call);
                  } else {
                    this->Decode(at, call);
                  }
                });
}

void RepeatFleet::Decode(const std::weak_ptr<GatewaySimulation>& at,
                         const std::shared_ptr<Call>& call) {
  at.lock()->Begin(call);
  at.lock()->Event(call, 1);
  this->time.At(this->time.now + kStreamTime, [at, call] {
    const auto gateway = at.lock();
    if (gateway && !call->cancelled) {
      gateway->End(call);
    }
  });
}

void RepeatFleet::Run() {
  this->time.RunInSteps(kStart + this->options.duration, kStep, [this] {
    for (const auto& gateway : this->all) {
      if (gateway) {
        gateway->AdvanceBy(this->time.now - gateway->now);
      }
    }
  });
}

std::size_t RepeatFleet::RequestsIn(Instant from) const {
  return static_cast<std::size_t>(std::count_if(
      this->sent_at.begin(), this->sent_at.end(),
      [from](Instant at) { return at >= from && at < from + kRepeatWindow; }));
}

double RepeatFleet::fullest_window() const {
  double fullest = 0;
  for (auto first = this->repeats_at.begin(); first != this->repeats_at.end();
       ++first) {
    const auto past =
        std::lower_bound(first, this->repeats_at.end(), *first + kRepeatWindow);
    const std::size_t counted = std::max(
        {this->RequestsIn(*first), this->RequestsIn(*first - kRepeatWindow / 2),
         this->RequestsIn(*first - kRepeatWindow)});
    fullest = std::max(
        fullest,
        static_cast<double>(past - first) /
            (kRepeatShare * static_cast<double>(counted) + kRepeatExtra));
  }
  return fullest;
}

double RepeatFleet::served_share() const {
  const auto served =
      std::count_if(this->answers.begin(), this->answers.end(),
                    [](const auto& answer) { return answer->status == 200; });
  return static_cast<double>(served) /
         static_cast<double>(this->answers.size());
}

}  // namespace acacialug::gateway::testing
