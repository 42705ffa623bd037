#include "standin/service_model.h"

#include <utility>

namespace acacialug::standin {

ServiceModel::ServiceModel(ServiceOptions service_options,
                           RandomSource& random_source)
    : options(std::move(service_options)), random(random_source) {}

CallId ServiceModel::Submit(std::vector<std::string> keys, Instant now) {
  const Instant inner = this->AdvanceClock(now);
  const CallId call = ++this->last_call;
  if (this->faults.refuse) {
    this->outputs.push_back({.call = call, .result = CallResult::kRefused});
    return call;
  }
  this->queue.push_back({.call = call, .keys = std::move(keys)});
  this->BeginWaiting(inner);
  const bool waits = !this->queue.empty() && this->queue.back().call == call;
  if (waits && this->queue.size() > this->options.queue_limit) {
    this->queue.pop_back();
    this->outputs.push_back({.call = call, .result = CallResult::kRefused});
  }
  return call;
}

void ServiceModel::Cancel(CallId call, Instant now) {
  this->AdvanceClock(now);
  std::erase_if(this->queue,
                [call](const Waiting& waits) { return waits.call == call; });
}

Instant ServiceModel::next_event() const {
  return this->clock.Outer(this->ends.empty() ? kNever
                                              : this->ends.begin()->first);
}

void ServiceModel::Advance(Instant now) {
  this->AdvanceClock(now);
}

Instant ServiceModel::AdvanceClock(Instant now) {
  this->clock.ResumeIfDue(now);
  const Instant inner = this->clock.Inner(now);
  this->BeginWaiting(inner);
  while (!this->ends.empty() && this->ends.begin()->first <= inner) {
    const auto [at, ended] = *this->ends.begin();
    this->ends.erase(this->ends.begin());
    this->outputs.push_back(
        {.call = ended.call,
         .result = ended.fails ? CallResult::kFailed : CallResult::kDone});
    this->BeginWaiting(at);
  }
  return inner;
}

std::vector<CallOutput> ServiceModel::TakeOutputs() {
  return std::exchange(this->outputs, {});
}

void ServiceModel::SetFaults(const ServiceFaults& new_faults) {
  this->faults = new_faults;
}

void ServiceModel::Stall(Instant until, Instant now) {
  this->AdvanceClock(now);
  this->clock.Stall(until, now);
}

void ServiceModel::Resume(Instant now) {
  this->clock.Resume(now);
  this->AdvanceClock(now);
}

void ServiceModel::Restart(Instant now) {
  this->AdvanceClock(now);
  this->clock.Resume(now);
  for (const Waiting& lost : std::exchange(this->queue, {})) {
    this->outputs.push_back({.call = lost.call, .result = CallResult::kLost});
  }
  for (const auto& [at, lost] : std::exchange(this->ends, {})) {
    this->outputs.push_back({.call = lost.call, .result = CallResult::kLost});
  }
}

const std::map<std::string, std::uint64_t>& ServiceModel::executions() const {
  return this->begun;
}

std::uint32_t ServiceModel::running() const {
  return static_cast<std::uint32_t>(this->ends.size());
}

std::uint32_t ServiceModel::waiting() const {
  return static_cast<std::uint32_t>(this->queue.size());
}

void ServiceModel::BeginWaiting(Instant inner) {
  while (!this->clock.stalled() && !this->queue.empty() &&
         this->ends.size() < this->options.concurrency) {
    const Waiting begins = std::move(this->queue.front());
    this->queue.pop_front();
    for (const std::string& key : begins.keys) {
      ++this->begun[key];
    }
    this->ends.emplace(
        inner + this->DrawTime(),
        Running{.call = begins.call,
                .fails = this->random.Unit() < this->faults.fail_share});
  }
}

Duration ServiceModel::DrawTime() {
  const double mean = Seconds(this->options.mean_time);
  const double seconds =
      this->options.times == ServiceTimes::kFixed || mean <= 0
          ? mean
          : this->random.Exponential(mean);
  return FromSeconds(seconds * this->faults.slow_factor);
}

}  // namespace acacialug::standin
