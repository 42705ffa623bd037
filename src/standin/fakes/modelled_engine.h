#ifndef STANDIN_FAKES_MODELLED_ENGINE_H_
#define STANDIN_FAKES_MODELLED_ENGINE_H_

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "engine/i_engine.h"
#include "standin/engine_model.h"
#include "standin/service_model.h"

namespace acacialug::standin {

// Engines in one process, which fetch each other's exports. Not thread safe.
class KvNetwork {
 public:
  void Join(EngineModel& model);
  void Leave(EngineModel& model);
  // Returns null if no engine with this id runs.
  EngineModel* Find(const std::string& engine_id) const;

 private:
  std::vector<EngineModel*> models;
};

// An EngineModel with the interface of an agent's engine, in the virtual time
// of a test: events are delivered only by Deliver, to be called at next_event()
// and after commands. Not thread safe.
class ModelledEngine : public engine::IEngine {
 public:
  struct Options {
    EngineOptions engine;
    std::function<Instant()> now;
  };

  // Both outlive the engine.
  ModelledEngine(Options engine_options,
                 RandomSource& random,
                 KvNetwork& kv_network);
  ~ModelledEngine() override;
  ModelledEngine(const ModelledEngine&) = delete;
  ModelledEngine& operator=(const ModelledEngine&) = delete;

  void Execute(const engine::EngineCommand& command) override;
  void SetOnEvent(
      std::function<void(const engine::EngineEvent&)> event_hook) override;

  // Now, if the answer of a command is queued; kNever if nothing is in
  // progress.
  Instant next_event() const;
  void Deliver();

  // For faults and checks.
  EngineModel& engine_model() { return this->model; }

 private:
  void Run(const engine::Prefill& command);
  void Run(const engine::Decode& command);
  void Run(const engine::Abort& command);
  void Run(const engine::SetPaused& command);
  void Run(const engine::Call& command);
  void Run(const engine::ListHeld& command);
  void Run(const engine::Order& command);
  void Run(const engine::ReadState& command);
  void Submit(const AttemptId& attempt,
              const protocol::GenerationRequest& generation,
              const protocol::KvHandle* kv);

  void OnOutput(const PrefillReady& ready);
  void OnOutput(const TokensMade& made);
  void OnOutput(const WorkDone& done);
  void OnOutput(const WorkFailed& failed);
  void OnOutput(const PullKv& pull);
  void Fail(const AttemptId& attempt,
            ResultCode code,
            protocol::Outcome outcome);

  Options options;
  KvNetwork& network;
  EngineModel model;
  std::function<void(const engine::EngineEvent&)> on_event;
  std::deque<engine::EngineEvent> events;            // for the next Deliver
  std::vector<engine::EngineCommand> held_commands;  // during a stall
};

// A ServiceModel with the interface of an agent's engine; as ModelledEngine.
class ModelledService : public engine::IEngine {
 public:
  struct Options {
    ServiceOptions service;
    std::function<Instant()> now;
  };

  // `random` outlives the service.
  ModelledService(Options service_options, RandomSource& random);

  void Execute(const engine::EngineCommand& command) override;
  void SetOnEvent(
      std::function<void(const engine::EngineEvent&)> event_hook) override;

  Instant next_event() const;
  void Deliver();

  ServiceModel& service_model() { return this->model; }

 private:
  struct Running {
    AttemptId attempt;
    std::string answer;
  };

  void Start(const engine::Call& command);

  Options options;
  ServiceModel model;
  std::function<void(const engine::EngineEvent&)> on_event;
  std::map<CallId, Running> running;
};

}  // namespace acacialug::standin

#endif  // STANDIN_FAKES_MODELLED_ENGINE_H_
