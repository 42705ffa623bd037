#include "trace/request_traces.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace acacialug::trace {
namespace {

// Steps of a generation that meets no refusal; more are made room for once.
constexpr std::size_t kUsualSteps = 12;
// A list's and a hash table's node beside what they hold, by the allocator's
// own measure (trace_bench prints what is really taken).
constexpr std::size_t kNodeBytes = 112;

std::size_t HeapBytes(const std::string& text) {
  static const std::size_t in_place = std::string().capacity();
  return text.capacity() > in_place ? text.capacity() + 1 : 0;
}

Trace Shown(const Trace& trace, Duration age) {
  Trace shown = trace;
  shown.age = age;
  return shown;
}

}  // namespace

void RequestTraces::Begin(TraceSubject subject, Instant now) {
  const std::size_t bytes =
      sizeof(Record) + kNodeBytes + HeapBytes(subject.service) +
      HeapBytes(subject.latency_class) + kUsualSteps * sizeof(Step);
  if (this->index.contains(subject.request)) {
    return;
  }
  if (!this->MakeRoom(bytes)) {
    ++this->counted.not_traced;
    return;
  }
  const RequestId request = subject.request;
  this->alive.push_back(
      {.trace = {.subject = std::move(subject)}, .arrived = now});
  Record& record = this->alive.back();
  record.trace.steps.reserve(kUsualSteps);
  record.trace.steps.push_back({.kind = StepKind::kArrived});
  this->Charge(record, bytes);
  this->index.emplace(request, std::prev(this->alive.end()));
}

void RequestTraces::Add(const RequestId& request, Step step, Instant now) {
  const auto found = this->index.find(request);
  if (found == this->index.end() ||
      found->second->trace.outcome != TraceOutcome::kAlive) {
    return;
  }
  Record& record = *found->second;
  std::vector<Step>& steps = record.trace.steps;
  if (step.kind == StepKind::kQueued &&
      steps.back().kind == StepKind::kQueued) {
    return;
  }
  const bool grows = steps.size() == steps.capacity();
  const std::size_t bytes = HeapBytes(step.endpoint.text) +
                            (grows ? steps.capacity() * sizeof(Step) : 0);
  if (steps.size() >= this->options.max_steps || !this->MakeRoom(bytes)) {
    ++record.trace.steps_left_out;
    ++this->counted.steps_left_out;
    return;
  }
  if (grows) {
    steps.reserve(2 * steps.capacity());
  }
  step.at = now - record.arrived;
  steps.push_back(std::move(step));
  this->Charge(record, bytes);
}

void RequestTraces::End(const RequestId& request,
                        TraceOutcome outcome,
                        ResultCode code,
                        Instant now) {
  const auto found = this->index.find(request);
  if (found == this->index.end() ||
      found->second->trace.outcome != TraceOutcome::kAlive) {
    return;
  }
  Record& record = *found->second;
  record.trace.outcome = outcome;
  record.trace.code = code;
  record.trace.took = now - record.arrived;
  this->ended.splice(this->ended.end(), this->alive, found->second);
}

std::optional<Trace> RequestTraces::Find(const RequestId& request,
                                         Instant now) const {
  const auto found = this->index.find(request);
  if (found == this->index.end()) {
    return std::nullopt;
  }
  return Shown(found->second->trace, now - found->second->arrived);
}

std::vector<Trace> RequestTraces::Alive(std::size_t limit, Instant now) const {
  std::vector<Trace> shown;
  shown.reserve(std::min(limit, this->alive.size()));
  for (const Record& record : this->alive) {
    if (shown.size() == limit) {
      break;
    }
    shown.push_back({.subject = record.trace.subject,
                     .age = now - record.arrived,
                     .steps_left_out = record.trace.steps_left_out,
                     .steps = {record.trace.steps.back()}});
  }
  return shown;
}

TraceCounts RequestTraces::counts() const {
  TraceCounts counts = this->counted;
  counts.kept = this->index.size();
  counts.alive = this->alive.size();
  return counts;
}

bool RequestTraces::MakeRoom(std::size_t bytes) {
  while (this->counted.bytes + bytes > this->options.max_bytes) {
    if (this->ended.empty()) {
      return false;
    }
    this->DropOldest();
  }
  return true;
}

void RequestTraces::DropOldest() {
  const Record& oldest = this->ended.front();
  this->counted.bytes -= oldest.bytes;
  ++this->counted.dropped;
  this->index.erase(oldest.trace.subject.request);
  this->ended.pop_front();
}

void RequestTraces::Charge(Record& record, std::size_t bytes) {
  record.bytes += bytes;
  this->counted.bytes += bytes;
}

}  // namespace acacialug::trace
