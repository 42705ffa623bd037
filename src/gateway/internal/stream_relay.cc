#include "gateway/internal/stream_relay.h"

#include <algorithm>
#include <utility>

#include "framework/global/hex_text.h"

namespace acacialug::gateway {
namespace {

// A prefill is given up when it takes three times what is expected and this
// much more; sound ones keep well within twice.
constexpr double kPrefillPatience = 3.0;
constexpr Duration kPrefillSlack = 350ms;
// Prefills of one request. The first is free of the repeat budget.
constexpr std::uint32_t kMostPrefills = 3;
// Endpoints that are full one after the other before a pause, and that are
// asked at all: one that cannot be reached, or leaves, says nothing of the
// others' memory.
constexpr std::uint32_t kMostFull = 3;
constexpr std::size_t kMostAsked = 8;

}  // namespace

std::shared_ptr<StreamRelay> StreamRelay::Self() {
  return std::static_pointer_cast<StreamRelay>(this->shared_from_this());
}

GenerationSize StreamRelay::Size() const {
  return this->work.request.size.value_or(GenerationSize{});
}

std::uint64_t StreamRelay::kv_tokens() const {
  return this->context.streams.KvTokens(this->Size());
}

std::optional<StreamPlacement::Place> StreamRelay::FindPlace(
    std::vector<EndpointId> avoided) {
  avoided.insert(avoided.end(), this->tried.begin(), this->tried.end());
  avoided.insert(avoided.end(), this->full.begin(), this->full.end());
  return this->context.streams.Pick(
      {.size = this->Size(),
       .objective = this->work.route->objective,
       .longest_pause = this->work.route->longest_pause,
       .waited = this->Age(),
       .tried = std::move(avoided),
       .yields = this->late() && !this->resumed(),
       .domain = this->context.domain,
       .now = this->Now()},
      *this->work.traits->engine, this->work.state->forecast,
      this->context.catalog.Of(this->work.service), this->context.random);
}

bool StreamRelay::TryPlace() {
  if (this->EndIfQuarantined()) {
    return true;
  }
  const auto chosen = this->FindPlace({});
  if (!chosen) {
    return false;
  }
  this->Take(*chosen);
  if (this->context.dialect.write_reserve) {
    this->Reserve();
  } else {
    this->AfterReserve();
  }
  return true;
}

void StreamRelay::AfterReserve() {
  this->EndRound();
  if (this->place->prefill) {
    this->StartPrefill();
  } else {
    this->StartDecode(WorkStep::kWhole);
  }
}

void StreamRelay::Ask(const StreamPlacement::Place& at,
                      ReservationAsk::Done on_done) {
  this->StopAsking();
  this->asking = std::make_shared<ReservationAsk>(this->context, at);
  // Not shared: what is asked is this relay's own, and would keep it for ever
  // where no answer is waited for any more.
  this->asking->Begin(
      [weak = this->weak_from_this(), done = std::move(on_done)](
          ReservationAnswer answer, std::string name) {
        if (const auto self = weak.lock()) {
          done(answer, std::move(name));
        }
      });
}

void StreamRelay::StopAsking() {
  if (const auto asked = std::exchange(this->asking, nullptr)) {
    asked->Cancel();
  }
}

void StreamRelay::Reserve() {
  this->Ask(*this->place, [this](ReservationAnswer answer, std::string name) {
    if (answer == ReservationAnswer::kGranted) {
      this->reservation = std::move(name);
      this->AfterReserve();
    } else {
      this->OnReserveRefused(answer);
    }
  });
}

// Nothing was computed yet, so that asking another costs a round trip only.
void StreamRelay::OnReserveRefused(ReservationAnswer answer) {
  const bool ask_on = this->NoteRefused(answer);
  this->GivePrefillBack();
  this->GiveDecodeBack();
  if (ask_on && this->TryPlace()) {
    return;
  }
  this->EndRound();
  this->context.on_unplaced(*this);
}

bool StreamRelay::NoteRefused(ReservationAnswer answer) {
  const StreamPlacement::Place& refused = this->asking->place();
  this->Note(log::Level::kInfo, "reservation_refused", refused.decode.id,
             {{"why", NameOf(kReservationAnswerNames, answer)},
              {"kv_tokens", refused.decode_load.kv_tokens},
              {"decode_fill", refused.decode_fill},
              {"after_ms", this->asking->Age()}});
  this->full.push_back(refused.decode.id);
  this->found_full += answer == ReservationAnswer::kFull ? 1 : 0;
  return this->found_full < kMostFull && this->full.size() < kMostAsked;
}

void StreamRelay::EndRound() {
  this->full.clear();
  this->found_full = 0;
}

void StreamRelay::Take(const StreamPlacement::Place& chosen) {
  this->place = chosen;
  this->placed_at = this->Now();
  if (this->outcome.prefills == 0 && this->outcome.sends == 0) {
    this->outcome.waited = this->Age();
  }
  this->Note(
      log::Level::kInfo, "stream_placed", chosen.decode.id,
      {{"prefill", chosen.prefill ? chosen.prefill->id.text : std::string()},
       {"waited_ms", this->Age()},
       {"prompt_tokens", this->Size().prompt_tokens},
       {"expected_tokens", this->Size().expected_output_tokens},
       {"decode_fill", chosen.decode_fill},
       {"prefill_expected_ms", chosen.prefill_time},
       {"endpoints_as_of", this->context.catalog.complete_to()},
       {"peers", this->context.book.peers()}});
  this->context.book.Add(chosen.decode.id, chosen.decode_load,
                         chosen.decode.born);
  this->decode_held = true;
  this->work.state->queue.NoteTaken(chosen.decode_load.kv_tokens);
  if (chosen.prefill) {
    this->context.book.Add(chosen.prefill->id, chosen.prefill_load,
                           chosen.prefill->born);
    this->prefill_held = true;
  }
}

void StreamRelay::CountOwnPrompt(std::uint64_t tokens) {
  std::uint64_t& counted = this->place->decode_load.prefill_tokens;
  if (!this->decode_held || counted == tokens) {
    return;
  }
  this->context.book.Remove(this->place->decode.id, {.prefill_tokens = counted},
                            this->place->decode.born);
  this->context.book.Add(this->place->decode.id, {.prefill_tokens = tokens},
                         this->place->decode.born);
  counted = tokens;
}

void StreamRelay::GivePrefillBack() {
  if (std::exchange(this->prefill_held, false)) {
    this->context.book.Remove(this->place->prefill->id,
                              this->place->prefill_load,
                              this->place->prefill->born);
    this->context.on_room(this->work.service);
  }
}

void StreamRelay::GiveDecodeBack() {
  const bool ran = this->begun;
  if (std::exchange(this->decode_held, false)) {
    this->GiveReservationBack();
    this->context.book.Remove(this->place->decode.id, this->place->decode_load,
                              this->place->decode.born);
    if (ran) {
      this->context.health.NoteRoom(this->place->decode.id);
    }
    this->work.state->queue.NoteGiven(this->place->decode_load.kv_tokens,
                                      this->Now() - this->placed_at);
    this->context.on_room(this->work.service);
  }
}

// Its memory would be held at the prefill endpoint until it lapses.
void StreamRelay::GiveExportBack() {
  if (!this->prefilled) {
    return;
  }
  this->context.hooks.send(
      this->place->prefill->address,
      this->context.dialect.write_release(this->prefilled->name),
      {.on_error = [](const Error&, bool) {}});
  this->prefilled.reset();
}

void StreamRelay::GiveReservationBack() {
  this->GiveBack(this->place->decode, std::exchange(this->reservation, {}));
}

void StreamRelay::GiveBack(const EndpointRecord& decode,
                           const std::string& name) {
  if (!name.empty()) {
    this->context.hooks.send(decode.address,
                             this->context.dialect.write_unreserve(name),
                             {.on_error = [](const Error&, bool) {}});
  }
}

void StreamRelay::StartPrefill() {
  if (this->EndIfQuarantined()) {
    return;
  }
  ++this->outcome.prefills;
  this->step_at = this->Now();
  auto self = this->Self();
  auto answer = std::make_shared<AnswerNature>(AnswerNature::kUnproven);
  this->SendTo(*this->place->prefill,
               {.step = WorkStep::kPrefill, .time_left = this->TimeLeft()},
               {.is_answer =
                    [self](int answered, const http::Headers& head) {
                      return self->context.dialect.judge_answer(
                                 self->work.request, WorkStep::kPrefill,
                                 answered, head) != AnswerNature::kForeign;
                    },
                .on_head =
                    [self, answer](int answered, const http::Headers& head) {
                      *answer = self->context.dialect.judge_answer(
                          self->work.request, WorkStep::kPrefill, answered,
                          head);
                    },
                .on_end =
                    [self, answer](const std::string& body) {
                      self->ForgetExchange();
                      self->OnPrefillWhole(*answer, body);
                    },
                .on_error =
                    [self, answer](const Error& /*error*/, bool sent) {
                      self->ForgetExchange();
                      self->NoteLost(*self->place->prefill, sent, *answer);
                      self->AfterPrefill(sent ? "lost" : "unreachable");
                    }});
  const Duration patience =
      FromSeconds(kPrefillPatience * Seconds(this->place->prefill_time)) +
      kPrefillSlack;
  this->WatchPhase(patience, [this] {
    this->context.health.NoteSilence(this->place->prefill->id, this->Now());
    this->context.hooks.drop_idle(this->place->prefill->address);
    this->StopExchange();
    this->AfterPrefill("silent");
  });
}

void StreamRelay::OnPrefillWhole(AnswerNature answer, const std::string& body) {
  this->EndPhase();
  const EndpointId& id = this->place->prefill->id;
  if (answer == AnswerNature::kSuccess) {
    this->prefilled = this->context.dialect.read_export(body);
  }
  if (!this->prefilled) {
    // One that prefills has no memory to run out of: a refusal means that it
    // changes its role, which takes seconds.
    if (answer == AnswerNature::kNotRun || answer == AnswerNature::kMisplaced) {
      this->context.health.NoteSilence(id, this->Now());
    } else {
      this->context.health.NoteFailure(id, this->Now());
    }
    this->AfterPrefill(NameOf(kAnswerNatureNames, answer));
    return;
  }
  this->context.health.NoteSuccess(id, this->Now());
  // A time that this process stood still for tells nothing of an engine.
  if (!this->context.alarms.StoodStill(this->step_at, this->Now())) {
    this->LearnFromPrefill(this->Now() - this->step_at);
  }
  this->was_prefilled = true;
  this->GivePrefillBack();
  this->StartDecode(WorkStep::kDecode);
}

void StreamRelay::LearnFromPrefill(Duration took) {
  this->work.state->forecast.NotePrefill(this->Size().prompt_tokens,
                                         this->place->prefill_ahead, took);
  if (this->place->prefill_time > Duration::zero()) {
    const EndpointId& id = this->place->prefill->id;
    this->context.health.NoteSpeed(id, this->context.health.Slowness(id) *
                                           Seconds(took) /
                                           Seconds(this->place->prefill_time));
  }
}

void StreamRelay::AfterPrefill(std::string_view why) {
  this->EndPhase();
  this->Note(log::Level::kWarning, "prefill_failed", this->place->prefill->id,
             {{"why", why},
              {"request_key", HexText(this->work.key.value)},
              {"after_ms", this->Now() - this->step_at},
              {"expected_ms", this->place->prefill_time}});
  this->tried.push_back(this->place->prefill->id);
  this->GivePrefillBack();
  const bool again =
      this->outcome.prefills < kMostPrefills && !this->Quarantined() &&
      this->work.state->budget.TryTake(this->Now(), this->context.processes());
  if (again) {
    this->GiveDecodeBack();
    this->GoOn();
    return;
  }
  // The decode endpoint can compute the prompt itself, at half the speed.
  this->place->prefill.reset();
  this->CountOwnPrompt(this->Size().prompt_tokens);
  this->StartDecode(WorkStep::kWhole);
}

bool StreamRelay::EndIfQuarantined() {
  if (!this->Quarantined()) {
    return false;
  }
  this->GiveUp(ResultCode::kQuarantined);
  return true;
}

void StreamRelay::AfterNotRun() {
  this->EndPhase();
  this->EndMove();
  this->decode_open = false;
  --this->runs;
  this->tried.push_back(this->place->decode.id);
  if (this->prefilled) {
    // Either end may be why it could not be fetched.
    this->tried.push_back(this->place->prefill->id);
  }
  this->GiveDecodeBack();
  this->prefilled.reset();
  const bool again = this->outcome.sends < kMostSends && this->TakeRepeat();
  this->Note(log::Level::kInfo, "decode_refused", this->place->decode.id,
             {{"again", again},
              {"after_ms", this->Now() - this->step_at},
              {"repeats", this->work.state->budget.repeats()}});
  if (!again) {
    this->GiveUp(ResultCode::kNoDecodeMemory);
    return;
  }
  this->GoOn();
}

std::uint32_t StreamRelay::RepeatsOfAMove() const {
  return this->was_prefilled ? 2 : 1;
}

bool StreamRelay::TakeRepeat() {
  return !this->Quarantined() &&
         this->work.state->budget.TryTake(
             this->Now(), this->context.processes(), this->RepeatsOfAMove());
}

void StreamRelay::AfterRun(ResultCode code) {
  this->EndPhase();
  this->EndMove();
  this->decode_open = false;
  this->tried.push_back(this->place->decode.id);
  this->GiveDecodeBack();
  this->prefilled.reset();
  const bool again = this->MayRunAgain() &&
                     this->runs < this->work.route->max_endpoints &&
                     this->outcome.sends < kMostSends && this->TakeRepeat();
  if (!again) {
    this->GiveUp(code);
    return;
  }
  this->GoOn();
}

void StreamRelay::GoOn() {
  if (!this->TryPlace()) {
    this->context.on_unplaced(*this);
  }
}

void StreamRelay::GiveUp(ResultCode code) {
  if (this->begun) {
    this->work.responder->Abort();
    this->Finish(RelayEnd::kBroken, code, this->status);
    return;
  }
  if (this->runs > 0) {
    this->Refuse(IsNotRun(code) ? ResultCode::kOutcomeUnknown : code, {});
    return;
  }
  const Duration back =
      code == ResultCode::kQuarantined
          ? this->context.crashes.TimeLeft(this->work.key, this->Now())
          : this->work.state->queue.NextReturn(this->kv_tokens(),
                                               this->TimeLeft(), this->Now(),
                                               this->context.random);
  this->Refuse(IsNotRun(code) ? code : ResultCode::kNoEndpoint, back);
}

void StreamRelay::OnDeadline() {
  this->GiveUp(this->runs > 0 ? ResultCode::kDeadlineExceeded
                              : ResultCode::kDeadlineUnreachable);
}

void StreamRelay::Release() {
  this->StopAsking();
  // An export that nobody asked for is freed; one that a decode endpoint was
  // told of is that endpoint's.
  if (this->prefilled && !this->decode_open) {
    this->GiveExportBack();
  }
  this->GivePrefillBack();
  this->GiveDecodeBack();
}

}  // namespace acacialug::gateway
