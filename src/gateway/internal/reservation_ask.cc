#include "gateway/internal/reservation_ask.h"

#include <algorithm>

namespace acacialug::gateway {
namespace {

// A reservation outlives the prefill that it waits for by this much; endpoints
// grant two seconds at most.
constexpr Duration kSlack = 400ms;
constexpr Duration kLongest = 2s;
// An endpoint grants or refuses in a round trip of some milliseconds.
constexpr Duration kPatience = 250ms;
// An endpoint that refuses below this fill may do so for another reason.
constexpr double kFarFromFull = 0.5;

}  // namespace

ReservationAsk::ReservationAsk(RelayContext& relay_context,
                               StreamPlacement::Place asked)
    : context(relay_context), asked_place(std::move(asked)) {}

void ReservationAsk::Begin(Done on_done) {
  this->done = std::move(on_done);
  this->begun_at = this->Now();
  const Duration lifetime =
      std::min(kLongest, 2 * this->asked_place.prefill_time + kSlack);
  auto self = this->shared_from_this();
  auto answered = std::make_shared<int>(0);
  this->exchange = this->context.hooks.send(
      this->asked_place.decode.address,
      this->context.dialect.write_reserve(
          this->asked_place.decode, this->asked_place.decode_load.kv_tokens,
          lifetime),
      {.on_head = [answered](int status,
                             const http::Headers&) { *answered = status; },
       .on_end =
           [self, answered](const std::string& body) {
             self->OnAnswer(*answered, body);
           },
       .on_error = [self](const Error&, bool sent) { self->OnLost(sent); }});
  this->alarm = this->context.alarms.SetSilence(this->begun_at, kPatience,
                                                [self] { self->OnSilent(); });
}

void ReservationAsk::Cancel() {
  this->done = nullptr;
  this->context.alarms.Cancel(std::exchange(this->alarm, 0));
  if (this->exchange != 0) {
    this->context.hooks.cancel(std::exchange(this->exchange, 0));
  }
}

void ReservationAsk::OnAnswer(int status, std::string_view body) {
  this->exchange = 0;
  const EndpointId& id = this->asked_place.decode.id;
  this->context.health.NoteAnswer(id, this->Now());
  const auto name = this->context.dialect.read_reservation(status, body);
  if (name) {
    this->context.health.NoteRoom(id);
    this->End(ReservationAnswer::kGranted, *name);
  } else if (this->asked_place.decode_fill < kFarFromFull) {
    this->context.health.NoteUnwilling(
        id, this->context.book.OldestNews(this->Now()), this->Now());
    this->End(ReservationAnswer::kUnwilling);
  } else {
    this->context.health.NoteFull(id, this->Now());
    this->End(ReservationAnswer::kFull);
  }
}

void ReservationAsk::OnLost(bool sent) {
  this->exchange = 0;
  this->context.health.NoteLost(this->asked_place.decode.id, sent, this->Now());
  this->End(ReservationAnswer::kLost);
}

void ReservationAsk::OnSilent() {
  this->alarm = 0;
  this->context.health.NoteUnreachable(this->asked_place.decode.id,
                                       this->Now());
  this->context.hooks.drop_idle(this->asked_place.decode.address);
  this->End(ReservationAnswer::kSilent);
}

void ReservationAsk::End(ReservationAnswer answer, std::string name) {
  const Done hook = std::move(this->done);
  this->Cancel();
  if (hook) {
    hook(answer, std::move(name));
  }
}

}  // namespace acacialug::gateway
