#include "gateway/internal/waiting_streams.h"

#include <algorithm>
#include <utility>

namespace acacialug::gateway {
namespace {

// Interval at which the queues are polled even if no event arrives: a peer's
// release is known only from its load reports, which can be lost.
constexpr Duration kPollInterval = 40ms;
// Maximum wait of a generation that lost its placement after something was
// computed for it.
constexpr Duration kMaxResumeWait = 800ms;

}  // namespace

void WaitingStreams::Add(const std::shared_ptr<StreamRelay>& relay) {
  if (relay->AwaitsIntroduction()) {
    this->context.hooks.log(log::Level::kInfo, "stream_awaits_version",
                            {.request_name = relay->job().request.id,
                             .fields = {{"service", relay->job().service},
                                        {"age_ms", relay->Age()},
                                        {"left_ms", relay->TimeLeft()}}});
    this->awaiting_version.push_back(relay);
    this->SchedulePoll();
    return;
  }
  if (!relay->has_engine()) {
    relay->GiveUpUnplaced();
    return;
  }
  AdmissionQueue& queue = relay->job().state->queue;
  const AdmissionQueue::Ticket ticket = this->TicketOf(*relay);
  AdmissionQueue::Decision decision = queue.CheckAdmission(ticket);
  const bool was_admitted = this->admitted.contains(relay.get());
  if (was_admitted || ticket.rank == TicketRank::kResumed) {
    decision.admitted = true;
  }
  if (!was_admitted) {
    this->LogDecision(*relay, ticket, decision);
  }
  if (!decision.admitted) {
    relay->Refuse(ResultCode::kDeadlineUnreachable,
                  queue.NextRetryDelay(ticket.kv_tokens, relay->TimeLeft(),
                                       this->Now(), this->context.random));
    return;
  }
  this->admitted.insert(relay.get());
  queue.Push(ticket);
  this->waiting.emplace(ticket.id, relay);
  this->SchedulePoll();
}

bool WaitingStreams::AnyAheadOf(const StreamRelay& relay) {
  return relay.job().state->queue.AnyAheadOf(this->TicketOf(relay));
}

AdmissionQueue::Ticket WaitingStreams::TicketOf(const StreamRelay& relay) {
  const RelayJob& job = relay.job();
  AdmissionQueue::Ticket ticket{
      .id = ++this->last_ticket,
      .priority = job.urgency.value_or(job.priority),
      .rank = relay.late() ? TicketRank::kLate : TicketRank::kOnTime,
      .kv_tokens = relay.kv_tokens(),
      .arrived = job.arrived};
  if (relay.resumed()) {
    ticket.rank = TicketRank::kResumed;
    ticket.expires_at = this->Now() + kMaxResumeWait;
  }
  return ticket;
}

void WaitingStreams::LogDecision(
    const StreamRelay& relay,
    const AdmissionQueue::Ticket& ticket,
    const AdmissionQueue::Decision& decision) const {
  const RelayJob& job = relay.job();
  const double fill = this->context.streams.PoolFill(
      *job.traits->engine, this->context.catalog.ForService(job.service));
  std::vector<log::Field> fields{
      {"service", job.service},
      {"rank", NameOf(kTicketRankNames, ticket.rank)},
      {"urgency", relay.Urgency()},
      {"kept_places", relay.KeptPlaces()},
      {"urgent_per_second",
       job.state->urgency.DemandAbove(relay.Urgency(), this->Now())},
      {"waiting", job.state->queue.size()},
      {"waiting_tokens", job.state->queue.waiting_tokens()},
      {"pool_fill", fill},
      {"expected_wait_ms", decision.expected_wait},
      {"age_ms", relay.Age()},
      {"spent_ms", job.spent},
      {"left_ms", relay.TimeLeft()},
      {"peers", this->context.load_table.peers()}};
  for (log::Field& field : this->context.AvailabilityFields(job.service)) {
    fields.push_back(std::move(field));
  }
  this->context.hooks.log(
      decision.admitted ? log::Level::kInfo : log::Level::kWarning,
      decision.admitted ? "stream_waits" : "stream_turned_away",
      {.request_name = job.request.id, .fields = std::move(fields)});
}

void WaitingStreams::Remove(const Relay& relay) {
  this->admitted.erase(&relay);
  std::erase_if(this->awaiting_version,
                [&relay](const auto& entry) { return entry.get() == &relay; });
  const auto found = std::find_if(
      this->waiting.begin(), this->waiting.end(),
      [&relay](const auto& entry) { return entry.second.get() == &relay; });
  if (found != this->waiting.end()) {
    relay.job().state->queue.Remove(found->first);
    this->waiting.erase(found);
  }
}

void WaitingStreams::OnCapacityFreed(const ServiceName& service) {
  for (const auto& [ticket, relay] : this->waiting) {
    if (relay->job().service == service) {
      this->freed_queues.insert(&relay->job().state->queue);
      this->PlaceSoon();
      return;
    }
  }
}

void WaitingStreams::OnQuarantineBegun() {
  if (this->quarantine_timer == 0 && this->size() > 0) {
    this->quarantine_timer = this->context.timers.Set(this->Now(), [this] {
      this->quarantine_timer = 0;
      this->EndQuarantined();
    });
  }
}

// Copies, since a relay that ends is removed.
std::vector<std::shared_ptr<StreamRelay>> WaitingStreams::All() const {
  std::vector<std::shared_ptr<StreamRelay>> all = this->awaiting_version;
  for (const auto& [ticket, relay] : this->waiting) {
    all.push_back(relay);
  }
  return all;
}

void WaitingStreams::EndQuarantined() {
  for (const auto& relay : this->All()) {
    relay->EndIfQuarantined();
  }
}

void WaitingStreams::EndUnless(
    const std::function<bool(const RelayJob& job)>& may_wait) {
  for (const auto& relay : this->All()) {
    if (!relay->finished() && !may_wait(relay->job())) {
      relay->EndUnanswered();
    }
  }
}

void WaitingStreams::PlaceIntroduced() {
  for (const auto& relay : std::exchange(this->awaiting_version, {})) {
    if (relay->finished()) {
      continue;
    }
    if (relay->AwaitsIntroduction()) {
      this->awaiting_version.push_back(relay);
    } else if (this->AnyAheadOf(*relay) || !relay->TryPlace()) {
      this->Add(relay);
    }
  }
}

void WaitingStreams::PlaceSoon() {
  if (this->soon_timer == 0) {
    this->soon_timer = this->context.timers.Set(this->Now(), [this] {
      this->soon_timer = 0;
      this->PlaceWaiting();
    });
  }
}

void WaitingStreams::PlaceAll() {
  for (const auto& [ticket, relay] : this->waiting) {
    this->freed_queues.insert(&relay->job().state->queue);
  }
  this->PlaceWaiting();
}

void WaitingStreams::PlaceWaiting() {
  if (this->placing) {
    return;
  }
  this->placing = true;
  while (!this->freed_queues.empty()) {
    AdmissionQueue* const queue = *this->freed_queues.begin();
    this->freed_queues.erase(this->freed_queues.begin());
    this->PlaceAt(*queue);
  }
  this->placing = false;
}

void WaitingStreams::PlaceAt(AdmissionQueue& queue) {
  for (const TicketId ticket : queue.Expired(this->Now())) {
    const auto relay = this->waiting.at(ticket);
    relay->GiveUpWaiting();
  }
  while (const AdmissionQueue::Ticket* const front = queue.Front()) {
    const TicketId ticket = front->id;
    const auto relay = this->waiting.at(ticket);
    if (!relay->TryPlace()) {
      return;
    }
    queue.Remove(ticket);
    this->waiting.erase(ticket);
  }
}

void WaitingStreams::SchedulePoll() {
  if (this->poll_timer != 0) {
    return;
  }
  this->poll_timer =
      this->context.timers.Set(this->Now() + kPollInterval, [this] {
        this->poll_timer = 0;
        this->PlaceAll();
        this->PlaceIntroduced();
        if (this->size() > 0) {
          this->SchedulePoll();
        }
      });
}

}  // namespace acacialug::gateway
