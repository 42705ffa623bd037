#ifndef ENTRY_PROCESS_INTERNAL_PROCESS_STATE_H_
#define ENTRY_PROCESS_INTERNAL_PROCESS_STATE_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "entry_process/internal/trace_board.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "framework/global/types/result.h"
#include "manifest/types/manifest.h"
#include "operations/types/requests_page.h"
#include "protocol/types/messages.h"

namespace acacialug::entry_process {

// One endpoint as a shard sees it.
struct EndpointView {
  bool connected = false;
  Incarnation incarnation;
  protocol::EndpointLoad load;
};

// What a shard shows of its state; written by the shard, read from any thread.
class ShardBoard {
 public:
  explicit ShardBoard(std::size_t trace_bytes) : request_traces(trace_bytes) {}

  // All methods are thread safe.
  void SetRequests(std::size_t alive, bool is_drained);
  // The endpoint's agent answered the opening of a session.
  void SetWelcomed(const EndpointId& endpoint, Incarnation incarnation);
  void SetClosed(const EndpointId& endpoint);
  void Remove(const EndpointId& endpoint);
  void SetLoad(const EndpointId& endpoint, const protocol::EndpointLoad& load);
  // Records that the shard's thread runs. Without this record another thread
  // would renew the sessions of a shard that hangs, and its engines' memory
  // would stay held.
  void NoteRunning(Instant now);

  Instant last_running() const {
    return Instant(Duration(this->ran_at.load(std::memory_order_relaxed)));
  }

  std::size_t alive() const { return this->alive_requests.load(); }
  bool drained() const { return this->is_drained.load(); }
  std::map<EndpointId, EndpointView> Endpoints() const;

  TraceBoard& traces() { return this->request_traces; }
  const TraceBoard& traces() const { return this->request_traces; }

 private:
  TraceBoard request_traces;
  std::atomic<std::size_t> alive_requests = 0;
  std::atomic<bool> is_drained = false;
  std::atomic<Duration::rep> ran_at = 0;
  mutable std::mutex mutex;
  std::map<EndpointId, EndpointView> endpoints;  // guarded by mutex
};

struct Readiness {
  bool ready = false;
  std::string reason;                 // why not; empty when ready
  std::vector<ServiceName> unserved;  // without a connected agent
};

// What all shards and the operations port share. Thread safe.
class ProcessState {
 public:
  struct Options {
    EntryId entry;
    Incarnation incarnation;
    int shards = 1;
    Duration ready_wait{};
    Instant started;
    std::size_t trace_bytes = 0;  // of all shards together
  };

  explicit ProcessState(Options options);

  ShardBoard& board(int shard) { return *this->boards[shard]; }

  void SetManifest(std::shared_ptr<const manifest::Manifest> newest);
  std::shared_ptr<const manifest::Manifest> manifest() const;

  // Records an offset that a peer reported; true when it is new: greater than
  // the active manifest's and than all offsets received before.
  bool NoteManifestOffset(LogOffset offset);

  void BeginDrain() { this->is_draining.store(true); }
  bool draining() const { return this->is_draining.load(); }
  bool AllDrained() const;
  std::size_t AliveRequests() const;

  // Ready: a manifest is active, the process is not draining, and each shard
  // has an agent of every service, or has waited for ready_wait and has an
  // agent of some service. Once the process is ready, a service without agents
  // no longer counts: its callers get refusals, and the other services' callers
  // must not suffer.
  Readiness CheckReady(Instant now);

  // The requests that are alive, the oldest first, each with its last step, at
  // most `limit`.
  operations::EntryRequests AliveTraces(std::size_t limit, Instant now) const;

  // One request's trace. Errors: kUnknownRequest.
  Result<operations::EntryRequests> FindTrace(const RequestId& request,
                                              Instant now) const;

  // The page /status, as JSON.
  std::string RenderStatus(Instant now);

 private:
  trace::TraceCounts CountTraces() const;
  std::vector<ServiceName> UnservedBy(const manifest::Manifest& manifest,
                                      std::size_t& served) const;

  const Options options;
  std::vector<std::unique_ptr<ShardBoard>> boards;
  std::atomic<bool> is_draining = false;
  std::atomic<bool> was_ready = false;
  std::atomic<std::uint64_t> highest_received = 0;
  mutable std::mutex mutex;
  std::shared_ptr<const manifest::Manifest> newest;  // guarded by mutex
};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_PROCESS_STATE_H_
