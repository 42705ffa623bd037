#ifndef ENTRY_ENTRY_CORE_H_
#define ENTRY_ENTRY_CORE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "entry/types/entry_counters.h"
#include "entry/types/entry_messages.h"
#include "entry/types/entry_options.h"
#include "framework/global/random_source.h"
#include "framework/global/types/result.h"
#include "heartbeat/types/session_renewal.h"
#include "manifest/types/manifest.h"

namespace acacialug::entry {

// Every decision of an entry's shard, without sockets, threads or a clock:
// typed input and `now` in, typed actions out. The process, the scenarios and
// the random explorer all run this same class.
//
// Each request gets exactly one final answer (AnswerEnd, AnswerCall or
// AnswerError), unless its caller went away first. Not thread safe, one a
// shard; `now` never goes backwards.
class EntryCore {
 public:
  EntryCore(EntryOptions options, RandomSource& random);
  ~EntryCore();

  // A newer manifest is in force. Requests under way keep the one they began
  // under. Older offsets are ignored.
  void OnManifest(std::shared_ptr<const manifest::Manifest> newest,
                  Instant now);

  void OnGeneration(const GenerationArrived& arrived, Instant now);
  void OnCall(const CallArrived& arrived, Instant now);
  // The caller is gone: everything held for the request is given back.
  void OnCallerGone(RequestId request, Instant now);
  // The caller has taken the answer's pieces up to and including `index`.
  void OnDelivered(RequestId request, std::uint64_t index, Instant now);

  void OnEndpointConnected(const EndpointId& endpoint, Instant now);
  void OnEndpointClosed(const EndpointId& endpoint, Instant now);
  void OnMessage(const EndpointId& endpoint,
                 const protocol::AgentToEntry& message,
                 Instant now);

  // A heartbeat of the process renewed a session of this shard. One that has
  // lapsed by now, or given way to another, is not brought back.
  void OnHeartbeat(const EndpointId& endpoint,
                   const heartbeat::SessionRenewal& renewal,
                   Instant now);
  // How often sessions are to be renewed, by the byte budget of the process:
  // told to agents, which set the leases by it.
  void SetRenewInterval(Duration interval);

  void OnClaimsAppended(const ClaimsAppended& appended, Instant now);
  void OnClaimsRead(const ClaimsRead& read, Instant now);

  // A right to run one non-idempotent call, bound to an endpoint that is
  // usable now; `wall_clock`, the time since 1970, tells its age. Errors:
  // kNotReady, kUnknownService, kNoEndpoint.
  Result<std::string> IssueTicket(const ServiceName& service,
                                  std::chrono::milliseconds wall_clock,
                                  Instant now);

  // The hosts that the platform says are leaving (replaces what was told
  // before): their endpoints get no new work; what runs there goes on.
  void OnLeavingHosts(const std::set<HostId>& hosts, Instant now);

  // How many entries are live, by the host list or whatever the process knows:
  // each grants its part of the callers' rate limits. 1 until told.
  void OnLiveEntries(std::uint32_t entries, Instant now);

  // Call at or after next_timer().
  void OnTimer(Instant now);

  // Leaves: new requests are refused as kDraining, those alive go on.
  void BeginDrain(Instant now);
  bool drained() const;

  Instant next_timer() const;
  std::vector<EntryAction> TakeActions();
  std::size_t alive_requests() const;
  EntryCounters counters() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::entry

#endif  // ENTRY_ENTRY_CORE_H_
