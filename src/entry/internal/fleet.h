#ifndef ENTRY_INTERNAL_FLEET_H_
#define ENTRY_INTERNAL_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "entry/internal/endpoint_link.h"
#include "entry/internal/timer_set.h"
#include "manifest/types/manifest.h"
#include "placement/types/pick_rule.h"
#include "placement/working_set.h"
#include "retry/outlier_ejection.h"

namespace acacialug::entry {

// A request that lost its session with an endpoint.
struct LostWork {
  RequestId request;
  EndpointId endpoint;
};

// All endpoints that this entry knows: their sessions, their views, and which
// endpoints of a pool may get new work now. Not thread safe; `now` never goes
// backwards.
class Fleet {
 public:
  // Called when a pool of the service may have new free capacity.
  using CapacityHook = std::function<void(const ServiceName&)>;

  Fleet(const EntryOptions& entry_options,
        RandomSource& random_source,
        std::vector<EntryAction>& action_list,
        CapacityHook on_capacity_freed);

  // Connects to the working set of the newest manifest. Sessions outside it
  // last until no request needs them.
  void Apply(std::shared_ptr<const manifest::Manifest> newest, Instant now);

  void SetLeavingHosts(const std::set<HostId>& hosts);
  void OnConnected(const EndpointId& endpoint, Instant now);
  void OnClosed(const EndpointId& endpoint, Instant now);
  // Handles the parts that concern the session or the load. Returns true when
  // the message contains nothing else.
  bool OnMessage(const EndpointId& endpoint,
                 const protocol::AgentToEntry& message,
                 Instant now);
  // A heartbeat of the process renewed a session.
  void OnHeartbeat(const EndpointId& endpoint,
                   const heartbeat::SessionRenewal& renewal,
                   Instant now);
  // The agent reported that it has no session of this entry: opens a new one.
  void Reopen(const EndpointId& endpoint, Instant now);
  void OnTimer(Instant now);
  Instant NextTimer() const;
  // This process stalled: no connection that is being opened times out before
  // this instant. Sessions still lapse by their leases.
  void DeferTimeouts(Instant no_timeout_before);

  // Returns the requests that lost a session since the last call.
  std::vector<LostWork> TakeLost();

  // Usable() returns the endpoints that may get new work, Members() the number
  // of endpoints in the manifest (0: the service has no such pool).
  placement::Candidates Usable(const ServiceName& service,
                               protocol::EndpointRole role) const;
  std::size_t Members(const ServiceName& service,
                      protocol::EndpointRole role) const;

  // True when a session is open and its lease has not lapsed.
  bool Open(const EndpointId& endpoint, Instant now) const;
  // The agent's incarnation; zero when no session is open.
  Incarnation AgentOf(const EndpointId& endpoint) const;
  // Returns the endpoint's service; null when neither the manifest nor a
  // current session has the endpoint. Valid until the next Apply.
  const ServiceName* ServiceOf(const EndpointId& endpoint) const;
  // Null for an unknown endpoint.
  placement::EndpointView* View(const EndpointId& endpoint);

  // Sends when the session is open and its lease has not lapsed; else does
  // nothing and returns false.
  bool Send(const EndpointId& endpoint,
            protocol::EntryToAgent message,
            Instant now);

  // The request needs the session from here on; connects on demand.
  void Attach(const EndpointId& endpoint,
              const RequestId& request,
              Instant now);
  void Detach(const EndpointId& endpoint, const RequestId& request);

  std::uint64_t SessionsLost() const { return this->sessions_lost; }

  // Input of the outlier ejection. `latency` is a multiple of the expected
  // latency, or in any unit that is the same for the whole pool.
  void NoteSuccess(const EndpointId& endpoint, double latency);
  void NoteFailure(const EndpointId& endpoint, Instant now);

 private:
  using PoolKey = std::pair<ServiceName, protocol::EndpointRole>;

  struct Member;
  struct Pool {
    std::vector<Member*> members;
    std::vector<placement::EndpointView*> usable;
    retry::OutlierEjection ejection{{}};
    std::size_t listed = 0;  // in the manifest, working set or not
  };
  struct Member {
    manifest::Endpoint record;
    EndpointLink link;
    placement::EndpointView view;
    bool wanted = false;   // in the working set
    bool leaving = false;  // as the agent reports it
    Instant leaving_at{};  // when `leaving` last changed
    std::set<RequestId> attached;
  };

  Member* Find(const EndpointId& endpoint);
  const Member* Find(const EndpointId& endpoint) const;
  Member& FindOrAdd(const manifest::Endpoint& record);
  Pool& PoolOf(const Member& member);
  void ChooseWorkingSets();
  void DropUnneeded(Member& member);
  void Rebuild(Pool& pool);
  void NoteLoad(Member& member,
                const protocol::EndpointLoad& load,
                Instant now);
  void SetLeaving(Member& member, bool leaving, Instant now);
  void LoseSession(Member& member);
  void Rearm(const Member& member);
  void Sweep(Instant now);
  LogOffset Offset() const;

  const EntryOptions& options;
  RandomSource& random;
  std::vector<EntryAction>& actions;
  CapacityHook capacity_hook;
  std::shared_ptr<const manifest::Manifest> manifest;  // active; or null
  placement::WorkingSet working_set;
  std::set<HostId> leaving_hosts;  // by the platform's list
  std::map<EndpointId, std::unique_ptr<Member>> members;
  std::map<PoolKey, Pool> pools;
  TimerSet<EndpointId> timers;
  Instant sweep_at = kNever;
  std::vector<LostWork> lost;
  std::uint64_t sessions_lost = 0;
};

}  // namespace acacialug::entry

#endif  // ENTRY_INTERNAL_FLEET_H_
