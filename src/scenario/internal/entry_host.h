#ifndef SCENARIO_INTERNAL_ENTRY_HOST_H_
#define SCENARIO_INTERNAL_ENTRY_HOST_H_

#include <cstdint>
#include <memory>
#include <string>

#include "entry/entry_core.h"
#include "heartbeat/heartbeat_sender.h"
#include "scenario/internal/manifest_feed.h"
#include "scenario/internal/process.h"
#include "scenario/internal/simulation_parts.h"

namespace acacialug::scenario {

// One start of an entry. Not thread safe.
class EntryHost : public Process,
                  public std::enable_shared_from_this<EntryHost> {
 public:
  EntryHost(std::string entry_name,
            std::uint64_t seed,
            const SimulationParts& simulation_parts);

  // Begins to read the configuration. Call once, after construction.
  void Start();

  Incarnation incarnation() const { return this->start; }
  entry::EntryCore& core() { return *this->decisions; }
  const entry::EntryCore& core() const { return *this->decisions; }
  ManifestFeed& feed() { return this->manifests; }
  const ManifestFeed& feed() const { return this->manifests; }

  // Input of the network. It is handled at once, or when a pause ends.
  void OnConnected(const EndpointId& endpoint);
  void OnClosed(const EndpointId& endpoint);
  void OnHeartbeatAnswer(const protocol::HeartbeatAnswer& answer);
  void OnMessage(const EndpointId& endpoint,
                 const protocol::AgentToEntry& message);

 protected:
  void Pump() override;
  Instant DueAt() const override;
  void OnDue() override;

 private:
  entry::EntryOptions Options();
  ManifestFeed::Hooks FeedHooks();
  void PumpHeartbeats();
  // Returns a function that runs a task in this process, if it is still alive.
  std::function<void(std::function<void()>)> Later();

  void Run(const entry::SendToAgent& action);
  void Run(const entry::ConnectEndpoint& action);
  void Run(const entry::DropEndpoint& action);
  void Run(const entry::AppendClaims& action);
  void Run(const entry::ReadClaims& action);
  void Run(const entry::AnswerText& action);
  void Run(const entry::AnswerEnd& action);
  void Run(const entry::AnswerCall& action);
  void Run(const entry::AnswerError& action);

  SimulationParts parts;
  RandomSource random;
  Incarnation start;
  ManifestFeed manifests;
  // Separate, so that heartbeats do not change the draws of the core.
  RandomSource heartbeat_random;
  heartbeat::HeartbeatSender heartbeats;
  std::unique_ptr<entry::EntryCore> decisions;
};

}  // namespace acacialug::scenario

#endif  // SCENARIO_INTERNAL_ENTRY_HOST_H_
