#include "gateway/tests/part_fleet.h"

#include <algorithm>
#include <set>
#include <utility>

#include "gateway/tests/heartbeat_interval.h"

namespace acacialug::gateway::testing {
namespace {

constexpr Instant kStart{1h};
constexpr Duration kStep = 1ms;
constexpr Duration kOneWayDelay = 1500us;
constexpr Duration kPrefillTime = 60ms;
constexpr Duration kFirstEventTime = 30ms;
constexpr Duration kStreamTime = 400ms;
constexpr Duration kEndTime = 80ms;  // of an endpoint, after the run began
constexpr Duration kReplacementTime = 3s;
constexpr Duration kLapseTime = 1s;  // until an ended endpoint is not listed
constexpr Duration kKeepAlive = 400ms;
constexpr Duration kRestartTime = 500ms;
constexpr std::size_t kDomains = 4;
constexpr std::size_t kMaxReports = 4;
constexpr std::size_t kCallers = 3;
constexpr std::size_t kSharedParts = 8;
// The users' terms: the bound, and the ends that it is counted from.
constexpr Duration kReportBound = 3s;
constexpr std::size_t kEnds = 5;
const std::string kSize = "600,60";

std::string CallerPart(std::size_t caller) {
  return "caller" + std::to_string(caller);
}

}  // namespace

PartFleet::PartFleet(const PartCase& part_case)
    : options(part_case), random(part_case.seed), all(part_case.processes) {
  for (std::size_t number = 0; number < this->all.size() + 7; ++number) {
    this->AddEndpoint(EndpointRole::kPrefill);
    this->AddEndpoint(EndpointRole::kDecode);
  }
  for (std::size_t number = 0; number < this->all.size(); ++number) {
    this->Start(number);
    this->time.At(
        kStart + FromSeconds(Seconds(kKeepAlive) * this->random.Unit()),
        [this, number] { this->SendHeartbeats(number); });
  }
  this->time.At(kStart, [this] { this->SendSound(); });
  this->time.At(kStart, [this] { this->SendDeadly(); });
  for (const Wave& wave : this->options.waves) {
    this->time.At(kStart + wave.at, [this, wave] { this->StrikeWave(wave); });
  }
  if (this->options.kill_all_at) {
    this->time.At(kStart + *this->options.kill_all_at,
                  [this] { this->KillAll(); });
  }
}

void PartFleet::Start(std::size_t number) {
  auto gateway =
      std::make_shared<GatewaySimulation>(1000, "g" + std::to_string(number));
  gateway->now = this->time.now;
  gateway->random = RandomSource(this->options.seed * 1000 + number);
  gateway->Configure();
  gateway->core->SetPeers(this->all.size() - 1, number == 0);
  for (const auto& [id, role] : this->endpoints) {
    gateway->AddEndpoint(id, "model", role);
  }
  gateway->on_call = [this, number](const std::shared_ptr<Call>& call) {
    this->OnCall(number, call);
  };
  gateway->on_quarantine = [this](const retry::CrashRecord& record) {
    this->stored[record.request] = {record, this->time.now - record.age};
  };
  for (const auto& [key, kept] : this->stored) {
    retry::CrashRecord record = kept.first;
    record.age = this->time.now - kept.second;
    if (!record.ends.empty()) {
      gateway->core->SetPeerCrash(record);
    }
  }
  this->all[number] = {.gateway = std::move(gateway),
                       .started_at = this->time.now};
  for (const Process& other : this->all) {
    if (other.gateway && other.gateway != this->all[number].gateway) {
      other.gateway->core->ResendCrashReports();
    }
  }
}

void PartFleet::AddEndpoint(EndpointRole role) {
  const std::string id = "e" + std::to_string(this->endpoint_number++);
  this->endpoints[id] = role;
  for (const Process& process : this->all) {
    if (process.gateway) {
      process.gateway->AddEndpoint(id, "model", role);
    }
  }
}

void PartFleet::KillAll() {
  for (std::size_t number = 0; number < this->all.size(); ++number) {
    this->all[number].gateway = nullptr;
    this->time.At(this->time.now + kRestartTime,
                  [this, number] { this->Start(number); });
  }
}

void PartFleet::SendHeartbeats(std::size_t number) {
  const auto& gateway = this->all[number].gateway;
  if (gateway && number >= this->options.cut_off) {
    const auto reports =
        gateway->core->CollectCrashReports(kMaxReports, this->random.Below(64));
    for (std::size_t to = 0; to < this->all.size(); ++to) {
      if (to == number || to < this->options.cut_off ||
          this->random.Unit() < this->options.loss_share) {
        continue;
      }
      this->time.At(this->time.now + kOneWayDelay, [this, to, reports] {
        if (this->all[to].gateway) {
          for (const retry::CrashRecord& report : reports) {
            this->all[to].gateway->core->SetPeerCrash(report);
          }
        }
      });
    }
  }
  const Duration interval =
      HeartbeatInterval(this->all.size(), kDomains, false);
  this->time.At(this->time.now + std::max(kKeepAlive, interval),
                [this, number] { this->SendHeartbeats(number); });
}

void PartFleet::Send(std::size_t number, Request request) {
  const auto& gateway = this->all[number].gateway;
  if (!gateway) {
    return;
  }
  const std::string id = "r" + std::to_string(this->requests.size());
  request.at = this->time.now;
  // Known before its calls are.
  Request& known = this->requests[id] = std::move(request);
  known.answer = gateway->SendPrompt("/stream/" + id, id, known.parts, kSize);
}

void PartFleet::SendSound() {
  const std::size_t caller = this->random.Below(kCallers);
  this->Send(
      this->random.Below(this->all.size()),
      {.parts = {CallerPart(caller),
                 "q" + std::to_string(this->random.Below(kSharedParts))}});
  const double rate =
      this->options.sound_per_second * static_cast<double>(this->all.size());
  this->time.At(
      this->time.now + FromSeconds(this->random.Exponential(1 / rate)),
      [this] { this->SendSound(); });
}

void PartFleet::SendDeadly() {
  if (this->options.deadly_per_second <= 0) {
    return;
  }
  const std::size_t count =
      this->options.in_bursts ? this->all.size() : std::size_t{1};
  const std::size_t first = this->random.Below(this->all.size());
  for (std::size_t number = 0; number < count; ++number) {
    const std::string& part = this->options.deadly_parts[this->random.Below(
        this->options.deadly_parts.size())];
    Request request{
        .parts = {CallerPart(0),
                  "q" + std::to_string(this->random.Below(kSharedParts))},
        .deadly = this->time.now >= kStart + this->options.deadly_from,
        .deadly_part = part};
    request.parts.insert(request.parts.begin() + static_cast<std::ptrdiff_t>(
                                                     this->options.position),
                         part);
    this->Send((first + number) % this->all.size(), std::move(request));
  }
  const double rate =
      this->options.deadly_per_second / static_cast<double>(count);
  this->time.At(
      this->time.now + FromSeconds(this->random.Exponential(1 / rate)),
      [this] { this->SendDeadly(); });
}

std::string PartFleet::EndpointOf(std::size_t number,
                                  const std::shared_ptr<Call>& call) const {
  for (const auto& [id, address] : this->all[number].gateway->addresses) {
    if (address == call->address) {
      return id;
    }
  }
  return {};
}

const PartFleet::Request& PartFleet::RequestOf(
    const std::shared_ptr<Call>& call) const {
  return this->requests.at(HeaderOf(call, "Id"));
}

void PartFleet::OnCall(std::size_t number, const std::shared_ptr<Call>& call) {
  const std::string endpoint = this->EndpointOf(number, call);
  this->time.At(this->time.now + kOneWayDelay, [this, number, call, endpoint] {
    this->Answer(number, endpoint, call);
  });
}

void PartFleet::Answer(std::size_t number,
                       const std::string& endpoint,
                       const std::shared_ptr<Call>& call) {
  const std::shared_ptr<GatewaySimulation> gateway = this->all[number].gateway;
  if (!gateway || call->cancelled) {
    return;
  }
  if (!this->endpoints.contains(endpoint)) {
    gateway->Break(call, false);
    return;
  }
  const OpenCall open{gateway, call};
  if (call->request.target.starts_with("/reserve/")) {
    gateway->Reply(call, 200, {}, "v");
    return;
  }
  const Request& request = this->RequestOf(call);
  const bool in_touch =
      number >= this->options.cut_off &&
      this->time.now - this->all[number].started_at >= kReportBound;
  if (request.deadly && in_touch) {
    this->sends_at[request.deadly_part].insert_or_assign(HeaderOf(call, "Id"),
                                                         this->time.now);
  }
  this->open_calls[endpoint].push_back(open);
  if (HeaderOf(call, "Step") == "prefill") {
    this->time.At(this->time.now + kPrefillTime, [open] {
      const auto at = open.at.lock();
      if (at && !open.call->cancelled && open.call->hooks.on_end) {
        at->Reply(open.call, 200, {}, "x");
      }
    });
  } else if (request.deadly) {
    this->ends_at[request.deadly_part];
    this->time.At(this->time.now + kEndTime, [this, endpoint, call] {
      if (this->endpoints.contains(endpoint)) {
        this->ends_at[this->RequestOf(call).deadly_part].push_back(
            this->time.now);
        this->End(endpoint);
      }
    });
  } else {
    this->Decode(endpoint, open);
  }
}

void PartFleet::Decode(const std::string& endpoint, const OpenCall& open) {
  const auto alive = [this, endpoint, open]() -> GatewaySimulation* {
    const auto at = open.at.lock();
    return at && !open.call->cancelled && this->endpoints.contains(endpoint)
               ? at.get()
               : nullptr;
  };
  this->time.At(this->time.now + kFirstEventTime, [alive, open] {
    if (GatewaySimulation* const at = alive()) {
      at->Begin(open.call);
      at->Event(open.call, 1);
    }
  });
  this->time.At(this->time.now + kStreamTime, [alive, open] {
    if (GatewaySimulation* const at = alive()) {
      at->Event(open.call, 2);
      at->End(open.call);
      open.call->cancelled = true;
    }
  });
}

void PartFleet::End(const std::string& endpoint) {
  const EndpointRole role = this->endpoints.at(endpoint);
  this->endpoints.erase(endpoint);
  ++this->crashes;
  for (const OpenCall& open : this->open_calls[endpoint]) {
    const auto at = open.at.lock();
    const auto calls = at ? at->Calls() : std::vector<std::shared_ptr<Call>>();
    if (std::find(calls.begin(), calls.end(), open.call) != calls.end()) {
      at->Break(open.call);
      open.call->cancelled = true;
    }
  }
  this->open_calls.erase(endpoint);
  this->time.At(this->time.now + kLapseTime, [this, endpoint] {
    for (const Process& process : this->all) {
      if (process.gateway) {
        process.gateway->RemoveEndpoint(endpoint);
      }
    }
  });
  this->time.At(this->time.now + kReplacementTime,
                [this, role] { this->AddEndpoint(role); });
}

void PartFleet::StrikeWave(const Wave& wave) {
  std::vector<std::string> struck;
  for (const auto& [id, role] : this->endpoints) {
    if (role == EndpointRole::kDecode && this->random.Unit() < wave.share) {
      struck.push_back(id);
    }
  }
  for (const std::string& id : struck) {
    this->End(id);
  }
}

void PartFleet::Run() {
  this->time.RunInSteps(kStart + this->options.duration, kStep, [this] {
    for (const Process& process : this->all) {
      if (process.gateway) {
        process.gateway->AdvanceBy(this->time.now - process.gateway->now);
      }
    }
  });
}

std::size_t PartFleet::late_sends() const {
  std::size_t most = 0;
  for (const auto& [part, ends] : this->ends_at) {
    if (ends.size() < kEnds || !this->sends_at.contains(part)) {
      continue;
    }
    const Instant from = ends[kEnds - 1] + kReportBound;
    const std::map<std::string, Instant>& sends = this->sends_at.at(part);
    most = std::max(
        most, static_cast<std::size_t>(std::count_if(
                  sends.begin(), sends.end(),
                  [from](const auto& sent) { return sent.second > from; })));
  }
  return most;
}

std::size_t PartFleet::wrongly_refused() const {
  return static_cast<std::size_t>(std::count_if(
      this->requests.begin(), this->requests.end(), [](const auto& row) {
        return !row.second.deadly &&
               row.second.answer->body.find("quarantined") != std::string::npos;
      }));
}

double PartFleet::BegunShare(Instant from, Instant to) const {
  double asked = 0;
  double begun = 0;
  for (const auto& [id, request] : this->requests) {
    if (!request.deadly && request.deadly_part.empty() && request.at >= from &&
        request.at < to && request.parts.front() == CallerPart(0)) {
      ++asked;
      begun += request.answer->status == 200 ? 1 : 0;
    }
  }
  return asked > 0 ? begun / asked : 1;
}

double PartFleet::begun_before() const {
  return this->BegunShare(kStart, kStart + this->options.deadly_from);
}

double PartFleet::begun_after() const {
  Instant from = kStart + this->options.deadly_from;
  for (const auto& [part, ends] : this->ends_at) {
    if (!ends.empty()) {
      from = std::max(from, ends[std::min(ends.size(), kEnds) - 1]);
    }
  }
  return this->BegunShare(from + 2 * kReportBound,
                          kStart + this->options.duration - 1s);
}

}  // namespace acacialug::gateway::testing
