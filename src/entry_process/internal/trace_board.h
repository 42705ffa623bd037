#ifndef ENTRY_PROCESS_INTERNAL_TRACE_BOARD_H_
#define ENTRY_PROCESS_INTERNAL_TRACE_BOARD_H_

#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "trace/request_traces.h"

namespace acacialug::entry_process {

// The traces of one shard: written by the shard, read by the operations port.
// Methods as in RequestTraces. Thread safe.
class TraceBoard {
 public:
  explicit TraceBoard(std::size_t max_bytes)
      : traces({.max_bytes = max_bytes}) {}

  void Begin(trace::TraceSubject subject, Instant now) {
    const std::scoped_lock lock(this->mutex);
    this->traces.Begin(std::move(subject), now);
  }

  void Add(const RequestId& request, const trace::Step& step, Instant now) {
    const std::scoped_lock lock(this->mutex);
    this->traces.Add(request, step, now);
  }

  void End(const RequestId& request,
           trace::TraceOutcome outcome,
           ResultCode code,
           Instant now) {
    const std::scoped_lock lock(this->mutex);
    this->traces.End(request, outcome, code, now);
  }

  std::optional<trace::Trace> Find(const RequestId& request,
                                   Instant now) const {
    const std::scoped_lock lock(this->mutex);
    return this->traces.Find(request, now);
  }

  std::vector<trace::Trace> Alive(std::size_t limit, Instant now) const {
    const std::scoped_lock lock(this->mutex);
    return this->traces.Alive(limit, now);
  }

  trace::TraceCounts counts() const {
    const std::scoped_lock lock(this->mutex);
    return this->traces.counts();
  }

 private:
  mutable std::mutex mutex;
  trace::RequestTraces traces;  // guarded by mutex
};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_TRACE_BOARD_H_
