#ifndef AGENT_PROCESS_AGENT_PROCESS_H_
#define AGENT_PROCESS_AGENT_PROCESS_H_

#include <functional>
#include <memory>
#include <vector>

#include "agent/types/held_attempt.h"
#include "agent_process/types/agent_settings.h"
#include "agent_process/types/agent_status.h"
#include "cluster/i_log.h"
#include "engine/i_engine.h"
#include "framework/global/types/result.h"
#include "manifest/types/manifest.h"

namespace acacialug::agent_process {

struct AgentProcessOptions {
  AgentSettings settings;
  // The engine beside this agent; tests supply a fake.
  std::function<std::unique_ptr<engine::IEngine>(const engine::EngineOptions&)>
      make_engine;
  // The platform's log, which holds the maintenance queue of a pool's
  // endpoints. Empty: there is no log, and orders don't wait for the queue.
  std::function<std::unique_ptr<cluster::ILog>()> make_maintenance_log;
  // Runs when an entry reports a manifest of this offset, newer than the active
  // one.
  std::function<void(LogOffset)> on_newer_manifest;
  // Runs when the agent loses its last session with an entry, or gets its first
  // one again; `alone`: no entry has a session.
  std::function<void(bool alone)> on_alone;
  // Whether the manifest last given to OnManifest is the newest known; empty:
  // always.
  std::function<bool()> configuration_ready;
  // Runs once, when the drain that Drain began has finished and every answer
  // has been sent, or the time limit for sending has passed.
  std::function<void()> on_drained;
};

// The agent of one endpoint. The operations port is open from Start on, and the
// entries' port from the first manifest on, which defines the endpoint's role.
// Everything runs on the thread that created the object, whose Qt event loop
// must run.
class AgentProcess {
 public:
  explicit AgentProcess(AgentProcessOptions process_options);
  ~AgentProcess();

  // Opens the operations port. Errors: kAddressInUse, kCertificateInvalid.
  Status Start();

  // Applies a newer active manifest. The first makes the agent listen for
  // entries and query its engine for what it holds. Errors: kManifestInvalid
  // when the first does not fit this endpoint (a later one may), kAddressInUse,
  // kCertificateInvalid. Precondition: Start succeeded.
  Status OnManifest(const std::shared_ptr<const manifest::Manifest>& newest);

  // Begins the drain: new work is refused and running work continues.
  // on_drained follows, at the latest after the settings' drain grace. Repeated
  // calls change nothing.
  void Drain();

  // Reloads the certificates for new connections. Errors: kCertificateInvalid
  // (the old certificates stay active).
  Status ReloadTls();

  // The port for entries; zero before the first manifest.
  std::uint16_t port() const;
  // Precondition: Start succeeded.
  std::uint16_t operations_port() const;

  AgentStatus status() const;

  // The resources that each attempt holds here; none before the first manifest.
  std::vector<agent::HeldAttempt> holdings() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::agent_process

#endif  // AGENT_PROCESS_AGENT_PROCESS_H_
