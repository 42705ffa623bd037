#include "gateway/internal/reservation_request.h"

#include <algorithm>

namespace acacialug::gateway {
namespace {

// A reservation lasts for twice the expected time of the prefill that it waits
// for, plus this slack; endpoints grant two seconds at most.
constexpr Duration kLifetimeSlack = 400ms;
constexpr Duration kMaxLifetime = 2s;
// An endpoint grants or refuses within a round trip of a few milliseconds.
constexpr Duration kResponseTimeout = 250ms;
// Share of decode memory below which an endpoint may refuse for another reason
// than a lack of memory.
constexpr double kUnexpectedRefusalFill = 0.5;

}  // namespace

ReservationRequest::ReservationRequest(RelayContext& relay_context,
                                       StreamPlacement::Placement requested)
    : context(relay_context), requested_placement(std::move(requested)) {}

void ReservationRequest::Begin(Done on_done) {
  this->done = std::move(on_done);
  this->begun_at = this->Now();
  const Duration lifetime =
      std::min(kMaxLifetime,
               2 * this->requested_placement.prefill_time + kLifetimeSlack);
  auto self = this->shared_from_this();
  auto answered = std::make_shared<int>(0);
  this->exchange = this->context.sender.Send(
      this->requested_placement.decode,
      this->context.dialect.write_reserve(
          this->requested_placement.decode,
          this->requested_placement.decode_load.kv_tokens, lifetime),
      {.on_head = [answered](int status,
                             const http::Headers&) { *answered = status; },
       .on_end =
           [self, answered](const std::string& body) {
             self->OnAnswer(*answered, body);
           },
       .on_error = [self](const Error&, bool sent) { self->OnLost(sent); }});
  this->timer = this->context.timers.SetResponseTimer(
      this->begun_at, kResponseTimeout, [self] { self->OnResponseTimeout(); });
}

void ReservationRequest::Cancel() {
  this->done = nullptr;
  this->context.timers.Cancel(std::exchange(this->timer, 0));
  if (this->exchange != 0) {
    this->context.hooks.cancel(std::exchange(this->exchange, 0));
  }
}

void ReservationRequest::OnAnswer(int status, std::string_view body) {
  this->exchange = 0;
  const EndpointId& id = this->requested_placement.decode.id;
  this->context.health.NoteAnswer(id, this->Now());
  const auto name = this->context.dialect.read_reservation(status, body);
  if (name && this->context.catalog.Leaves(id)) {
    // It would end before the generation does.
    this->context.SendRelease(this->requested_placement.decode,
                              this->context.dialect.write_unreserve(*name));
    this->End(ReservationAnswer::kUnexpectedRefusal);
  } else if (name) {
    this->context.health.NoteCapacity(id);
    this->End(ReservationAnswer::kGranted, *name);
  } else if (this->requested_placement.decode_fill < kUnexpectedRefusalFill) {
    this->context.health.NoteUnexpectedRefusal(
        id, this->context.load_table.OldestReportAge(this->Now()), this->Now());
    this->End(ReservationAnswer::kUnexpectedRefusal);
  } else {
    this->context.health.NoteFull(id, this->Now());
    this->End(ReservationAnswer::kFull);
  }
}

void ReservationRequest::OnLost(bool sent) {
  this->exchange = 0;
  this->context.health.NoteLost(this->requested_placement.decode.id, sent,
                                this->Now());
  this->End(ReservationAnswer::kLost);
}

void ReservationRequest::OnResponseTimeout() {
  this->timer = 0;
  this->context.health.NoteUnreachable(this->requested_placement.decode.id,
                                       this->Now());
  this->context.hooks.drop_idle(this->requested_placement.decode.address);
  this->End(ReservationAnswer::kTimedOut);
}

void ReservationRequest::End(ReservationAnswer answer, std::string name) {
  const Done hook = std::move(this->done);
  this->Cancel();
  if (hook) {
    hook(answer, std::move(name));
  }
}

}  // namespace acacialug::gateway
