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

// The promises of the system, held against all that a world does. What it
// finds is kept, each once. Not thread safe.
class Checker {
 public:
  // Work that nobody waits for, but its agent still holds: a session's lease,
  // and some.
  static constexpr Duration kHoldBound = 4s;
  // The same in an engine, without its agent: two listings (what was released
  // while the first was under way is left to the second), a lease, and some.
  static constexpr Duration kMemoryBound = 15s;
  // From the order to leave until the last new work arrives.
  static constexpr Duration kLeavingBound = 2s;
  // From the moment at which a manifest is in force anywhere until it is so in
  // every process.
  static constexpr Duration kInForceBound = 4s;

  // One attempt that an engine or its agent holds.
  struct HeldAttempt {
    EndpointId endpoint;
    AttemptId attempt;
    bool by_agent = false;
    bool wanted = false;   // somebody still waits for it
    bool excused = false;  // nobody could free it now: a stall, no agent
  };

  explicit Checker(EventQueue& event_queue) : queue(event_queue) {}

  void Report(const std::string& what);
  const std::vector<std::string>& violations() const { return this->found; }

  // ---- answers; before the request's state follows them ----
  void OnText(const Request& request, std::uint64_t index);
  void OnFinal(const Request& request);
  void OnComplete(const Request& request);
  void OnNotRun(const Request& request);

  // ---- configuration ----
  void OnManifest(const std::string& process,
                  std::uint64_t start,
                  const manifest::Manifest& manifest);
  void OnDrain(const EndpointId& endpoint);
  // A drain of its process ended with it; a manifest's order did not.
  void OnAgentStarted(const EndpointId& endpoint);
  // While true, entries may be late to hear who leaves.
  void SetDisturbed(bool is_disturbed);

  // An order takes the endpoint out of service; `out`: all that are, it among
  // them. `manifest`: in force at its agent.
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
  void OnAgentSays(const EndpointId& endpoint,
                   const protocol::AgentToEntry& message);
  void OnReply(Incarnation entry,
               const EndpointId& endpoint,
               const protocol::AgentToEntry& message);
  void OnCommand(const EndpointId& endpoint,
                 const engine::EngineCommand& command);
  void OnEngineEvent(const EndpointId& endpoint,
                     const engine::EngineEvent& event);

  // ---- from time to time; what is wrong once stays wrong ----
  void LookAtHeld(const std::vector<HeldAttempt>& held);
  // `since`: from when on this process could hear of manifests.
  void LookAtConfiguration(const std::string& process,
                           LogOffset offset,
                           Instant since);
  // `executions`: how often the services ran what has this marker.
  void LookAtCalls(
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
  Instant calm_since{};
  std::map<Work, std::set<std::pair<EndpointId, AttemptNumber>>> reservations;
  std::set<Place> given_up;  // cancelled by their entries
  std::set<Place> granted;   // reservations, by the agent's word
  std::set<Place> arrived;   // attempts, but new ones after it left
  std::map<std::pair<Place, bool>, Instant> unwanted_since;
};

}  // namespace acacialug::scenario

#endif  // SCENARIO_INTERNAL_CHECKER_H_
