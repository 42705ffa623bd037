#ifndef GATEWAY_INTERNAL_WAITING_STREAMS_H_
#define GATEWAY_INTERNAL_WAITING_STREAMS_H_

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "gateway/internal/relay_context.h"
#include "gateway/internal/stream_relay.h"

namespace acacialug::gateway {

// The generations that have no placement: queues or refuses them, and places
// the queued ones when capacity is free. Not thread safe.
class WaitingStreams {
 public:
  // `relay_context` outlives this object.
  explicit WaitingStreams(RelayContext& relay_context)
      : context(relay_context) {}

  // Queues or refuses a generation that found no placement. A generation that
  // was admitted before is always queued. One that waits for a version to be
  // introduced is not queued until then, so that it does not delay others.
  void Add(const std::shared_ptr<StreamRelay>& relay);

  // Whether generations wait that are served before this one. A new generation
  // does not overtake them.
  bool AnyAheadOf(const StreamRelay& relay);

  // Removes a relay that has ended.
  void Remove(const Relay& relay);

  // Capacity may be free at a service. Places waiting generations soon, but not
  // from within this call: the relay that released the capacity may take it
  // again.
  void OnCapacityFreed(const ServiceName& service);

  // Capacity may be free at any service.
  void PlaceAll();

  // Ends the generations that wait and that may not go on waiting.
  void EndUnless(const std::function<bool(const RelayJob& job)>& may_wait);

  // A request or a part of prompts was quarantined. Ends the generations that
  // wait with it soon, but not from within this call.
  void OnQuarantineBegun();

  std::size_t size() const {
    return this->waiting.size() + this->awaiting_version.size();
  }

 private:
  Instant Now() const { return this->context.hooks.now(); }
  AdmissionQueue::Ticket TicketOf(const StreamRelay& relay);
  void LogDecision(const StreamRelay& relay,
                   const AdmissionQueue::Ticket& ticket,
                   const AdmissionQueue::Decision& decision) const;
  void PlaceSoon();
  void PlaceWaiting();
  void PlaceAt(AdmissionQueue& queue);
  void SchedulePoll();
  std::vector<std::shared_ptr<StreamRelay>> All() const;
  void EndQuarantined();
  // Places, queues or refuses generations that need no longer wait for a
  // version to be introduced.
  void PlaceIntroduced();

  RelayContext& context;
  std::unordered_map<TicketId, std::shared_ptr<StreamRelay>> waiting;
  std::vector<std::shared_ptr<StreamRelay>> awaiting_version;
  std::set<const Relay*> admitted;
  std::set<AdmissionQueue*> freed_queues;  // of services that may have capacity
  TimerId poll_timer = 0;
  TimerId soon_timer = 0;
  TimerId quarantine_timer = 0;
  TicketId last_ticket = 0;
  bool placing = false;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_WAITING_STREAMS_H_
