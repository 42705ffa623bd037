#ifndef GATEWAY_INTERNAL_WAITING_STREAMS_H_
#define GATEWAY_INTERNAL_WAITING_STREAMS_H_

#include <memory>
#include <set>
#include <unordered_map>

#include "gateway/internal/relay_context.h"
#include "gateway/internal/stream_relay.h"

namespace acacialug::gateway {

// The generations that have no place: lets them wait or turns them away, and
// places those who wait when there is room. Not thread safe.
class WaitingStreams {
 public:
  // `context` outlives this object.
  explicit WaitingStreams(RelayContext& relay_context)
      : context(relay_context) {}

  // A generation found no place. One that was let in once stays.
  void Add(const std::shared_ptr<StreamRelay>& relay);

  // Whether others wait that go first: who comes does not pass by those.
  bool AnyAheadOf(const StreamRelay& relay);

  // It has ended.
  void Remove(const Relay& relay);

  // There may be room at a service. Placed soon, and not from within the call:
  // who frees a place may take it again.
  void OnCapacityFreed(const ServiceName& service);

  // There may be room anywhere.
  void PlaceAll();

  std::size_t size() const { return this->waiting.size(); }

 private:
  Instant Now() const { return this->context.hooks.now(); }
  AdmissionQueue::Ticket TicketOf(const StreamRelay& relay);
  void LogDecision(const StreamRelay& relay,
                   const AdmissionQueue::Ticket& ticket,
                   const AdmissionQueue::Decision& decision) const;
  void PlaceSoon();
  void PlaceWaiting();
  void PlaceAt(AdmissionQueue& queue);
  void Watch();

  RelayContext& context;
  std::unordered_map<TicketId, std::shared_ptr<StreamRelay>> waiting;
  std::set<const Relay*> admitted;
  std::set<AdmissionQueue*> freed_queues;  // that may have room
  TimerId watch_timer = 0;
  TimerId soon_timer = 0;
  TicketId last_ticket = 0;
  bool placing = false;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_WAITING_STREAMS_H_
