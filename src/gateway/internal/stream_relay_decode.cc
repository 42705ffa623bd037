#include <algorithm>
#include <utility>

#include "framework/global/append_bytes.h"
#include "framework/global/hex_text.h"
#include "gateway/internal/event_stream.h"
#include "gateway/internal/stream_relay.h"

// The second half of a generation: its decode and its answer.
namespace acacialug::gateway {
namespace {

constexpr int kFirstServerError = 500;
// A stream's growth is counted, and reported to peers, in steps of this size.
constexpr std::uint64_t kCountedStepTokens = 64;
// A decode endpoint has lost a stream when it sends nothing for this many times
// what it needs to compute a preempted stream's memory again and make an event.
constexpr double kResponseTimeoutFactor = 3.0;
// Half of the shortest gap after which callers abandon a stream.
constexpr Duration kMinResponseTimeout = 1s;
// Callers tolerate a gap of this many objectives; half of it leaves time for
// another endpoint to continue the stream.
constexpr double kMaxGapObjectives = 4.0;

}  // namespace

void StreamRelay::StartDecode(WorkStep step) {
  if (!this->MaySend(this->placement->decode,
                     this->arrivals.UncoveredByRun())) {
    return;
  }
  ++this->outcome.sends;
  ++this->runs;
  this->NoteOrigin(this->placement->decode);
  this->decode_open = true;
  this->nature = AnswerNature::kUnproven;
  this->DropIncomplete();
  this->step_at = this->Now();
  this->attempt_events = 0;
  this->answering = false;
  this->has_events = false;
  this->left = false;
  this->attempt_reserved = !this->reservation.empty();
  this->continued_after = this->last_event;
  WorkOrder order{.step = step,
                  .time_left = this->TimeLeft(),
                  .reservation = std::exchange(this->reservation, {}),
                  .resume_after = this->last_event};
  if (step == WorkStep::kDecode) {
    order.export_name = this->prefilled->name;
    order.export_from = this->placement->prefill->address;
  }
  auto self = this->Self();
  this->SendTo(
      this->placement->decode, order,
      {.on_head =
           [self, step](int answered, const http::Headers& head) {
             self->nature = self->context.dialect.judge_answer(
                 self->work.request, step, answered, head);
             self->OnDecodeHead(answered, head);
           },
       .on_unframed =
           [self] {
             self->NoteUnframed(self->placement->decode, self->nature,
                                self->step_at);
           },
       .on_data = [self](std::string_view data) { self->OnDecodeData(data); },
       .on_end = [self](const std::string&) { self->OnDecodeEnd(); },
       .on_error = [self](const Error& error,
                          bool sent) { self->OnDecodeLost(error, sent); }});
  this->StartResponseTimer();
}

// Events without ids, or whose ids don't increase, give another endpoint
// nothing to continue after.
bool StreamRelay::MayResume() const {
  return this->MayRunAgain() && !this->unnumbered;
}

void StreamRelay::StartResponseTimer() {
  if (this->MayResume()) {
    this->SetPhaseTimer(this->ResponseTimeout(),
                        [this] { this->OnResponseTimeout(); });
  }
}

Duration StreamRelay::ResponseTimeout() const {
  const forecast::ServiceForecast& forecast = this->work.state->forecast;
  if (!IsStream(this->work.route->kind)) {
    const Duration usual = StreamPlacement::LikelyTime(
        this->Size(), this->work.state->length_ratio.value(), forecast);
    return FromSeconds(std::max(
        kResponseTimeoutObjectives * Seconds(this->work.route->objective),
        kResponseTimeoutFactor * Seconds(usual)));
  }
  if (!this->has_engine()) {
    return this->HalfOfMaxGap();
  }
  const std::uint64_t held = this->Size().prompt_tokens + this->TokensMade();
  const Duration needed = forecast.LocalPrefillTime(held) +
                          forecast.FirstEvent() + forecast.Pause();
  return std::min(
      this->HalfOfMaxGap(),
      std::max(kMinResponseTimeout,
               FromSeconds(kResponseTimeoutFactor * Seconds(needed))));
}

Duration StreamRelay::HalfOfMaxGap() const {
  return std::max(kMinResponseTimeout,
                  FromSeconds(kMaxGapObjectives / 2 *
                              Seconds(this->work.route->objective)));
}

// The other half is for an endpoint that continues the stream. If none may,
// half of that is enough to end the answer.
Duration StreamRelay::EndPatience() const {
  const Duration half = this->HalfOfMaxGap();
  return this->MayResume() ? half : half + half / 2;
}

void StreamRelay::OnDecodeHead(int answered, const http::Headers& head) {
  if (!this->begun) {
    this->status = answered;
    this->headers = head;
  }
  if (this->nature != AnswerNature::kSuccess) {
    return;
  }
  this->prefilled.reset();  // the decode endpoint has fetched it
  this->has_events = IsStream(this->work.route->kind) && IsEventStream(head);
  if (this->begun && !this->has_events) {
    // It can't be joined to the events that the caller has received.
    this->nature = AnswerNature::kUnproven;
  }
}

void StreamRelay::OnDecodeData(std::string_view data) {
  this->received_since_timeout = true;
  if (this->departure) {
    this->EndMigration();
  }
  if (this->nature != AnswerNature::kSuccess || !this->has_events) {
    this->OnCollectedData(data);
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
  this->StartResponseTimer();
  // Last, since it may end the attempt.
  this->HoldAnswer(this->incomplete_bytes() +
                   this->work.responder->unsent_bytes());
}

void StreamRelay::OnCollectedData(std::string_view data) {
  AppendBytes(this->collected, data);
  if (this->nature == AnswerNature::kSuccess) {
    this->CountLocalPrefill(0);
    this->StartResponseTimer();
  }
  this->HoldAnswer(this->incomplete_bytes());
}

std::size_t StreamRelay::incomplete_bytes() const {
  return this->collected.size() + this->splitter.rest().size();
}

void StreamRelay::DropIncomplete() {
  FreeBytes(this->collected);
  this->splitter.Clear();
  this->HoldAnswer(0);
}

// The endpoint's bytes don't end, or the caller takes its events too slowly;
// another endpoint would help only in the first case.
void StreamRelay::OnAnswerTooLong() {
  const std::size_t incomplete = this->incomplete_bytes();
  const std::size_t unsent = this->work.responder->unsent_bytes();
  this->Log(log::Level::kWarning, "answer_too_long", this->placement->decode.id,
            {{"bytes", incomplete},
             {"unsent_bytes", unsent},
             {"events", this->outcome.events},
             {"after_ms", this->Now() - this->step_at}},
            ResultCode::kEngineBadAnswer);
  this->StopExchange();
  this->DropIncomplete();
  if (unsent >= incomplete) {
    this->GiveUp(ResultCode::kEngineBadAnswer);
    return;
  }
  this->context.health.NoteFailure(this->placement->decode.id, this->Now());
  this->AfterRun(ResultCode::kEngineBadAnswer);
}

void StreamRelay::LearnFromEvent() {
  if (this->attempt_events == 0) {
    this->context.health.NoteStarted(this->placement->decode.id);
  }
  if (this->has_engine()) {
    this->LearnOfEngine();
  }
  ++this->attempt_events;
}

void StreamRelay::LearnOfEngine() {
  forecast::ServiceForecast& forecast = this->work.state->forecast;
  const Instant now = this->Now();
  const bool prefill_now =
      this->context.load_table.TotalAt(this->placement->decode.id)
          .prefill_tokens > 0;
  // An event that lay unread during a stall of this process would look like a
  // slow engine, here and at the peers that receive the forecast.
  const bool stalled = this->context.timers.StalledBetween(
      this->attempt_events == 0 ? this->step_at : this->event_at, now);
  if (this->decode_held && this->placement->decode_load.prefill_tokens > 0) {
    if (!this->last_event && !stalled) {
      forecast.NoteLocalPrefill(this->Size().prompt_tokens,
                                now - this->step_at);
    }
    this->CountLocalPrefill(0);
  } else if (stalled) {
    // The time includes a process stall and is no evidence of the engine's
    // speed.
  } else if (this->attempt_events == 0) {
    forecast.NoteFirstEvent(now - this->step_at);
  } else {
    const std::uint32_t tokens = this->TokensPerEvent();
    forecast.NotePause(now - this->event_at, tokens,
                       prefill_now && this->prefill_at_last_event);
    this->context.paces.Note(LoadTable::KeyOf(this->placement->decode.id),
                             1000 * Seconds(now - this->event_at) /
                                 (std::max(tokens, 1U) * forecast.TokenMs()),
                             now);
  }
  this->prefill_at_last_event = prefill_now;
}

void StreamRelay::LearnFromLength() {
  const GenerationSize size = this->Size();
  if (this->has_engine() && size.expected_output_tokens > 0 &&
      !this->work.request.resume_after) {
    this->work.state->length_ratio.Note(
        static_cast<double>(this->TokensMade()) /
        static_cast<double>(size.expected_output_tokens));
  }
}

// Returns false when the attempt has ended.
bool StreamRelay::DeliverEvent(const StreamEvent& event) {
  if (event.id && this->continued_after &&
      *event.id <= *this->continued_after) {
    return true;  // the caller has received it before
  }
  if (!this->TakeVersion(event)) {
    return false;
  }
  if (!this->begun) {
    this->outcome.first_byte = this->Age();
    this->BeginAnswer();
  }
  this->LearnFromEvent();
  // Ids increase, by any step: endpoints may number events by tokens.
  const bool in_order = !event.id || this->last_event < event.id;
  this->last_event = std::max(this->last_event, event.id);
  if (!event.only_comments && !std::exchange(this->answering, true)) {
    this->context.quarantine.NoteBegun(this->work.subjects, this->work.service);
  }
  this->received_event = this->received_event || !event.only_comments;
  this->unnumbered =
      this->unnumbered || !in_order || (!event.id && !event.only_comments);
  this->NoteVersion();
  const Instant now = this->Now();
  if (this->outcome.events > 0) {
    this->outcome.longest_pause =
        std::max(this->outcome.longest_pause, now - this->event_at);
  }
  this->event_at = now;
  ++this->outcome.events;
  this->NoteProgress();
  this->work.responder->SendData(event.bytes);
  return !this->finished();
}

// The record may be older than the endpoint's process.
bool StreamRelay::TakeVersion(const StreamEvent& event) {
  const EndpointRecord& decode = this->placement->decode;
  const EndpointRecord* const current = this->context.catalog.Find(decode.id);
  const bool replaced =
      current != nullptr &&
      (IsRestart(decode.started_at_ms, current->started_at_ms) ||
       current->software_version != decode.software_version);
  if (replaced && this->attempt_events == 0) {
    this->StopExchange();
    this->AfterRun(ResultCode::kEndpointLost);
    return false;
  }
  if (!this->version && !event.only_comments) {
    this->version =
        origin::VersionKeyOf(decode.service, decode.software_version);
  }
  return true;
}

void StreamRelay::NoteVersion() {
  std::vector<std::string>& versions = this->outcome.software_versions;
  const std::string& current = this->placement->decode.software_version;
  if (std::find(versions.begin(), versions.end(), current) == versions.end()) {
    versions.push_back(current);
  }
}

// Counts the additional memory of a stream that is longer than expected.
void StreamRelay::NoteProgress() {
  if (!this->has_engine()) {
    return;
  }
  const std::uint64_t taken =
      this->context.streams.KvTokens(this->Size(), this->TokensMade());
  EndpointLoad& counted = this->placement->decode_load;
  if (!this->decode_held || taken < counted.kv_tokens + kCountedStepTokens) {
    return;
  }
  const EndpointLoad more{.kv_tokens = taken - counted.kv_tokens};
  this->context.load_table.Add(this->placement->decode.id, more,
                               this->placement->decode.started_at_ms);
  this->work.state->queue.NoteAllocated(more.kv_tokens);
  counted += more;
}

void StreamRelay::BeginAnswer() {
  this->begun = true;
  const http::Headers forwarded = this->CallerHeaders(this->headers);
  if (this->unframed) {
    this->work.responder->BeginUnframedStream(this->status, forwarded);
  } else {
    this->work.responder->BeginStream(this->status, forwarded);
  }
}

// The connection of an endpoint that crashes ends in order too. A generation
// has at least one event, unless the caller had all of them before.
bool StreamRelay::BrokeOff() const {
  if (!this->has_events) {
    return false;
  }
  const bool never_began =
      !this->received_event && !this->work.request.resume_after.has_value();
  return this->unframed && (never_began || this->splitter.inside_event());
}

void StreamRelay::OnDecodeEnd() {
  // Nothing else tells a stream that was dropped from one that is whole.
  if (this->left && this->unframed) {
    this->OnLeft();
    return;
  }
  this->ForgetExchange();
  this->CancelPhaseTimer();
  this->decode_open = false;
  this->outcome.partial_event_bytes = this->splitter.rest().size();
  const EndpointId id = this->placement->decode.id;
  switch (this->nature) {
    case AnswerNature::kSuccess:
      if (this->BrokeOff()) {
        this->OnDecodeLost(Error(ResultCode::kConnectionLost,
                                 "the connection ended inside the stream"),
                           true);
        return;
      }
      if (this->unframed) {
        this->ConfirmEnd(this->EndPatience(),
                         [this](const EndConfirmation::Outcome& confirmed) {
                           this->OnEndConfirmed(confirmed);
                         });
      } else {
        this->EndWhole();
      }
      return;
    case AnswerNature::kNotRun:
      if (this->attempt_reserved) {
        this->context.health.NoteBrokenReservation(id, this->Now());
      } else {
        this->context.health.NoteFull(id, this->Now());
      }
      if (this->prefilled) {
        this->context.health.NoteFailure(this->placement->prefill->id,
                                         this->Now());
      }
      this->AfterNotRun();
      return;
    case AnswerNature::kMisplaced:
      this->context.health.NoteTimeout(id, this->Now());
      this->AfterNotRun();
      return;
    case AnswerNature::kFailure:
      if (this->status >= kFirstServerError) {
        this->context.health.NoteFailure(id, this->Now());
      }
      if (this->status < kFirstServerError || !this->MayResume()) {
        if (this->begun) {
          this->GiveUp(ResultCode::kEngineFailed);
        } else {
          this->ForwardFailure(this->status, this->headers, this->collected);
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

void StreamRelay::OnEndConfirmed(const EndConfirmation::Outcome& confirmed) {
  this->Log(log::Level::kInfo, "stream_ended_unframed",
            this->placement->decode.id,
            {{"endpoint_state", NameOf(kRunStateNames, confirmed.answer.state)},
             {"same_process", confirmed.same_process},
             {"born_unix_ms", confirmed.answer.started_at_ms},
             {"events", this->outcome.events},
             {"after_ms", this->Now() - this->step_at}});
  if (confirmed.whole) {
    this->EndWhole();
    return;
  }
  this->NoteAttemptLost(
      Error(ResultCode::kConnectionLost, "the endpoint ended with the stream"),
      true);
  this->AfterRunEnded(ResultCode::kEndpointLost);
}

void StreamRelay::EndWhole() {
  this->context.health.NoteSuccess(this->placement->decode.id, this->Now());
  if (!this->has_events) {
    this->ForwardCollected();
    return;
  }
  if (!this->begun) {
    this->BeginAnswer();
  }
  if (!this->splitter.rest().empty()) {
    this->work.responder->SendData(this->splitter.rest());
  }
  this->work.responder->EndStream();
  this->LearnFromLength();
  this->Finish(RelayEnd::kServed, ResultCode::kOk, this->status);
}

void StreamRelay::ForwardCollected() {
  this->context.health.NoteStarted(this->placement->decode.id);
  this->context.quarantine.NoteBegun(this->work.subjects, this->work.service);
  this->ForwardAnswer(RelayEnd::kServed, this->status, this->headers,
                      std::move(this->collected));
}

void StreamRelay::OnDecodeLost(const Error& error, bool sent) {
  if (this->left) {
    this->OnLeftLost();
    return;
  }
  this->ForgetExchange();
  this->decode_open = false;
  this->NoteAttemptLost(error, sent);
  if (!sent || this->nature == AnswerNature::kNotRun) {
    this->AfterNotRun();
  } else {
    this->AfterRun(ResultCode::kEndpointLost);
  }
}

void StreamRelay::NoteAttemptLost(const Error& error, bool sent) {
  this->outcome.partial_event_bytes = this->splitter.rest().size();
  this->NoteLost(this->placement->decode, error, sent, this->nature,
                 this->answering);
  this->Log(log::Level::kWarning, "attempt_lost", this->placement->decode.id,
            {{"sent", sent},
             {"after_ms", this->Now() - this->step_at},
             {"events", this->outcome.events},
             {"request_key", HexText(this->work.subjects.request.value)},
             {"prompt_parts", this->PartsText()},
             {"part_keys", this->PartKeysText()},
             {"detail", error.detail}},
            error.result_code());
}

bool StreamRelay::MayMigrate() {
  return this->runs < this->work.route->max_endpoints &&
         this->outcome.sends < kMaxSends && !this->Quarantined() &&
         this->work.state->budget.Allows(
             this->Now(), this->context.processes(),
             this->arrivals.UncoveredByPrefillAndRun());
}

void StreamRelay::OnResponseTimeout() {
  const bool possible = this->MayMigrate();
  this->context.health.NoteTimeout(this->placement->decode.id, this->Now());
  this->Log(log::Level::kWarning, "attempt_silent", this->placement->decode.id,
            {{"after_ms", this->Now() - this->step_at},
             {"events", this->outcome.events},
             {"goes_elsewhere", possible},
             {"request_key", HexText(this->work.subjects.request.value)},
             {"repeats", this->work.state->budget.repeats()}},
            ResultCode::kEndpointLost);
  this->received_since_timeout = false;
  if (possible) {
    this->RequestElsewhere();
  } else {
    this->StartResponseTimer();
  }
}

// Memory is reserved elsewhere before anything is stopped. A stream that is
// stopped first, and then finds the repeat budget used up or no free capacity,
// is cut off; at its endpoint it might have continued, late but complete.
void StreamRelay::RequestElsewhere() {
  const auto chosen = this->FindPlacement({this->placement->decode.id});
  if (!chosen) {
    this->EndMigration();
    this->StartResponseTimer();
    return;
  }
  if (!this->Reserves()) {
    this->LeaveFor(*chosen, {});
    return;
  }
  this->RequestReservation(
      *chosen, [this](ReservationAnswer answer, const std::string& name) {
        this->OnElsewhereAnswer(answer, name);
      });
}

void StreamRelay::OnElsewhereAnswer(ReservationAnswer answer,
                                    const std::string& name) {
  const StreamPlacement::Placement requested =
      this->reservation_request->placement();
  const bool granted = answer == ReservationAnswer::kGranted;
  if (this->received_since_timeout) {
    // OnDecodeData has restarted the response timer.
    this->ReleaseReservationAt(requested.decode, name);
    this->EndMigration();
  } else if (granted) {
    this->LeaveFor(requested, name);
  } else if (this->NoteRefused(answer)) {
    this->RequestElsewhere();
  } else {
    this->EndMigration();
    this->StartResponseTimer();
  }
}

// Without this, an answer that arrives after the attempt's own end would start
// a second attempt beside the one that waits for a placement by then.
void StreamRelay::EndMigration() {
  this->CancelReservationRequest();
  this->EndRound();
  if (const auto ended = std::exchange(this->run_query, nullptr)) {
    ended->Cancel();
  }
  if (const auto given_up = std::exchange(this->departure, std::nullopt)) {
    this->ReleaseReservationAt(given_up->to.decode, given_up->reservation);
  }
}

void StreamRelay::QueryRun(RunQuery::Options options, RunQuery::Done on_done) {
  options.endpoint = this->placement->decode;
  options.request = this->work.request.id;
  this->run_query =
      std::make_shared<RunQuery>(this->context, std::move(options));
  // A weak pointer: this relay owns the query, as it owns the reservation
  // request.
  this->run_query->Begin([weak = this->weak_from_this(),
                          done = std::move(on_done)](const RunAnswer& answer) {
    if (const auto self = weak.lock()) {
      done(answer);
    }
  });
}

void StreamRelay::LeaveFor(const StreamPlacement::Placement& granted,
                           const std::string& name) {
  if (!this->TakeRepeat()) {
    this->ReleaseReservationAt(granted.decode, name);
    this->EndMigration();
    this->StartResponseTimer();
    return;
  }
  this->CancelPhaseTimer();
  this->departure = {.to = granted, .reservation = name};
  this->left = true;
  this->EndSending();
  this->QueryRun(
      {.wait = RunQuery::kCloseWait},
      [this](const RunAnswer& answer) { this->OnRunQueried(answer); });
}

void StreamRelay::OnRunQueried(const RunAnswer& answer) {
  this->LogRunQueried(answer);
  if (answer.state != RunState::kRuns) {
    this->Migrate();
  } else if (this->decode_open) {
    this->EndMigration();
    this->StartResponseTimer();
  } else {
    this->AfterRun(ResultCode::kEndpointLost);
  }
}

void StreamRelay::LogRunQueried(const RunAnswer& answer) const {
  this->Log(log::Level::kInfo, "run_queried", this->placement->decode.id,
            {{"at_work", answer.state == RunState::kRuns},
             {"endpoint_state", NameOf(kRunStateNames, answer.state)},
             {"after_ms", this->Now() - this->step_at},
             {"events", this->outcome.events}});
}

void StreamRelay::OnLeft() {
  this->ForgetExchange();
  if (this->departure) {
    this->Migrate();
  } else {
    this->AfterRun(ResultCode::kEndpointLost);
  }
}

// What runs there is being asked for.
void StreamRelay::OnLeftLost() {
  this->ForgetExchange();
  this->decode_open = false;
  if (!this->departure) {
    this->AfterRun(ResultCode::kEndpointLost);
  }
}

void StreamRelay::Migrate() {
  const Departure going = *std::exchange(this->departure, std::nullopt);
  this->EndMigration();
  this->CancelPhaseTimer();
  this->Log(log::Level::kInfo, "run_left", this->placement->decode.id,
            {{"after_ms", this->Now() - this->step_at},
             {"events", this->outcome.events},
             {"goes_to", going.to.decode.id.text}});
  this->context.hooks.drop_idle(this->placement->decode.address);
  this->StopExchange();
  this->DropIncomplete();
  this->decode_open = false;
  this->tried.push_back(this->placement->decode.id);
  this->ReleaseDecode();
  this->prefilled.reset();
  this->Take(going.to);
  this->reservation = going.reservation;
  this->AfterReserve();
}

}  // namespace acacialug::gateway
