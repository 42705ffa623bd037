#ifndef SCENARIO_SIMULATION_H_
#define SCENARIO_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "scenario/internal/agent_host.h"
#include "scenario/internal/callers.h"
#include "scenario/internal/checker.h"
#include "scenario/internal/engine_host.h"
#include "scenario/internal/entry_host.h"
#include "scenario/internal/event_queue.h"
#include "scenario/internal/network.h"
#include "scenario/internal/platform_log.h"
#include "scenario/types/simulation_options.h"

namespace acacialug::scenario {

// A whole system in virtual time: the real aggregates of entries and agents,
// model engines, callers, a network and the platform's log, with their faults.
// The checker observes everything. The same seed and the same calls give the
// same run. Not thread safe.
//
// Processes are named "entry e1" and "agent d1"; engines "engine d1".
class Simulation {
 public:
  // Starts everything and publishes the first manifest. Callers may send
  // requests after a first Run of about a second.
  explicit Simulation(const SimulationOptions& simulation_options);
  ~Simulation();
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  Instant now() const { return this->queue.now(); }
  // Time since the start of the simulation.
  Duration age() const { return this->queue.now() - kBegin; }
  // Runs a task at this age of the simulation.
  void At(Duration age, std::function<void()> task);
  void Run(Duration length);

  // Ends all faults, restarts killed processes, waits until the system is idle
  // (at most kQuietLimit), and checks that nothing is left behind.
  void Quiet();
  static constexpr Duration kQuietLimit = 300s;

  // ---- callers ----
  Callers& callers() { return this->all_callers; }
  // Errors: kEndpointLost if that entry does not run, and those of IssueTicket.
  Result<std::string> Ticket(const std::string& entry);

  // ---- faults; each returns false if there is no such process ----
  bool Kill(const std::string& process, bool silently = false);
  bool Restart(const std::string& process);
  bool Pause(const std::string& process);
  bool Resume(const std::string& process);
  bool Drain(const std::string& process);
  // Stalls an engine: it takes no command and produces no token meanwhile.
  bool Stall(const std::string& endpoint, Duration length);
  bool RestartEngine(const std::string& endpoint);
  // Stalls or resumes the transfers of KV caches to an engine.
  bool StallTransfers(const std::string& endpoint, bool is_out);
  Network& network() { return this->wires; }
  PlatformLog& log() { return this->platform_log; }
  void SetLog(const PlatformLog::Faults& faults);
  // Loses this share of all messages between processes, and of the log's
  // answers, from now on.
  void Lose(double share);
  void Partition(const std::string& entry, const std::string& endpoint);
  void Heal(const std::string& entry, const std::string& endpoint);

  bool Runs(const std::string& process) const {
    return this->Find(process) != nullptr;
  }

  // Publishes a manifest in which these endpoints leave.
  void Publish(const std::string& version,
               LogOffset replaces,
               const std::set<std::string>& leaving);
  // Sets the model version of the manifests, from the next one on.
  void SetModelVersion(const std::string& model_version) {
    this->settings.model_version = model_version;
  }
  void SetAdapters(const std::vector<std::string>& adapters) {
    this->settings.adapters = adapters;
  }
  void SetMinimumServing(std::uint32_t count) {
    this->settings.minimum_serving = count;
  }
  // The model version of an engine; empty if there is no such engine.
  std::string EngineVersion(const std::string& endpoint) const;
  // The state of orders at an agent; the default value if it does not run.
  agent::OrderStatus OrdersAt(const std::string& endpoint) const;

  // The manifest that is active in a process; zero and empty if it does not
  // run.
  LogOffset OffsetOf(const std::string& process) const;
  std::string VersionOf(const std::string& process) const;

  Checker& checker() { return this->rules; }
  const SimulationOptions& options() const { return this->settings; }
  // Sums over all running entries.
  entry::EntryCounters entry_counters() const;
  std::uint64_t Executions(const std::string& marker) const;
  // The number of attempts that an engine holds.
  std::size_t HeldBy(const std::string& endpoint) const;
  // The decode endpoint whose engine runs the request's stream; empty if there
  // is none.
  std::string DecodesAt(std::uint64_t number) const;

 private:
  static constexpr Instant kBegin{1000s};

  void AddEndpoints();
  void StartEntry(const std::string& name);
  void StartAgent(const std::string& name);
  std::shared_ptr<EntryHost> FindEntry(const std::string& name) const;
  std::shared_ptr<AgentHost> FindAgent(const std::string& name) const;
  // Returns null if the name is invalid, or the process does not run.
  std::shared_ptr<Process> Find(const std::string& process) const;
  PeerManifest FindManifest(LogOffset offset) const;

  bool Step(Instant end);
  void Settle();
  void EndDrained();
  void RunPeriodicChecks();
  void CheckConfiguration();
  // Whether a request still needs the attempt.
  bool Wanted(const AttemptId& attempt) const;
  void SchedulePeriodicChecks();
  // Checks that pools can spare the endpoints that orders have taken out of
  // service.
  void CheckPools();
  bool OutByOrder(const std::string& endpoint) const;
  bool Idle() const;
  void CheckLeftOvers();
  bool Disturbed() const;

  SimulationOptions settings;
  RandomSource random;
  EventQueue queue;
  Checker rules;
  PlatformLog platform_log;
  Network wires;
  Callers all_callers;
  standin::WeightStoreModel weights;
  SimulationParts parts;
  standin::KvNetwork kv_network;
  std::map<std::string, std::unique_ptr<EngineHost>> engines;
  std::map<std::string, std::shared_ptr<EntryHost>> entries;
  std::map<std::string, std::shared_ptr<AgentHost>> agents;
  std::map<std::string, Instant> started;  // processes that run
  std::set<std::string> stopped;           // entries that must not be restarted
  std::set<std::string> draining;          // entries
  std::set<std::string> out;               // endpoints, by orders
  std::uint64_t last_publication = 0;
  std::uint64_t steps_at_once = 0;
};

}  // namespace acacialug::scenario

#endif  // SCENARIO_SIMULATION_H_
