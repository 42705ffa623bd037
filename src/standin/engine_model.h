#ifndef STANDIN_ENGINE_MODEL_H_
#define STANDIN_ENGINE_MODEL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "framework/global/random_source.h"
#include "framework/global/types/instant.h"
#include "standin/types/engine_messages.h"
#include "standin/types/engine_options.h"

namespace acacialug::standin {

// A model engine without a GPU, a socket or a clock: continuous batching,
// chunked prefill, prefix cache, export and import of KV cache, orders, lagged
// reports and faults. Formulas: docs/ENGINE_MODEL.md.
//
// `now` never decreases. Every method first runs the events that were due by
// `now`, at the instants at which they were due; outputs accumulate until
// TakeOutputs. Call Advance at next_event(). Not thread safe.
class EngineModel {
 public:
  // `random` outlives the model.
  EngineModel(EngineOptions options, RandomSource& random);
  ~EngineModel();

  // ---- work ----

  // Takes a request; its results follow as outputs.
  void Submit(EngineWork work, Instant now);

  // Drops a prefill, stream or export; no further output names it. Unknown ids
  // are ignored. A running iteration is completed.
  void Abort(const std::string& request_id, Instant now);

  // The answer to PullKv: whether the other engine still holds the export.
  void OnPullAnswered(const std::string& request_id, bool found, Instant now);

  // The exporting side of PullKv. BeginPull pins the export for the transfer
  // and returns its tokens, empty if it is gone. EndPull frees it, and returns
  // false if it was gone.
  std::optional<std::uint32_t> BeginPull(const std::string& engine_id,
                                         const std::string& request_id,
                                         Instant now);
  bool EndPull(const std::string& engine_id,
               const std::string& request_id,
               Instant now);

  // ---- time ----

  // When Advance is due; kNever if nothing is in progress.
  Instant next_event() const;
  void Advance(Instant now);
  std::vector<EngineOutput> TakeOutputs();

  // ---- orders and reports ----

  // Returns false if the order was refused because of its old fencing token.
  // Another model or version fails the running work; then, and for new
  // adapters, the engine loads.
  bool ApplyOrder(const EngineOrder& order, Instant now);
  EngineState state(Instant now);

  EngineLoad load(Instant now);  // as it was load_lag ago
  std::vector<HeldRequest> held() const;
  // The visible events with a greater id, oldest first, at most 1000.
  std::vector<CacheEvent> CacheEventsAfter(std::uint64_t id, Instant now) const;
  const EngineStats& stats() const;
  // Identifies this incarnation of the engine: exports of an earlier one are
  // gone.
  const std::string& engine_id() const;
  const EngineOptions& options() const;

  // ---- faults ----

  void SetFaults(const EngineFaults& faults, Instant now);
  // Stops the engine's time until `until` (kNever: until Resume).
  void Stall(Instant until, Instant now);
  void Resume(Instant now);
  bool stalled(Instant now) const;
  void EvictExports(Instant now);
  // As if the process were replaced: work, exports and received orders are
  // lost.
  void Restart(Instant now);

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::standin

#endif  // STANDIN_ENGINE_MODEL_H_
