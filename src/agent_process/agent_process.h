#ifndef AGENT_PROCESS_AGENT_PROCESS_H_
#define AGENT_PROCESS_AGENT_PROCESS_H_

#include <functional>
#include <memory>

#include "agent_process/types/agent_settings.h"
#include "agent_process/types/agent_status.h"
#include "engine/i_engine.h"
#include "framework/global/types/result.h"
#include "manifest/types/manifest.h"

namespace acacialug::agent_process {

struct AgentProcessOptions {
  AgentSettings settings;  // as WithManifest gave them
  std::shared_ptr<const manifest::Manifest> manifest;
  // The engine beside this agent; tests put a fake here.
  std::function<std::unique_ptr<engine::IEngine>(const engine::EngineOptions&)>
      make_engine;
  // Runs once: the drain that Drain began is over, and every answer has left.
  std::function<void()> on_drained;
};

// An AgentCore with its sockets, timer and engine around it. Everything runs
// on the thread that made it, whose Qt event loop must run.
class AgentProcess {
 public:
  explicit AgentProcess(AgentProcessOptions process_options);
  ~AgentProcess();

  // Listens for entries and operators and asks the engine what it holds.
  // Errors: kAddressInUse, kCertificateInvalid.
  Status Start();

  // Leaves: new work is refused, what runs goes on; on_drained follows, at the
  // latest after the settings' drain grace. Repeated calls change nothing.
  void Drain();

  // A newer manifest is in force.
  void OnManifest(std::shared_ptr<const manifest::Manifest> newest);

  // Loads the certificates anew, for connections from now on. Errors:
  // kCertificateInvalid (the old ones stay).
  Status ReloadTls();

  // Ports listened on. Precondition: Start succeeded.
  std::uint16_t port() const;
  std::uint16_t operations_port() const;

  AgentStatus status() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::agent_process

#endif  // AGENT_PROCESS_AGENT_PROCESS_H_
