#include "gateway/internal/stream_relay.h"

#include <algorithm>
#include <utility>

#include "framework/global/hex_text.h"
#include "gateway/internal/refusal.h"

namespace acacialug::gateway {
namespace {

// A prefill is abandoned after this many times its expected time plus
// kPrefillSlack; healthy endpoints stay well within twice the expected time.
constexpr double kPrefillTimeoutFactor = 3.0;
constexpr Duration kPrefillSlack = 350ms;
// Maximum number of prefills of one request. The first does not count against
// the repeat budget.
constexpr std::uint32_t kMaxPrefills = 3;
// A round of reservation requests ends, with a pause, after this many endpoints
// that are full or this many endpoints in total. An endpoint that cannot be
// reached, or leaves, says nothing about the others' memory.
constexpr std::uint32_t kMaxFullEndpoints = 3;
constexpr std::size_t kMaxRequestedEndpoints = 8;

}  // namespace

std::shared_ptr<StreamRelay> StreamRelay::Self() {
  return std::static_pointer_cast<StreamRelay>(this->shared_from_this());
}

GenerationSize StreamRelay::Size() const {
  return this->work.request.size.value_or(GenerationSize{});
}

std::uint32_t StreamRelay::TokensPerEvent() const {
  const EngineTraits* const engine = this->work.Engine();
  return engine != nullptr ? engine->tokens_per_event : 0;
}

std::uint64_t StreamRelay::TokensMade() const {
  return std::uint64_t{this->outcome.events} * this->TokensPerEvent();
}

bool StreamRelay::Reserves() const {
  return this->has_engine() && this->context.dialect.write_reserve;
}

std::uint64_t StreamRelay::kv_tokens() const {
  return this->context.streams.KvTokens(this->Size());
}

std::optional<StreamPlacement::Placement> StreamRelay::FindPlacement(
    std::vector<EndpointId> avoided) {
  avoided.insert(avoided.end(), this->tried.begin(), this->tried.end());
  avoided.insert(avoided.end(), this->full.begin(), this->full.end());
  if (!this->has_engine()) {
    return this->FindPlainPlacement(avoided);
  }
  std::vector<const EndpointRecord*> endpoints = this->AvailableEndpoints();
  if (this->has_prompt()) {
    std::erase_if(endpoints, [this](const EndpointRecord* endpoint) {
      return endpoint->software_version !=
             this->placement->prefill->software_version;
    });
  }
  auto chosen = this->context.streams.Pick(
      {.size = this->Size(),
       .objective = this->work.route->objective,
       .longest_pause = this->work.route->longest_pause,
       .waited = this->Age(),
       .tried = std::move(avoided),
       .low_priority = this->late() && !this->resumed(),
       .kept_places = this->KeptPlaces(),
       .time_left = this->TimeLeft(),
       .length_ratio = this->work.state->length_ratio.value(),
       .domain = this->context.domain,
       .now = this->Now()},
      *this->work.Engine(), this->work.state->forecast, endpoints,
      this->context.random);
  if (chosen && this->has_prompt()) {
    chosen->prefill = this->placement->prefill;
    chosen->prefill_load = {};
    chosen->prefill_time = {};
    chosen->decode_load.prefill_tokens = 0;
  }
  return chosen;
}

std::optional<StreamPlacement::Placement> StreamRelay::FindPlainPlacement(
    const std::vector<EndpointId>& avoided) {
  std::vector<const EndpointRecord*> endpoints = this->AvailableEndpoints();
  std::erase_if(endpoints, [&avoided](const EndpointRecord* endpoint) {
    return std::find(avoided.begin(), avoided.end(), endpoint->id) !=
           avoided.end();
  });
  const EndpointRecord* const picked =
      this->context.calls.Pick({.domain = this->context.domain,
                                .hold = this->work.state->forecast.Call(),
                                .now = this->Now()},
                               endpoints, this->context.random);
  if (picked == nullptr) {
    return std::nullopt;
  }
  return StreamPlacement::Placement{.decode = *picked,
                                    .decode_load = {.requests = 1}};
}

std::uint32_t StreamRelay::Urgency() const {
  return this->late() ? admission::UrgencyReserve::kLeastUrgent
                      : this->work.urgency.value_or(0);
}

// What was computed in part goes first, whatever its priority.
std::size_t StreamRelay::KeptPlaces() const {
  if (!this->work.urgency || this->resumed()) {
    return 0;
  }
  return this->work.state->urgency.PlacesFor(
      this->Urgency(),
      this->context.load_table.ReportAge(LoadTable::Nearness::kFar,
                                         this->Now()),
      this->Now());
}

bool StreamRelay::TryPlace() {
  if (this->EndIfQuarantined()) {
    return true;
  }
  if (this->VersionGone()) {
    this->GiveUp(ResultCode::kVersionGone);
    return true;
  }
  if (this->has_prompt() && this->PromptMayLapse() && !this->DropPrompt()) {
    return true;
  }
  auto chosen = this->FindPlacement({});
  if (!chosen && this->has_prompt()) {
    if (!this->DropPrompt()) {
      return true;
    }
    chosen = this->FindPlacement({});
  }
  if (!chosen) {
    return false;
  }
  this->Take(*chosen);
  if (this->Reserves()) {
    this->Reserve();
  } else {
    this->AfterReserve();
  }
  return true;
}

void StreamRelay::AfterReserve() {
  this->EndRound();
  if (this->work.urgency && !this->resumed() && !this->late()) {
    this->work.state->urgency.NotePlaced(this->Urgency(), this->Now());
  }
  if (this->has_prompt()) {
    this->StartDecode(WorkStep::kDecode);
  } else if (this->placement->prefill) {
    this->StartPrefill();
  } else {
    this->StartDecode(WorkStep::kWhole);
  }
}

void StreamRelay::RequestReservation(const StreamPlacement::Placement& at,
                                     ReservationRequest::Done on_done) {
  this->CancelReservationRequest();
  this->reservation_request =
      std::make_shared<ReservationRequest>(this->context, at);
  // A weak pointer: this relay owns the reservation request, and a shared
  // pointer in it would keep the relay alive forever once no answer is awaited.
  this->reservation_request->Begin(
      [weak = this->weak_from_this(), done = std::move(on_done)](
          ReservationAnswer answer, std::string name) {
        if (const auto self = weak.lock()) {
          done(answer, std::move(name));
        }
      });
}

void StreamRelay::CancelReservationRequest() {
  if (const auto request = std::exchange(this->reservation_request, nullptr)) {
    request->Cancel();
  }
}

void StreamRelay::Reserve() {
  this->RequestReservation(*this->placement,
                           [this](ReservationAnswer answer, std::string name) {
                             if (answer == ReservationAnswer::kGranted) {
                               this->reservation = std::move(name);
                               this->AfterReserve();
                             } else {
                               this->OnReserveRefused(answer);
                             }
                           });
}

// Nothing was computed yet, so that a request to another endpoint costs only a
// round trip.
void StreamRelay::OnReserveRefused(ReservationAnswer answer) {
  const bool try_next = this->NoteRefused(answer);
  this->ReleasePrefill();
  this->ReleaseDecode();
  if (try_next && this->TryPlace()) {
    return;
  }
  this->EndRound();
  this->WaitForPlace();
}

bool StreamRelay::NoteRefused(ReservationAnswer answer) {
  const StreamPlacement::Placement& refused =
      this->reservation_request->placement();
  this->Log(log::Level::kInfo, "reservation_refused", refused.decode.id,
            {{"why", NameOf(kReservationAnswerNames, answer)},
             {"kv_tokens", refused.decode_load.kv_tokens},
             {"decode_fill", refused.decode_fill},
             {"after_ms", this->reservation_request->Age()}});
  this->full.push_back(refused.decode.id);
  this->full_answers += answer == ReservationAnswer::kFull ? 1 : 0;
  return this->full_answers < kMaxFullEndpoints &&
         this->full.size() < kMaxRequestedEndpoints;
}

void StreamRelay::EndRound() {
  this->full.clear();
  this->full_answers = 0;
}

void StreamRelay::Take(const StreamPlacement::Placement& chosen) {
  this->placement = chosen;
  this->placed_at = this->Now();
  if (this->outcome.prefills == 0 && this->outcome.sends == 0) {
    this->outcome.waited = this->Age();
  }
  this->Log(
      log::Level::kInfo, "stream_placed", chosen.decode.id,
      {{"prefill", chosen.prefill ? chosen.prefill->id.text : std::string()},
       {"software_version", chosen.decode.software_version},
       {"version_known_ms",
        this->context.origins.VersionKnownFor(chosen.decode)},
       {"waited_ms", this->Age()},
       {"prompt_tokens", this->Size().prompt_tokens},
       {"expected_tokens", this->Size().expected_output_tokens},
       {"decode_fill", chosen.decode_fill},
       {"prefill_expected_ms", chosen.prefill_time},
       {"endpoints_as_of", this->context.catalog.complete_to()},
       {"peers", this->context.load_table.peers()}});
  this->context.load_table.Add(chosen.decode.id, chosen.decode_load,
                               chosen.decode.started_at_ms);
  this->decode_held = true;
  this->work.state->queue.NoteAllocated(chosen.decode_load.kv_tokens);
  if (chosen.prefill && !this->has_prompt()) {
    this->context.load_table.Add(chosen.prefill->id, chosen.prefill_load,
                                 chosen.prefill->started_at_ms);
    this->prefill_held = true;
  }
}

void StreamRelay::CountLocalPrefill(std::uint64_t tokens) {
  std::uint64_t& counted = this->placement->decode_load.prefill_tokens;
  if (!this->decode_held || counted == tokens) {
    return;
  }
  this->context.load_table.Remove(this->placement->decode.id,
                                  {.prefill_tokens = counted},
                                  this->placement->decode.started_at_ms);
  this->context.load_table.Add(this->placement->decode.id,
                               {.prefill_tokens = tokens},
                               this->placement->decode.started_at_ms);
  counted = tokens;
}

void StreamRelay::ReleasePrefill() {
  if (std::exchange(this->prefill_held, false)) {
    this->context.load_table.Remove(this->placement->prefill->id,
                                    this->placement->prefill_load,
                                    this->placement->prefill->started_at_ms);
    this->context.on_capacity_freed(this->work.service);
  }
}

void StreamRelay::ReleaseDecode() {
  const bool ran = this->begun;
  if (std::exchange(this->decode_held, false)) {
    this->ReleaseReservation();
    this->context.load_table.Remove(this->placement->decode.id,
                                    this->placement->decode_load,
                                    this->placement->decode.started_at_ms);
    if (ran) {
      this->context.health.NoteCapacity(this->placement->decode.id);
    }
    this->work.state->queue.NoteReleased(this->placement->decode_load.kv_tokens,
                                         this->Now() - this->placed_at);
    this->context.on_capacity_freed(this->work.service);
  }
}

// An export that is not released holds memory at the prefill endpoint until it
// lapses, as it does at one that rests.
void StreamRelay::ReleaseExport() {
  if (const auto held = std::exchange(this->prefilled, std::nullopt)) {
    ++this->outcome.unused_prompts;
    this->Log(log::Level::kInfo, "prompt_unused", this->placement->prefill->id,
              {{"after_ms", this->Now() - this->step_at},
               {"prompt_tokens", this->Size().prompt_tokens}});
    this->context.SendRelease(*this->placement->prefill,
                              this->context.dialect.write_release(held->name));
  }
}

void StreamRelay::ReleaseReservation() {
  this->ReleaseReservationAt(this->placement->decode,
                             std::exchange(this->reservation, {}));
}

void StreamRelay::ReleaseReservationAt(const EndpointRecord& decode,
                                       const std::string& name) {
  if (!name.empty()) {
    this->context.SendRelease(decode,
                              this->context.dialect.write_unreserve(name));
  }
}

void StreamRelay::StartPrefill() {
  if (!this->MaySend(*this->placement->prefill,
                     this->arrivals.UncoveredByPrefillAndRun())) {
    return;
  }
  ++this->outcome.prefills;
  this->step_at = this->Now();
  auto self = this->Self();
  auto answer = std::make_shared<AnswerNature>(AnswerNature::kUnproven);
  this->SendTo(
      *this->placement->prefill,
      {.step = WorkStep::kPrefill,
       .time_left = this->TimeLeft(),
       .priority = this->work.urgency},
      {.on_head =
           [self, answer](int answered, const http::Headers& head) {
             *answer = self->context.dialect.judge_answer(
                 self->work.request, WorkStep::kPrefill, answered, head);
           },
       .on_end =
           [self, answer](const std::string& body) {
             self->ForgetExchange();
             self->OnPrefillComplete(*answer, body);
           },
       .on_error =
           [self, answer](const Error& error, bool sent) {
             self->ForgetExchange();
             self->NoteLost(*self->placement->prefill, error, sent, *answer);
             self->AfterPrefill(sent ? "lost" : "unreachable");
           }});
  const Duration timeout = FromSeconds(kPrefillTimeoutFactor *
                                       Seconds(this->placement->prefill_time)) +
                           kPrefillSlack;
  this->SetPhaseTimer(timeout, [this] {
    this->context.health.NoteTimeout(this->placement->prefill->id, this->Now());
    this->context.hooks.drop_idle(this->placement->prefill->address);
    this->StopExchange();
    this->AfterPrefill("silent");
  });
}

void StreamRelay::OnPrefillComplete(AnswerNature answer,
                                    const std::string& body) {
  this->CancelPhaseTimer();
  const EndpointId& id = this->placement->prefill->id;
  if (answer == AnswerNature::kSuccess) {
    this->prefilled = this->context.dialect.read_export(body);
  }
  if (this->prefilled && !this->prefilled->trusted) {
    this->ReleaseExport();
  }
  if (!this->prefilled) {
    // A prefill endpoint has no memory to run out of: a refusal means that it
    // changes its role, which takes seconds.
    if (answer == AnswerNature::kNotRun || answer == AnswerNature::kMisplaced) {
      this->context.health.NoteTimeout(id, this->Now());
    } else {
      this->context.health.NoteFailure(id, this->Now());
    }
    this->AfterPrefill(answer == AnswerNature::kSuccess
                           ? std::string_view("malformed")
                           : NameOf(kAnswerNatureNames, answer));
    return;
  }
  this->prompt_at = this->Now();
  this->arrivals.NotePrefillAccepted();
  this->context.health.NoteSuccess(id, this->Now());
  // A duration that includes a stall of this process is no evidence of the
  // engine's speed.
  if (!this->context.timers.StalledBetween(this->step_at, this->Now())) {
    this->LearnFromPrefill(this->Now() - this->step_at);
  }

  this->ReleasePrefill();
  this->StartDecode(WorkStep::kDecode);
}

void StreamRelay::LearnFromPrefill(Duration took) {
  this->work.state->forecast.NotePrefill(this->Size().prompt_tokens,
                                         this->placement->prefill_ahead, took);
  if (this->placement->usual_prefill_time > Duration::zero()) {
    const EndpointId& id = this->placement->prefill->id;
    const double ratio =
        Seconds(took) / Seconds(this->placement->usual_prefill_time);
    this->context.health.NoteSpeed(id, ratio);
    this->context.paces.Note(LoadTable::KeyOf(id), ratio, this->Now());
  }
}

void StreamRelay::AfterPrefill(std::string_view why) {
  this->CancelPhaseTimer();
  this->Log(log::Level::kWarning, "prefill_failed",
            this->placement->prefill->id,
            {{"why", why},
             {"request_key", HexText(this->work.subjects.request.value)},
             {"after_ms", this->Now() - this->step_at},
             {"expected_ms", this->placement->prefill_time}});
  this->tried.push_back(this->placement->prefill->id);
  this->ReleasePrefill();
  if (!this->Quarantined() && this->MayComputePrompt()) {
    this->ReleaseDecode();
    this->PlaceAgain();
    return;
  }
  // The decode endpoint can compute the prompt locally, at half the speed.
  this->placement->prefill.reset();
  this->CountLocalPrefill(this->Size().prompt_tokens);
  this->StartDecode(WorkStep::kWhole);
}

bool StreamRelay::EndIfQuarantined() {
  if (!this->Quarantined()) {
    return false;
  }
  this->GiveUp(ResultCode::kQuarantined);
  return true;
}

bool StreamRelay::MaySend(const EndpointRecord& endpoint,
                          std::uint32_t uncovered) {
  const SendBar bar = this->BarBefore(endpoint, uncovered);
  switch (bar) {
    case SendBar::kNone:
      return true;
    case SendBar::kQuarantined:
      this->GiveUp(ResultCode::kQuarantined);
      return false;
    case SendBar::kUncovered:
      this->GiveUp(ResultCode::kNoDecodeMemory);
      return false;
    case SendBar::kLeaves:
    case SendBar::kReplaced:
    case SendBar::kRests:
      this->MoveFrom(endpoint, bar);
      return false;
  }
  return false;
}

void StreamRelay::MoveFrom(const EndpointRecord& endpoint, SendBar bar) {
  this->CancelPhaseTimer();
  this->Log(
      log::Level::kInfo,
      bar == SendBar::kRests ? "placement_rests" : "placement_lost",
      endpoint.id,
      {{"why", NameOf(kSendBarNames, bar)}, {"prefilled", this->has_prompt()}});
  this->ReleasePrefill();
  this->ReleaseDecode();
  if (this->has_prompt() || this->MayComputePrompt()) {
    this->PlaceAgain();
  } else {
    this->GiveUp(ResultCode::kNoDecodeMemory);
  }
}

bool StreamRelay::MayComputePrompt() {
  return this->outcome.prefills < kMaxPrefills &&
         this->CoverRepeats(this->arrivals.UncoveredByPrefillAndRun());
}

// The other half is for the reservation.
bool StreamRelay::PromptMayLapse() const {
  return this->Now() - this->prompt_at >=
         this->work.Engine()->export_lifetime / 2;
}

bool StreamRelay::DropPrompt() {
  this->ReleaseExport();
  if (this->MayComputePrompt()) {
    return true;
  }
  this->GiveUp(ResultCode::kNoDecodeMemory);
  return false;
}

void StreamRelay::WaitForPlace() {
  if (!this->has_prompt() || this->DropPrompt()) {
    this->context.on_unplaced(*this);
  }
}

void StreamRelay::AfterNotRun() {
  this->CancelPhaseTimer();
  this->EndMigration();
  this->DropIncomplete();
  this->decode_open = false;
  --this->runs;
  this->tried.push_back(this->placement->decode.id);
  if (this->prefilled) {
    // Either endpoint may be the reason that the export could not be fetched.
    this->tried.push_back(this->placement->prefill->id);
  }
  this->ReleaseDecode();
  this->prefilled.reset();
  const bool again = this->outcome.sends < kMaxSends && this->TakeRepeat();
  this->Log(log::Level::kInfo, "decode_refused", this->placement->decode.id,
            {{"again", again},
             {"proof", ProofName(this->nature)},
             {"new_connection", this->new_connection},
             {"after_ms", this->Now() - this->step_at},
             {"repeats", this->work.state->budget.repeats()}});
  if (!again) {
    this->GiveUp(ResultCode::kNoDecodeMemory);
    return;
  }
  this->PlaceAgain();
}

bool StreamRelay::TakeRepeat() {
  return !this->Quarantined() &&
         this->CoverRepeats(this->arrivals.UncoveredByPrefillAndRun());
}

void StreamRelay::EndAttempt() {
  this->CancelPhaseTimer();
  this->DropConfirmation();
  this->EndMigration();
  this->DropIncomplete();
  this->decode_open = false;
  this->tried.push_back(this->placement->decode.id);
  this->prefilled.reset();
}

bool StreamRelay::MayGoOn() {
  return this->MayResume() && this->MayMigrate() && !this->VersionGone();
}

// A connection that ends, or an answer that can't be read, says nothing about
// the run: some endpoints complete what they run, whoever listens.
void StreamRelay::AfterRun(ResultCode code) {
  if (this->nature == AnswerNature::kFailure) {
    this->AfterRunEnded(code);  // the endpoint reports it
    return;
  }
  this->EndAttempt();
  if (!this->MayGoOn()) {
    this->GiveUp(code);
    return;
  }
  this->QueryRun({.patience = this->HalfOfMaxGap(),
                  .until_run_ends = true,
                  .sent_at = this->step_at},
                 [this, code](const RunAnswer& answer) {
                   this->LogRunQueried(answer);
                   if (answer.state == RunState::kRuns) {
                     this->GiveUp(code);
                   } else {
                     this->GoOnElsewhere(code);
                   }
                 });
}

void StreamRelay::AfterRunEnded(ResultCode code) {
  this->EndAttempt();
  if (this->MayGoOn()) {
    this->GoOnElsewhere(code);
  } else {
    this->GiveUp(code);
  }
}

void StreamRelay::GoOnElsewhere(ResultCode code) {
  this->ReleaseDecode();
  if (this->TakeRepeat()) {
    this->PlaceAgain();
  } else {
    this->GiveUp(code);
  }
}

void StreamRelay::PlaceAgain() {
  if (!this->TryPlace()) {
    this->WaitForPlace();
  }
}

void StreamRelay::GiveUpUnplaced() {
  const bool known =
      !this->context.catalog.ForService(this->work.service).empty();
  this->GiveUp(known ? ResultCode::kOverloaded : ResultCode::kNoEndpoint);
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
  this->Refuse(IsNotRun(code) ? code : ResultCode::kNoEndpoint,
               this->RetryDelay(code));
}

Duration StreamRelay::RetryDelay(ResultCode code) {
  switch (code) {
    case ResultCode::kQuarantined:
      return this->QuarantineLeft();
    case ResultCode::kVersionGone:
      return Duration::zero();
    case ResultCode::kDraining:
      return kRetryElsewhere;
    default:
      if (!this->has_engine()) {
        return kRetrySoon;
      }
      return this->work.state->queue.NextRetryDelay(
          this->kv_tokens(), this->TimeLeft(), this->Now(),
          this->context.random);
  }
}

void StreamRelay::OnDeadline() {
  this->GiveUp(this->runs > 0 ? ResultCode::kDeadlineExceeded
                              : ResultCode::kDeadlineUnreachable);
}

void StreamRelay::EndUnanswered() {
  if (!this->begun) {
    this->GiveUp(ResultCode::kDraining);
  }
}

void StreamRelay::Release() {
  this->EndMigration();
  // An export that no decode endpoint was sent is released here; a decode
  // endpoint that was sent an export's name is responsible for that export.
  if (this->has_prompt()) {
    this->ReleaseExport();
  }
  this->ReleasePrefill();
  this->ReleaseDecode();
}

}  // namespace acacialug::gateway
