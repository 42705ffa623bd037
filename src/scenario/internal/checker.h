#ifndef SCENARIO_INTERNAL_CHECKER_H_
#define SCENARIO_INTERNAL_CHECKER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "engine/types/engine_messages.h"
#include "manifest/types/manifest.h"
#include "protocol/types/messages.h"
#include "scenario/internal/event_queue.h"
#include "scenario/types/request.h"

namespace acacialug::scenario {

// Checks the guarantees of the system against all that happens in a simulation.
// Keeps each distinct violation once. Not thread safe.
class Checker {
 public:
  // How long an agent may hold work that no request needs: a session's lease,
  // and a margin.
  static constexpr Duration kHoldBound = 4s;
  // The same for an engine without its agent: two listings (the second includes
  // what was released during the first), a lease, and a margin.
  static constexpr Duration kMemoryBound = 15s;
  // From the order to leave until the last arrival of new work.
  static constexpr Duration kLeavingBound = 2s;
  // From the time at which a manifest is active in any process until it is
  // active in every process.
  static constexpr Duration kActivationBound = 4s;

  // One attempt that an engine or its agent holds.
  struct HeldAttempt {
    EndpointId endpoint;
    AttemptId attempt;
    bool by_agent = false;
    bool wanted = false;   // a request still needs it
    bool excused = false;  // it cannot be freed now: a stall, or no agent
  };

  explicit Checker(EventQueue& event_queue) : queue(event_queue) {}

  void Report(const std::string& what);
  const std::vector<std::string>& violations() const { return this->found; }

  // ---- answers; called before the request's state is updated ----
  void OnText(const Request& request, std::uint64_t index);
  void OnFinal(const Request& request);
  void OnComplete(const Request& request);
  void OnNotRun(const Request& request);

  // ---- configuration ----
  void OnManifest(const std::string& process,
                  std::uint64_t start,
                  const manifest::Manifest& manifest);
  void OnDrain(const EndpointId& endpoint);
  // A drain ends with the agent's process; an order of the manifest does not.
  void OnAgentStarted(const EndpointId& endpoint);
  // While true, entries may learn late that an endpoint leaves.
  void SetDisturbed(bool is_disturbed);

  // An order takes the endpoint out of service. `out`: all endpoints that are
  // out of service, including this one. `manifest`: active at its agent.
  void OnTakenOut(const EndpointId& endpoint,
                  const manifest::Manifest* manifest,
                  const std::set<std::string>& out);

  // ---- messages and commands ----
  void OnSend(const std::string& entry_name,
              Incarnation entry,
              const EndpointId& endpoint,
              const protocol::EntryToAgent& message);
  void OnArrival(const EndpointId& endpoint,
                 const protocol::EntryToAgent& message);
  void OnAgentMessage(const EndpointId& endpoint,
                      const protocol::AgentToEntry& message);
  void OnReply(Incarnation entry,
               const EndpointId& endpoint,
               const protocol::AgentToEntry& message);
  void OnCommand(const EndpointId& endpoint,
                 const engine::EngineCommand& command);
  void OnEngineEvent(const EndpointId& endpoint,
                     const engine::EngineEvent& event);

  // ---- periodic checks ----
  void CheckHeld(const std::vector<HeldAttempt>& held);
  // `since`: the time from which this process could receive manifests.
  void CheckConfiguration(const std::string& process,
                          LogOffset offset,
                          Instant since);
  // `executions`: how often the services ran the work with this marker.
  void CheckCalls(
      const std::deque<Request>& requests,
      const std::function<std::uint64_t(const std::string&)>& executions);

 private:
  using Place = std::pair<EndpointId, AttemptId>;
  using Work = std::pair<Incarnation, RequestId>;

  bool LeftLongAgo(const EndpointId& endpoint) const;

  EventQueue& queue;
  std::vector<std::string> found;
  std::set<std::string> known;
  std::map<std::pair<std::string, std::uint64_t>, LogOffset> offsets;
  LogOffset newest_manifest;
  Instant newest_since{};
  std::map<EndpointId, Instant> leaving;   // by the newest manifest
  std::map<EndpointId, Instant> draining;  // by their agents' drains
  bool disturbed = false;
  Instant undisturbed_since{};
  std::map<Work, std::set<std::pair<EndpointId, AttemptNumber>>> reservations;
  std::set<Place> given_up;  // cancelled by their entries
  std::set<Place> granted;   // reservations, as the agents reported
  std::set<Place> arrived;  // attempts, except new ones after the endpoint left
  std::map<std::pair<Place, bool>, Instant> unwanted_since;
};

}  // namespace acacialug::scenario

#endif  // SCENARIO_INTERNAL_CHECKER_H_
