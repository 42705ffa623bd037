#ifndef STANDIN_INTERNAL_ENGINE_SCHEDULER_H_
#define STANDIN_INTERNAL_ENGINE_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "framework/global/random_source.h"
#include "standin/internal/export_store.h"
#include "standin/internal/prefix_cache.h"
#include "standin/internal/shared_link.h"
#include "standin/reference_answer.h"
#include "standin/types/engine_messages.h"
#include "standin/types/engine_options.h"

namespace acacialug::standin {

// The part of an engine that admits, batches and computes. Its time is the
// engine's own, which stops during a stall. Precondition of every method:
// AdvanceTo(now) was called. Not thread safe.
class EngineScheduler {
 public:
  EngineScheduler(const EngineOptions& engine_options,
                  RandomSource& random_source,
                  PrefixCache::Options cache_options);

  // Precondition: the work has passed the checks of model, role and context,
  // and no work with its id is held.
  void Submit(EngineWork work, Instant now);
  void Abort(const std::string& request_id, Instant now);
  void OnPullAnswered(const std::string& request_id, bool found, Instant now);
  std::optional<std::uint32_t> BeginPull(const std::string& request_id,
                                         Instant now);
  bool EndPull(const std::string& request_id, Instant now);

  Instant next_event() const;
  void AdvanceTo(Instant now);

  bool Holds(const EngineWork& work) const;
  EngineLoad load() const;
  std::vector<HeldRequest> held() const;

  void SetFaults(const EngineFaults& new_faults, Instant now);
  void EvictExports(Instant now);
  void FailAll(EngineError error);  // also drops exports and cache

  std::vector<EngineOutput> outputs;
  EngineStats stats;

 private:
  using Serial = std::uint64_t;  // of a job, in order of arrival

  enum class Phase : std::uint8_t {
    kWaiting,
    kPulling,    // has requested the export
    kImporting,  // its transfer is running
    kConfirming,
    kPrefilling,
    kStreaming,
  };

  struct Job {
    EngineWork work;
    Serial serial = 0;
    Phase phase = Phase::kWaiting;
    AnswerPlan plan;
    std::optional<TokenGenerator> generator;  // streams
    protocol::PrefixChain chain;  // of jobs that compute their prompt
    std::uint64_t reserved = 0;   // tokens of memory
    bool prefill_begun = false;
    std::uint32_t prefill_left = 0;
    std::uint32_t computed = 0;
    std::uint32_t cached = 0;
    std::uint32_t made = 0;
    bool fails = false;  // due to a fault, half-way
  };

  // One pass of the model: a token for each stream of the batch, and a chunk of
  // one prompt.
  struct Step {
    Instant begin;
    Instant end = kNever;
    std::vector<Serial> batch;
    Serial prefill = 0;  // 0: none
    std::uint32_t chunk = 0;
  };

  bool HasCapacity(const Job& job) const;
  void Admit();
  void Begin(Job& job);
  void RefuseIfOverfull(Serial serial);

  void StartStep(Instant now);
  void EndStep();
  void FinishPrefill(Job& job, Instant now);
  void EmitToken(Serial serial);
  Duration IterationTime(const std::vector<Serial>& batch) const;
  Duration ChunkTime(Job& job, std::uint32_t& chunk);

  void EndTransfers(Instant now);
  void DropExpired(Instant now);
  void Waste(std::uint64_t tokens);
  void CountUnfinished(const Job& job);

  Job* Find(Serial serial);
  Job* FindById(const std::string& request_id);
  void Remove(Serial serial);
  void Fail(Serial serial, EngineError error);

  const EngineOptions& options;
  RandomSource& random;
  EngineFaults faults;
  PrefixCache cache;
  ExportStore exports;
  SharedLink link;
  std::map<Serial, Job> jobs;
  std::unordered_map<std::string, Serial> serials;
  std::map<std::pair<std::int32_t, Serial>, Serial> waiting;
  std::deque<Serial> prefilling;  // the next to compute first
  std::vector<Serial> streaming;
  std::uint32_t streams_held = 0;  // slots taken
  std::uint64_t jobs_tokens = 0;   // memory of jobs
  std::optional<Step> step;
  Serial last_serial = 0;
};

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_ENGINE_SCHEDULER_H_
