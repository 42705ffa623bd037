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

// All endpoints that this entry knows: sessions, views, and which of a pool
// may get new work now. Not thread safe; `now` never goes backwards.
class Fleet {
 public:
  // `on_capacity_freed`: a pool of the service may have room that it had not
  // before.
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
  // Takes what concerns the session or the load; true when the message is
  // about nothing else.
  bool OnMessage(const EndpointId& endpoint,
                 const protocol::AgentToEntry& message,
                 Instant now);
  // A heartbeat of the process renewed a session.
  void OnHeartbeat(const EndpointId& endpoint,
                   const heartbeat::SessionRenewal& renewal,
                   Instant now);
  // The agent says that it has no session of ours: begins a new one.
  void Reopen(const EndpointId& endpoint, Instant now);
  void OnTimer(Instant now);
  Instant NextTimer() const;
  // This process stood still: no connection that is being opened is given up
  // before. Sessions lapse as ever, by their leases.
  void DeferTimeouts(Instant no_timeout_before);

  // The requests that lost a session since the last call.
  std::vector<LostWork> TakeLost();

  // Endpoints that may get new work, and how many the manifest has (0: the
  // service has no such pool).
  placement::Candidates Usable(const ServiceName& service,
                               protocol::EndpointRole role) const;
  std::size_t Members(const ServiceName& service,
                      protocol::EndpointRole role) const;

  // True when a session is open and its lease not lapsed.
  bool Open(const EndpointId& endpoint, Instant now) const;
  // The agent's incarnation; zero when no session is open.
  Incarnation AgentOf(const EndpointId& endpoint) const;
  // Whose endpoint it is; null when neither the manifest nor a session under
  // way knows it. Valid until the next Apply.
  const ServiceName* ServiceOf(const EndpointId& endpoint) const;
  // Null for an unknown endpoint.
  placement::EndpointView* View(const EndpointId& endpoint);

  // Sends when the session is open and its lease not lapsed, else does
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

  // What the outlier rules judge by. `latency` as a multiple of the expected,
  // or in any unit that is the same for the pool.
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
    bool leaving = false;  // by its own word
    Instant leaving_at{};  // when it last said so for the first time
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
  std::shared_ptr<const manifest::Manifest> manifest;  // in force; or null
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
