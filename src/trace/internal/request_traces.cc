#include "trace/request_traces.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace acacialug::trace {
namespace {

// Steps of a generation without a refusal; capacity grows beyond them.
constexpr std::size_t kUsualSteps = 12;
constexpr std::size_t kUsualEndpoints = 2;
constexpr std::size_t kMaxEndpoints = 255;  // per request; the index has 8 bits
// Overhead of a list node and a hash table node beyond their contents, as the
// allocator counts it (trace_bench prints the bytes that are really used).
constexpr std::size_t kNodeBytes = 112;

std::size_t HeapBytes(const std::string& text) {
  static const std::size_t kInlineCapacity = std::string().capacity();
  return text.capacity() > kInlineCapacity ? text.capacity() + 1 : 0;
}

}  // namespace

void RequestTraces::Begin(TraceSubject subject, Instant now) {
  const std::size_t bytes =
      sizeof(Record) + kNodeBytes + HeapBytes(subject.service) +
      HeapBytes(subject.latency_class) + kUsualSteps * sizeof(PackedStep) +
      kUsualEndpoints * sizeof(EndpointId);
  if (this->index.contains(subject.request)) {
    return;
  }
  if (!this->EnsureFreeBytes(bytes)) {
    ++this->counted.not_traced;
    return;
  }
  const RequestId request = subject.request;
  this->alive.push_back(
      {.trace = {.subject = std::move(subject)}, .arrived = now});
  Record& record = this->alive.back();
  record.steps.reserve(kUsualSteps);
  record.endpoints.reserve(kUsualEndpoints);
  record.steps.push_back({.kind = StepKind::kArrived});
  this->Charge(record, bytes);
  this->index.emplace(request, std::prev(this->alive.end()));
}

void RequestTraces::Add(const RequestId& request,
                        const Step& step,
                        Instant now) {
  const auto found = this->index.find(request);
  if (found == this->index.end() ||
      found->second->trace.outcome != TraceOutcome::kAlive) {
    return;
  }
  Record& record = *found->second;
  if (step.kind == StepKind::kQueued &&
      record.steps.back().kind == StepKind::kQueued) {
    return;
  }
  if (record.steps.size() >= this->options.max_steps ||
      !this->AddPacked(record, step, now)) {
    ++record.trace.steps_left_out;
    ++this->counted.steps_left_out;
  }
}

bool RequestTraces::AddPacked(Record& record, const Step& step, Instant now) {
  const std::optional<std::uint8_t> endpoint_index =
      this->EndpointIndex(record, step.endpoint);
  if (!endpoint_index || !this->Grow(record, record.steps)) {
    return false;
  }
  record.steps.push_back(
      {.at = now - record.arrived,
       .amount = step.amount,
       .attempt = static_cast<std::uint32_t>(step.attempt.value),
       .code = static_cast<std::uint16_t>(step.code),
       .kind = step.kind,
       .phase = static_cast<std::uint8_t>(
           step.phase ? static_cast<int>(*step.phase) + 1 : 0),
       .endpoint = *endpoint_index});
  return true;
}

std::optional<std::uint8_t> RequestTraces::EndpointIndex(
    Record& record,
    const EndpointId& endpoint) {
  if (endpoint.empty()) {
    return 0;
  }
  std::vector<EndpointId>& all = record.endpoints;
  const auto found = std::find(all.begin(), all.end(), endpoint);
  if (found == all.end()) {
    const EndpointId added = endpoint;  // a copy has no spare capacity
    const std::size_t bytes = HeapBytes(added.text);
    if (all.size() >= kMaxEndpoints || !this->EnsureFreeBytes(bytes) ||
        !this->Grow(record, all)) {
      return std::nullopt;
    }
    all.push_back(added);
    this->Charge(record, bytes);
    return static_cast<std::uint8_t>(all.size());
  }
  return static_cast<std::uint8_t>(std::distance(all.begin(), found) + 1);
}

template <typename Item>
bool RequestTraces::Grow(Record& record, std::vector<Item>& items) {
  if (items.size() < items.capacity()) {
    return true;
  }
  const std::size_t more = std::max<std::size_t>(items.capacity(), 1);
  const std::size_t bytes = more * sizeof(Item);
  if (!this->EnsureFreeBytes(bytes)) {
    return false;
  }
  items.reserve(items.capacity() + more);
  this->Charge(record, bytes);
  return true;
}

Step RequestTraces::Unpack(const Record& record, const PackedStep& packed) {
  Step step{.kind = packed.kind,
            .code = static_cast<ResultCode>(packed.code),
            .attempt = AttemptNumber(packed.attempt),
            .at = packed.at,
            .amount = packed.amount};
  if (packed.phase > 0) {
    step.phase = static_cast<protocol::Phase>(packed.phase - 1);
  }
  if (packed.endpoint > 0) {
    step.endpoint = record.endpoints[packed.endpoint - 1];
  }
  return step;
}

Trace RequestTraces::Shown(const Record& record, Instant now) {
  Trace shown = record.trace;
  shown.age = now - record.arrived;
  return shown;
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
  const Record& record = *found->second;
  Trace shown = Shown(record, now);
  for (const PackedStep& packed : record.steps) {
    shown.steps.push_back(Unpack(record, packed));
  }
  return shown;
}

std::vector<Trace> RequestTraces::Alive(std::size_t limit, Instant now) const {
  std::vector<Trace> shown;
  shown.reserve(std::min(limit, this->alive.size()));
  for (const Record& record : this->alive) {
    if (shown.size() == limit) {
      break;
    }
    shown.push_back(Shown(record, now));
    shown.back().steps = {Unpack(record, record.steps.back())};
  }
  return shown;
}

TraceCounts RequestTraces::counts() const {
  TraceCounts counts = this->counted;
  counts.kept = this->index.size();
  counts.alive = this->alive.size();
  return counts;
}

bool RequestTraces::EnsureFreeBytes(std::size_t bytes) {
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
