#ifndef TRACE_REQUEST_TRACES_H_
#define TRACE_REQUEST_TRACES_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "trace/types/trace.h"

namespace acacialug::trace {

// The traces of a shard's requests: of all that are alive, and of those that
// ended most recently, within a bound on bytes. The oldest ended traces are
// dropped first. When only traces of alive requests are left, new steps and
// requests are counted but not traced. Uses no I/O and no clock; not thread
// safe. `now` never decreases.
class RequestTraces {
 public:
  struct Options {
    std::size_t max_bytes = std::size_t{2} * 1024 * 1024;  // 0: no traces
    std::size_t max_steps = 64;                            // of one request
  };

  explicit RequestTraces(Options trace_options) : options(trace_options) {}

  // A request arrived. An id that is already known is no error and changes
  // nothing.
  void Begin(TraceSubject subject, Instant now);

  // `step.at` is set here. A step of an unknown or ended request, and a
  // second kQueued in a row (the same wait), are no error and not stored.
  void Add(const RequestId& request, const Step& step, Instant now);

  // The request was answered, or its caller disconnected. An unknown request
  // is no error.
  void End(const RequestId& request,
           TraceOutcome outcome,
           ResultCode code,
           Instant now);

  // A copy of the trace; empty for an unknown request.
  std::optional<Trace> Find(const RequestId& request, Instant now) const;

  // Traces of at most `limit` alive requests, the oldest first; each with its
  // last step only.
  std::vector<Trace> Alive(std::size_t limit, Instant now) const;

  TraceCounts counts() const;

 private:
  // A Step in half of its size: `endpoint` refers to Record::endpoints.
  struct PackedStep {
    Duration at{};
    std::uint64_t amount = 0;
    std::uint32_t attempt = 0;
    std::uint16_t code = 0;
    StepKind kind = StepKind::kArrived;
    std::uint8_t phase = 0;     // 0: none; else one more than its value
    std::uint8_t endpoint = 0;  // 0: none; else one more than its index
  };
  struct Record {
    Trace trace;  // without its steps
    Instant arrived;
    std::size_t bytes = 0;
    std::vector<PackedStep> steps;
    std::vector<EndpointId> endpoints;  // without duplicates
  };
  using Records = std::list<Record>;

  static Step Unpack(const Record& record, const PackedStep& packed);
  static Trace Shown(const Record& record, Instant now);
  // One more than the endpoint's index in the record, to which it is added if
  // it is missing; 0 for an empty endpoint. Empty without capacity.
  std::optional<std::uint8_t> EndpointIndex(Record& record,
                                            const EndpointId& endpoint);
  bool AddPacked(Record& record, const Step& step, Instant now);
  // Doubles the capacity of a full list of a record; false when the bound
  // prevents it.
  template <typename Item>
  bool Grow(Record& record, std::vector<Item>& items);
  // Drops ended traces until `bytes` are free; false when too few can be
  // freed.
  bool EnsureFreeBytes(std::size_t bytes);
  void DropOldest();
  void Charge(Record& record, std::size_t bytes);

  Options options;
  Records alive;  // in order of arrival
  Records ended;  // in order of end
  std::unordered_map<RequestId, Records::iterator> index;
  TraceCounts counted;
};

}  // namespace acacialug::trace

#endif  // TRACE_REQUEST_TRACES_H_
