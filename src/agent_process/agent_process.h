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
  // The engine beside this agent; tests put a fake here.
  std::function<std::unique_ptr<engine::IEngine>(const engine::EngineOptions&)>
      make_engine;
  // The platform's log, for the order in which a pool's endpoints go out of
  // service. Empty: there is none, and orders take no turns.
  std::function<std::unique_ptr<cluster::ILog>()> make_turns_log;
  // An entry spoke of a manifest of this offset, newer than the one in force.
  std::function<void(LogOffset)> on_manifest_heard;
  // Whether no entry has a session here; told when that changes.
  std::function<void(bool alone)> on_alone;
  // Whether what was given to OnManifest is the newest known; empty: always.
  std::function<bool()> configuration_ready;
  // Runs once: the drain that Drain began is over, and every answer has left.
  std::function<void()> on_drained;
};

// The agent of one endpoint: operations port from the start, entries' port
// from the first manifest on, which tells the endpoint's role. Everything
// runs on the thread that made it, whose Qt event loop must run.
class AgentProcess {
 public:
  explicit AgentProcess(AgentProcessOptions process_options);
  ~AgentProcess();

  // Listens for operators. Errors: kAddressInUse, kCertificateInvalid.
  Status Start();

  // A newer manifest is in force. The first makes the agent listen for
  // entries and ask its engine what it holds. Errors: kManifestInvalid when
  // the first does not fit this endpoint (a later one may), kAddressInUse,
  // kCertificateInvalid. Precondition: Start succeeded.
  Status OnManifest(const std::shared_ptr<const manifest::Manifest>& newest);

  // Leaves: new work is refused, what runs goes on; on_drained follows, at the
  // latest after the settings' drain grace. Repeated calls change nothing.
  void Drain();

  // Loads the certificates anew, for connections from now on. Errors:
  // kCertificateInvalid (the old ones stay).
  Status ReloadTls();

  // The port for entries; zero before the first manifest.
  std::uint16_t port() const;
  // Precondition: Start succeeded.
  std::uint16_t operations_port() const;

  AgentStatus status() const;

  // What every attempt holds here; none before the first manifest.
  std::vector<agent::HeldAttempt> holdings() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::agent_process

#endif  // AGENT_PROCESS_AGENT_PROCESS_H_
