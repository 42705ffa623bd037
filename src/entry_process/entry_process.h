#ifndef ENTRY_PROCESS_ENTRY_PROCESS_H_
#define ENTRY_PROCESS_ENTRY_PROCESS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "entry_process/types/entry_process_options.h"
#include "framework/global/types/result.h"
#include "framework/metrics/registry.h"
#include "manifest/types/manifest.h"

namespace acacialug::entry_process {

// An entry process: the callers' port, the operations port, and for each thread
// a shard with its own EntryCore. Lives on the main thread with a running Qt
// event loop; no method is thread safe.
class EntryProcess {
 public:
  // `registry` outlives this object. `on_drained` runs once after Drain, when
  // every request has its answer and every connection has ended, or when
  // drain_grace has passed (`whole` is false: something was cut off).
  EntryProcess(EntryProcessOptions options,
               metrics::Registry& registry,
               std::function<void(bool whole)> on_drained);
  ~EntryProcess();

  // Listens on both ports. Errors: kAddressInUse, kCertificateInvalid.
  Status Start();

  // The ports listened on. Precondition: Start succeeded (and, for the
  // operations port, that there is one).
  std::uint16_t port() const;
  std::uint16_t operations_port() const;

  // Activates a newer manifest in all shards. `text`, unless empty, is shown to
  // peers that cannot reach the log.
  void SetManifest(const std::shared_ptr<const manifest::Manifest>& newest,
                   const std::string& text = {});

  // Sets the hosts that the platform reports as leaving: their endpoints get no
  // new work from now on.
  void SetLeavingHosts(const std::set<HostId>& hosts);

  // Starts to drain: /readyz fails at once; after drain_delay new requests are
  // refused and idle connections are closed; running requests continue to their
  // end. Safe to repeat.
  void Drain();

  // Loads the certificates again. Errors: kCertificateInvalid (the old
  // certificates stay in use).
  Status ReloadTls();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_ENTRY_PROCESS_H_
