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

// Makes every decision of an entry's shard, without sockets, threads or a
// clock: it takes typed input and `now`, and returns typed actions. The
// process, the scenarios and the random explorer all run this class.
//
// Each request gets exactly one final answer (AnswerEnd, AnswerCall or
// AnswerError), unless its caller disconnects first. The class is not thread
// safe; each shard has its own instance. `now` never goes backwards.
class EntryCore {
 public:
  EntryCore(EntryOptions options, RandomSource& random);
  ~EntryCore();

  // A newer manifest becomes active. Requests in progress keep the manifest
  // that was active when they arrived. Older offsets are ignored.
  void OnManifest(std::shared_ptr<const manifest::Manifest> newest,
                  Instant now);

  void OnGeneration(const GenerationArrived& arrived, Instant now);
  void OnCall(const CallArrived& arrived, Instant now);
  // The caller disconnected: everything held for the request is released.
  void OnCallerGone(RequestId request, Instant now);
  // The caller has taken the answer's pieces up to and including `index`.
  void OnDelivered(RequestId request, std::uint64_t index, Instant now);

  void OnEndpointConnected(const EndpointId& endpoint, Instant now);
  void OnEndpointClosed(const EndpointId& endpoint, Instant now);
  void OnMessage(const EndpointId& endpoint,
                 const protocol::AgentToEntry& message,
                 Instant now);

  // A heartbeat of the process renewed a session of this shard. A session that
  // has lapsed or was replaced in the meantime is not restored.
  void OnHeartbeat(const EndpointId& endpoint,
                   const heartbeat::SessionRenewal& renewal,
                   Instant now);
  // Sets the interval of session renewals, which follows from the byte budget
  // of the process. It is sent to the agents, which derive the leases from it.
  void SetRenewInterval(Duration interval);

  void OnClaimsAppended(const ClaimsAppended& appended, Instant now);
  void OnClaimsRead(const ClaimsRead& read, Instant now);

  // Returns a ticket that permits one run of a non-idempotent call and is bound
  // to an endpoint that is usable now. The ticket's age counts from
  // `wall_clock`, the time since 1970. Errors: kNotReady, kUnknownService,
  // kNoEndpoint.
  Result<std::string> IssueTicket(const ServiceName& service,
                                  std::chrono::milliseconds wall_clock,
                                  Instant now);

  // Replaces the set of hosts that the platform lists as leaving. Their
  // endpoints get no new work; running work continues.
  void OnLeavingHosts(const std::set<HostId>& hosts, Instant now);

  // Sets the number of live entries, from the host list or another source of
  // the process. Each entry grants its part of the callers' rate limits. The
  // number is 1 until the first call.
  void OnLiveEntries(std::uint32_t entries, Instant now);

  // Call at or after next_timer().
  void OnTimer(Instant now);

  // From now on new requests are refused as kDraining; requests in progress
  // continue.
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
