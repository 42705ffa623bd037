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
// ended last, within a bound on bytes. The oldest ended ones are dropped
// first; when only alive ones are left, new steps and requests go untraced
// and are counted. Without I/O and clock; not thread safe. `now` never goes
// backwards.
class RequestTraces {
 public:
  struct Options {
    std::size_t max_bytes = std::size_t{2} * 1024 * 1024;  // 0: no traces
    std::size_t max_steps = 64;                            // of one request
  };

  explicit RequestTraces(Options trace_options) : options(trace_options) {}

  // A request arrived; an id that is known already is no error and changes
  // nothing.
  void Begin(TraceSubject subject, Instant now);

  // `step.at` is set here. A step of an unknown or ended request, and a
  // second kQueued in a row (the same wait), are no error and not kept.
  void Add(const RequestId& request, const Step& step, Instant now);

  // The request has its answer, or its caller is gone. Unknown is no error.
  void End(const RequestId& request,
           TraceOutcome outcome,
           ResultCode code,
           Instant now);

  // A copy; empty when nothing is known of the request.
  std::optional<Trace> Find(const RequestId& request, Instant now) const;

  // Of the requests that are alive, the oldest first, at most `limit`; each
  // with its last step only.
  std::vector<Trace> Alive(std::size_t limit, Instant now) const;

  TraceCounts counts() const;

 private:
  // A Step in half of its size: the endpoint is an index into its record's.
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
    std::vector<EndpointId> endpoints;  // each once
  };
  using Records = std::list<Record>;

  static Step Unpack(const Record& record, const PackedStep& packed);
  static Trace Shown(const Record& record, Instant now);
  // One more than the place of the endpoint among the record's, where it is
  // added if need be; 0 for none. Empty when there is no room.
  std::optional<std::uint8_t> PlaceOf(Record& record,
                                      const EndpointId& endpoint);
  bool AddPacked(Record& record, const Step& step, Instant now);
  // Makes room for more items of a record, doubling it; false without room.
  template <typename Item>
  bool Grow(Record& record, std::vector<Item>& items);
  // Drops ended traces until so many bytes are free; false when there are
  // not that many.
  bool MakeRoom(std::size_t bytes);
  void DropOldest();
  void Charge(Record& record, std::size_t bytes);

  Options options;
  Records alive;  // by arrival
  Records ended;  // by end
  std::unordered_map<RequestId, Records::iterator> index;
  TraceCounts counted;
};

}  // namespace acacialug::trace

#endif  // TRACE_REQUEST_TRACES_H_
