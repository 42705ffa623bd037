#include <algorithm>
#include <utility>

#include "framework/global/hex_text.h"
#include "gateway/internal/stream_relay.h"

// The second half of a generation's way: its decode endpoint, and its events.
namespace acacialug::gateway {
namespace {

constexpr int kFirstServerError = 500;
// Peers are told of a stream's growth in steps of so many tokens.
constexpr std::uint64_t kCountedStep = 64;
// A decode endpoint that is silent for this many times what it needs to compute
// a preempted stream's memory again and make an event has lost the stream.
constexpr double kSilenceFactor = 3.0;
// And no sooner than after this: half of the shortest gap after which callers
// give a stream up.
constexpr Duration kLeastSilence = 1s;
// Callers bear a gap of this many objectives; half of it leaves time for
// another endpoint to go on.
constexpr double kBorneObjectives = 4.0;

}  // namespace

void StreamRelay::StartDecode(WorkStep step) {
  if (this->EndIfQuarantined()) {
    return;
  }
  ++this->outcome.sends;
  ++this->runs;
  this->decode_open = true;
  this->nature = AnswerNature::kUnproven;
  this->failure_body.clear();
  this->splitter.Clear();
  this->step_at = this->Now();
  this->events_here = 0;
  this->reserved_here = !this->reservation.empty();
  WorkOrder order{.step = step,
                  .time_left = this->TimeLeft(),
                  .reservation = std::exchange(this->reservation, {}),
                  .resume_after = this->last_event};
  if (step == WorkStep::kDecode) {
    order.export_name = this->prefilled->name;
    order.export_from = this->place->prefill->address;
  }
  auto self = this->Self();
  this->SendTo(
      this->place->decode, order,
      {.is_answer =
           [self, step](int answered, const http::Headers& head) {
             return self->context.dialect.judge_answer(self->work.request, step,
                                                       answered, head) !=
                    AnswerNature::kForeign;
           },
       .on_head =
           [self, step](int answered, const http::Headers& head) {
             self->nature = self->context.dialect.judge_answer(
                 self->work.request, step, answered, head);
             self->OnDecodeHead(answered, head);
           },
       .on_data = [self](std::string_view data) { self->OnDecodeData(data); },
       .on_end = [self](const std::string&) { self->OnDecodeEnd(); },
       .on_error = [self](const Error& error,
                          bool sent) { self->OnDecodeLost(error, sent); }});
  this->WatchForSilence();
}

void StreamRelay::WatchForSilence() {
  if (this->MayRunAgain()) {
    this->WatchPhase(this->SilencePatience(), [this] { this->OnSilent(); });
  }
}

Duration StreamRelay::SilencePatience() const {
  const forecast::ServiceForecast& forecast = this->work.state->forecast;
  const std::uint64_t held = this->Size().prompt_tokens +
                             std::uint64_t{this->outcome.events} *
                                 this->work.traits->engine->tokens_per_event;
  const Duration needed = forecast.LocalPrefillTime(held) +
                          forecast.FirstEvent() + forecast.Pause();
  const Duration borne =
      FromSeconds(kBorneObjectives / 2 * Seconds(this->work.route->objective));
  return std::max(kLeastSilence, std::min(borne, FromSeconds(kSilenceFactor *
                                                             Seconds(needed))));
}

void StreamRelay::OnDecodeHead(int answered, const http::Headers& head) {
  if (!this->begun) {
    this->status = answered;
    this->headers = head;
  }
  if (this->nature == AnswerNature::kSuccess) {
    this->prefilled.reset();  // fetched
  }
}

void StreamRelay::OnDecodeData(std::string_view data) {
  this->heard_since_silent = true;
  if (this->nature != AnswerNature::kSuccess) {
    this->failure_body += data;
    return;
  }
  for (const StreamEvent& event : this->splitter.Take(data)) {
    if (!this->DeliverEvent(event)) {
      return;
    }
  }
  if (this->splitter.overflowed()) {
    this->StopExchange();
    this->AfterRun(ResultCode::kEngineBadAnswer);
    return;
  }
  this->WatchForSilence();
}

void StreamRelay::LearnFromEvent() {
  forecast::ServiceForecast& forecast = this->work.state->forecast;
  const Instant now = this->Now();
  const bool prompt_now =
      this->context.book.Of(this->place->decode.id).prefill_tokens > 0;
  // An event that lay unread while this process stood still would read as a
  // slow engine, here and at the peers that are told.
  const bool own_time = this->context.alarms.StoodStill(
      this->events_here == 0 ? this->step_at : this->event_at, now);
  if (this->decode_held && this->place->decode_load.prefill_tokens > 0) {
    if (!this->last_event && !own_time) {
      forecast.NoteLocalPrefill(this->Size().prompt_tokens,
                                now - this->step_at);
    }
    this->CountOwnPrompt(0);
  } else if (own_time) {
    // Teaches nothing.
  } else if (this->events_here == 0) {
    forecast.NoteFirstEvent(now - this->step_at);
  } else {
    forecast.NotePause(now - this->event_at,
                       this->work.traits->engine->tokens_per_event,
                       prompt_now && this->prompt_there);
  }
  if (this->events_here == 0) {
    this->context.health.NoteBegun(this->place->decode.id);
  }
  this->prompt_there = prompt_now;
  ++this->events_here;
}

// False: the attempt is over.
bool StreamRelay::DeliverEvent(const StreamEvent& event) {
  if (event.id && this->last_event) {
    if (*event.id <= *this->last_event) {
      return true;  // the caller has it
    }
    if (*event.id != *this->last_event + 1) {
      this->StopExchange();
      this->AfterRun(ResultCode::kEngineBadAnswer);
      return false;
    }
  }
  if (!this->begun) {
    this->begun = true;
    this->outcome.first_byte = this->Age();
    this->work.responder->BeginStream(this->status,
                                      this->CallerHeaders(this->headers));
  }
  this->LearnFromEvent();
  if (event.id) {
    this->last_event = event.id;
  }
  const Instant now = this->Now();
  if (this->outcome.events > 0) {
    this->outcome.longest_pause =
        std::max(this->outcome.longest_pause, now - this->event_at);
  }
  this->event_at = now;
  ++this->outcome.events;
  this->NoteProgress();
  this->work.responder->SendData(event.bytes);
  return !this->over();
}

// A stream that is longer than expected takes more than it was counted with.
void StreamRelay::NoteProgress() {
  const std::uint64_t made = std::uint64_t{this->outcome.events} *
                             this->work.traits->engine->tokens_per_event;
  const std::uint64_t taken =
      this->context.streams.KvTokens(this->Size(), made);
  EndpointLoad& counted = this->place->decode_load;
  if (!this->decode_held || taken < counted.kv_tokens + kCountedStep) {
    return;
  }
  const EndpointLoad more{.kv_tokens = taken - counted.kv_tokens};
  this->context.book.Add(this->place->decode.id, more,
                         this->place->decode.born);
  this->work.state->queue.NoteTaken(more.kv_tokens);
  counted += more;
}

void StreamRelay::OnDecodeEnd() {
  this->ForgetExchange();
  this->EndPhase();
  this->decode_open = false;
  const EndpointId id = this->place->decode.id;
  switch (this->nature) {
    case AnswerNature::kSuccess:
      this->context.health.NoteSuccess(id, this->Now());
      if (!this->begun) {
        this->work.responder->BeginStream(this->status,
                                          this->CallerHeaders(this->headers));
        this->begun = true;
      }
      if (!this->splitter.rest().empty()) {
        this->work.responder->SendData(this->splitter.rest());
      }
      this->work.responder->EndStream();
      this->Finish(RelayEnd::kServed, ResultCode::kOk, this->status);
      return;
    case AnswerNature::kNotRun:
      if (this->reserved_here) {
        this->context.health.NoteBrokenPromise(id, this->Now());
      } else {
        this->context.health.NoteFull(id, this->Now());
      }
      if (this->prefilled) {
        this->context.health.NoteFailure(this->place->prefill->id, this->Now());
      }
      this->AfterNotRun();
      return;
    case AnswerNature::kMisplaced:
      this->context.health.NoteSilence(id, this->Now());
      this->AfterNotRun();
      return;
    case AnswerNature::kFailure:
      if (this->status >= kFirstServerError) {
        this->context.health.NoteFailure(id, this->Now());
      }
      if (this->status < kFirstServerError || !this->MayRunAgain()) {
        if (this->begun) {
          this->GiveUp(ResultCode::kEngineFailed);
        } else {
          this->PassOn(RelayEnd::kFailed, this->status, this->headers,
                       this->failure_body);
        }
        return;
      }
      this->AfterRun(ResultCode::kEngineFailed);
      return;
    case AnswerNature::kUnproven:
    case AnswerNature::kForeign:
      this->context.health.NoteFailure(id, this->Now());
      this->AfterRun(ResultCode::kEngineBadAnswer);
      return;
  }
}

void StreamRelay::OnDecodeLost(const Error& error, bool sent) {
  this->ForgetExchange();
  this->decode_open = false;
  this->NoteLost(this->place->decode, sent, this->nature);
  this->Note(log::Level::kWarning, "attempt_lost", this->place->decode.id,
             {{"sent", sent},
              {"after_ms", this->Now() - this->step_at},
              {"events", this->outcome.events},
              {"request_key", HexText(this->work.key.value)},
              {"detail", error.detail}},
             error.result_code());
  if (!sent || this->nature == AnswerNature::kNotRun) {
    this->AfterNotRun();
  } else {
    this->AfterRun(ResultCode::kEndpointLost);
  }
}

bool StreamRelay::MayMove() {
  return this->runs < this->work.route->max_endpoints &&
         this->outcome.sends < kMostSends && !this->Quarantined() &&
         this->work.state->budget.Allows(this->Now(), this->context.processes(),
                                         this->RepeatsOfAMove());
}

void StreamRelay::OnSilent() {
  const bool possible = this->MayMove();
  this->context.health.NoteSilence(this->place->decode.id, this->Now());
  this->Note(log::Level::kWarning, "attempt_silent", this->place->decode.id,
             {{"after_ms", this->Now() - this->step_at},
              {"events", this->outcome.events},
              {"goes_elsewhere", possible},
              {"request_key", HexText(this->work.key.value)},
              {"repeats", this->work.state->budget.repeats()}},
             ResultCode::kEndpointLost);
  this->heard_since_silent = false;
  if (possible) {
    this->AskElsewhere();
  } else {
    this->WatchForSilence();
  }
}

// A stream that was stopped first, and then found the budget of repeats used up
// or no room, was cut off; where it was it might have gone on, late, but whole.
// So memory is had elsewhere before anything is stopped.
void StreamRelay::AskElsewhere() {
  const auto chosen = this->FindPlace({this->place->decode.id});
  if (!chosen) {
    this->EndMove();
    this->WatchForSilence();
    return;
  }
  if (!this->context.dialect.write_reserve) {
    this->MoveTo(*chosen, {});
    return;
  }
  this->Ask(*chosen, [this](ReservationAnswer answer, const std::string& name) {
    this->OnAskedElsewhere(answer, name);
  });
}

void StreamRelay::OnAskedElsewhere(ReservationAnswer answer,
                                   const std::string& name) {
  const StreamPlacement::Place asked = this->asking->place();
  const bool granted = answer == ReservationAnswer::kGranted;
  if (this->heard_since_silent) {
    // OnDecodeData watches on.
    this->GiveBack(asked.decode, name);
    this->EndMove();
  } else if (granted) {
    this->MoveTo(asked, name);
  } else if (this->NoteRefused(answer)) {
    this->AskElsewhere();
  } else {
    this->EndMove();
    this->WatchForSilence();
  }
}

// An answer that came after the attempt's own end would start a second one
// beside the one that waits for a place by then.
void StreamRelay::EndMove() {
  this->StopAsking();
  this->EndRound();
}

void StreamRelay::MoveTo(const StreamPlacement::Place& granted,
                         const std::string& name) {
  if (!this->TakeRepeat()) {
    this->GiveBack(granted.decode, name);
    this->EndMove();
    this->WatchForSilence();
    return;
  }
  this->EndPhase();
  this->context.hooks.drop_idle(this->place->decode.address);
  this->StopExchange();
  this->decode_open = false;
  this->tried.push_back(this->place->decode.id);
  this->GiveDecodeBack();
  this->prefilled.reset();
  this->Take(granted);
  this->reservation = name;
  this->AfterReserve();
}

}  // namespace acacialug::gateway
