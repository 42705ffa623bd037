#ifndef TRACE_REQUEST_TRACES_H_
#define TRACE_REQUEST_TRACES_H_

#include <cstddef>
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
  void Add(const RequestId& request, Step step, Instant now);

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
  struct Record {
    Trace trace;
    Instant arrived;
    std::size_t bytes = 0;
  };
  using Records = std::list<Record>;

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
