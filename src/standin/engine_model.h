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
// `now` never goes back. Every method first does what was due by `now`, at the
// instants at which it was due; outputs pile up until TakeOutputs. Advance is
// to be called at next_event(). Not thread safe.
class EngineModel {
 public:
  // `random` outlives the model.
  EngineModel(EngineOptions options, RandomSource& random);
  ~EngineModel();

  // ---- work ----

  // Takes a request; what becomes of it follows as outputs.
  void Submit(EngineWork work, Instant now);

  // Drops a prefill, stream or export; no further output names it. Unknown
  // ids are ignored. An iteration under way goes on to its end.
  void Abort(const std::string& request_id, Instant now);

  // The answer to PullKv: whether the other engine still has the export.
  void OnPullAnswered(const std::string& request_id, bool found, Instant now);

  // The exporting side of PullKv. Begin pins the export for the transfer and
  // tells its tokens, empty if it is gone; End frees it, false if it was gone.
  std::optional<std::uint32_t> BeginPull(const std::string& engine_id,
                                         const std::string& request_id,
                                         Instant now);
  bool EndPull(const std::string& engine_id,
               const std::string& request_id,
               Instant now);

  // ---- time ----

  // When Advance has something to do; kNever if nothing is under way.
  Instant next_event() const;
  void Advance(Instant now);
  std::vector<EngineOutput> TakeOutputs();

  // ---- orders and reports ----

  // False: the order was refused for its old fencing number. Another model or
  // version fails what runs; then, and for new adapters, the engine loads.
  bool ApplyOrder(const EngineOrder& order, Instant now);
  EngineState state(Instant now);

  EngineLoad load(Instant now);  // as it was load_lag ago
  std::vector<HeldRequest> held() const;
  // Visible events with a greater id, oldest first, at most 1000.
  std::vector<CacheEvent> CacheEventsAfter(std::uint64_t id, Instant now) const;
  const EngineStats& stats() const;
  // Names this start of the engine: exports of an earlier one are gone.
  const std::string& engine_id() const;
  const EngineOptions& options() const;

  // ---- faults ----

  void SetFaults(const EngineFaults& faults, Instant now);
  // Stops the engine's time for `length` (kNever's distance: until Resume).
  void Stall(Instant until, Instant now);
  void Resume(Instant now);
  bool stalled(Instant now) const;
  void EvictExports(Instant now);
  // As if the process were replaced: work and exports are lost, the orders
  // given to it too.
  void Restart(Instant now);

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::standin

#endif  // STANDIN_ENGINE_MODEL_H_
