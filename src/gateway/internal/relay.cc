#include "gateway/internal/relay.h"

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <cstdint>
#include <utility>

#include "framework/global/hex_text.h"
#include "gateway/internal/refusal.h"

namespace acacialug::gateway {
Relay::Relay(RelayContext& relay_context, RelayJob relay_job)
    : context(relay_context),
      work(std::move(relay_job)),
      deadline(this->work.arrived + this->work.TimeLimit()) {
  this->outcome.resumes = this->work.request.resume_after.has_value() ||
                          !this->work.request.resumed_attempt.empty();
}

void Relay::Begin(std::function<void(Relay&)> on_finished) {
  this->finished_hook = std::move(on_finished);
  // A weak pointer: this relay owns the responder, and a shared pointer in it
  // would keep the relay alive forever.
  this->work.responder->SetOnGone([weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerGone();
    }
  });
  this->held_answer =
      this->context.answer_memory.Begin([weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->OnAnswerTooLong();
        }
      });
  this->deadline_timer = this->context.timers.Set(
      this->deadline, [self = this->shared_from_this()] {
        if (!self->is_finished) {
          self->OnDeadline();
        }
      });
}

Duration Relay::Age() const {
  return this->Now() - this->work.arrived;
}

Duration Relay::TimeLeft() const {
  return std::max(Duration::zero(), this->deadline - this->Now());
}

bool Relay::HasVersion(const EndpointRecord& endpoint) const {
  return !this->version ||
         *this->version ==
             origin::VersionKeyOf(endpoint.service, endpoint.software_version);
}

std::vector<const EndpointRecord*> Relay::AvailableEndpoints() const {
  std::vector<const EndpointRecord*> endpoints =
      this->context.AvailableEndpoints(this->work.service);
  std::erase_if(endpoints, [this](const EndpointRecord* endpoint) {
    return !this->HasVersion(*endpoint);
  });
  if (this->BeginsResumable() &&
      !this->context.origins.AllIntroduced(this->work.service)) {
    std::erase_if(endpoints, [this](const EndpointRecord* endpoint) {
      return !this->context.origins.Introduced(*endpoint);
    });
  }
  return endpoints;
}

bool Relay::AwaitsIntroduction() const {
  if (!this->BeginsResumable() ||
      this->context.origins.AllIntroduced(this->work.service)) {
    return false;
  }
  bool awaits = false;
  for (const EndpointRecord* const endpoint :
       this->context.AvailableEndpoints(this->work.service)) {
    const bool was_tried = std::find(this->tried.begin(), this->tried.end(),
                                     endpoint->id) != this->tried.end();
    if (endpoint->role == EndpointRole::kPrefill || was_tried ||
        this->context.health.Avoided(endpoint->id, this->Now())) {
      continue;
    }
    if (this->context.origins.Introduced(*endpoint)) {
      return false;
    }
    awaits = true;
  }
  return awaits;
}

bool Relay::VersionGone() const {
  if (!this->version) {
    return false;
  }
  const auto endpoints = this->context.catalog.ForService(this->work.service);
  return std::none_of(endpoints.begin(), endpoints.end(),
                      [this](const EndpointRecord* endpoint) {
                        return endpoint->role != EndpointRole::kPrefill &&
                               this->HasVersion(*endpoint);
                      });
}

void Relay::SetService(const ServiceName& service,
                       const ServiceTraits& traits,
                       ServiceState& state) {
  this->work.service = service;
  this->work.traits = &traits;
  this->work.state = &state;
}

void Relay::NoteOrigin(const EndpointRecord& endpoint) {
  if (IsStream(this->work.route->kind) && !this->work.request.id.empty()) {
    this->context.origins.OnPlaced(
        origin::StreamKeyOf(this->work.subjects.request.value,
                            this->work.request.id),
        this->work.attempt, this->outcome.sends, endpoint);
  }
}

void Relay::SendTo(const EndpointRecord& endpoint,
                   const WorkOrder& order,
                   http::ExchangeHooks hooks) {
  this->unframed = false;
  this->DropConfirmation();
  this->arrivals.NoteSent();
  const bool sent_before = std::find(this->sent_to.begin(), this->sent_to.end(),
                                     endpoint.address) != this->sent_to.end();
  if (!sent_before) {
    this->sent_to.push_back(endpoint.address);
  }
  this->new_connection = sent_before;
  this->exchange = this->context.sender.Send(
      endpoint,
      this->context.dialect.write_work(this->work.request, endpoint, order),
      std::move(hooks),
      [self = this->shared_from_this(), step = order.step](
          int status, const http::Headers& headers) {
        return self->context.dialect.judge_answer(self->work.request, step,
                                                  status, headers);
      },
      // All sends of a request bear the same id: a second copy of the answer to
      // the earlier one would pass for the answer to this one.
      {.fresh_connection = sent_before,
       .max_body_bytes = order.step == WorkStep::kPrefill
                             ? std::optional(EndpointSender::kMaxControlBytes)
                             : std::nullopt});
}

void Relay::NoteLost(const EndpointRecord& endpoint,
                     const Error& error,
                     bool sent,
                     AnswerNature nature,
                     bool answering) {
  if (!sent) {
    this->arrivals.NoteNotArrived();
  }
  this->context.health.NoteLost(endpoint.id, sent, this->Now());
  // An endpoint that leaves as ordered ends with whatever requests it has left,
  // so that its end is not attributed to the request.
  const bool planned = this->context.catalog.Leaves(endpoint.id);
  if (!sent || planned || nature == AnswerNature::kNotRun ||
      nature == AnswerNature::kMisplaced) {
    return;
  }
  ++this->outcome.losses;
  this->work.is_probe = false;
  // An endpoint that sends a malformed answer has not ended.
  if (error.code != ResultCode::kMalformedAnswer) {
    this->context.quarantine.NoteEnd(this->work.subjects, endpoint,
                                     this->work.attempt, answering);
  }
}

Duration Relay::QuarantineLeft() const {
  return this->work.is_probe
             ? Duration::zero()
             : this->context.quarantine.TimeLeft(this->work.subjects);
}

bool Relay::Quarantined() const {
  return this->QuarantineLeft() > Duration::zero();
}

SendBar Relay::BarBefore(const EndpointRecord& endpoint,
                         std::uint32_t uncovered) {
  const EndpointRecord* const current = this->context.catalog.Find(endpoint.id);
  if (this->Quarantined()) {
    return SendBar::kQuarantined;
  }
  if (current == nullptr || this->context.catalog.Leaves(endpoint.id)) {
    return SendBar::kLeaves;
  }
  if (IsRestart(endpoint.started_at_ms, current->started_at_ms) ||
      current->software_version != endpoint.software_version) {
    return SendBar::kReplaced;
  }
  if (this->context.health.Resting(endpoint.id, this->Now())) {
    return SendBar::kRests;
  }
  return this->CoverRepeats(uncovered) ? SendBar::kNone : SendBar::kUncovered;
}

bool Relay::CoverRepeats(std::uint32_t uncovered) {
  if (uncovered == 0) {
    return true;
  }
  RepeatBudget& budget = this->work.state->budget;
  const std::size_t processes = this->context.processes();
  if (budget.TryTake(this->Now(), processes, uncovered)) {
    this->arrivals.NoteCovered(uncovered);
    return true;
  }
  this->Log(log::Level::kInfo, "repeat_refused", {},
            {{"service", this->work.service},
             {"repeats", uncovered},
             {"taken", budget.repeats()},
             {"requests", budget.requests()},
             {"processes", processes}});
  return false;
}

void Relay::StopExchange() {
  if (this->exchange != 0) {
    this->context.hooks.cancel(std::exchange(this->exchange, 0));
  }
}

void Relay::HoldAnswer(std::size_t bytes) {
  this->context.answer_memory.SetHeld(this->held_answer, bytes);
}

void Relay::SetPhaseTimer(Duration after, std::function<void()> on_timeout) {
  this->CancelPhaseTimer();
  this->phase_timer = this->context.timers.SetResponseTimer(
      this->Now(), after,
      [self = this->shared_from_this(), late = std::move(on_timeout)] {
        self->phase_timer = 0;
        if (!self->is_finished) {
          late();
        }
      });
}

void Relay::CancelPhaseTimer() {
  this->context.timers.Cancel(std::exchange(this->phase_timer, 0));
}

void Relay::OnCallerGone() {
  if (!this->is_finished) {
    this->Finish(RelayEnd::kCallerGone, ResultCode::kCancelled, 0);
  }
}

void Relay::Refuse(ResultCode code, Duration retry_after) {
  const http::Response answer =
      MakeOwnAnswer(code, retry_after, this->context.closing());
  this->work.responder->SendWhole(answer);
  this->Finish(IsNotRun(code) ? RelayEnd::kRefused : RelayEnd::kUnknown, code,
               answer.status);
}

void Relay::NoteUnframed(const EndpointRecord& endpoint,
                         AnswerNature nature,
                         Instant sent_at) {
  this->unframed = true;
  ++this->outcome.unframed_answers;
  if (nature == AnswerNature::kSuccess) {
    this->confirmation = std::make_shared<EndConfirmation>(
        this->context,
        EndConfirmation::Options{.endpoint = endpoint,
                                 .request = this->work.request.id,
                                 .sent_at = sent_at});
    this->confirmation->Begin();
  }
}

void Relay::ConfirmEnd(Duration patience, EndConfirmation::Done on_done) {
  // A weak pointer: this relay owns the confirmation.
  this->confirmation->Confirm(
      patience, [weak = this->weak_from_this(), done = std::move(on_done)](
                    const EndConfirmation::Outcome& confirmed) {
        if (const auto self = weak.lock()) {
          done(confirmed);
        }
      });
}

void Relay::DropConfirmation() {
  if (const auto dropped = std::exchange(this->confirmation, nullptr)) {
    dropped->Cancel();
  }
}

void Relay::ForwardAnswer(RelayEnd end,
                          int status,
                          const http::Headers& headers,
                          std::string body) {
  this->outcome.first_byte = this->Age();
  this->work.responder->SendWhole({.status = status,
                                   .headers = this->CallerHeaders(headers),
                                   .body = std::move(body),
                                   .unframed = this->unframed});
  this->Finish(end, ResultCode::kOk, status);
}

void Relay::ForwardFailure(int status,
                           const http::Headers& headers,
                           std::string body) {
  if (PromisesNotRun(status) && !this->MayRunAgain()) {
    this->Log(log::Level::kWarning, "promise_withheld", {},
              {{"status", status}}, ResultCode::kEngineFailed);
    this->Refuse(ResultCode::kEngineFailed, {});
    return;
  }
  this->ForwardAnswer(RelayEnd::kFailed, status, headers, std::move(body));
}

http::Headers Relay::CallerHeaders(const http::Headers& headers) const {
  http::Headers forwarded;
  forwarded.reserve(headers.size() + 1);
  const http::HopByHopNames hop_by_hop(headers);
  for (const http::Header& header : headers) {
    if (!hop_by_hop.Contains(header.name)) {
      forwarded.push_back(header);
    }
  }
  if (this->context.closing()) {
    forwarded.push_back({"Connection", "close"});
  }
  return forwarded;
}

void Relay::Finish(RelayEnd end, ResultCode code, int status) {
  if (this->is_finished) {
    return;
  }
  this->is_finished = true;
  this->StopExchange();
  this->DropConfirmation();
  this->context.answer_memory.End(this->held_answer);
  this->CancelPhaseTimer();
  this->context.timers.Cancel(this->deadline_timer);
  this->work.responder->SetOnGone({});
  this->work.responder->SetOnDrained({});
  this->outcome.end = end;
  this->outcome.code = code;
  this->outcome.status = status;
  this->outcome.whole = this->Age();
  this->outcome.repeats = this->arrivals.repeats();
  this->outcome.uncovered_repeats = this->arrivals.uncovered();
  if (end == RelayEnd::kServed) {
    this->context.quarantine.NoteServed(this->work.subjects);
  }
  this->Release();
  const bool good = end == RelayEnd::kServed || end == RelayEnd::kCallerGone;
  this->Log(good ? log::Level::kInfo : log::Level::kWarning, "request_ended",
            {},
            {{"end", NameOf(kRelayEndNames, end)},
             {"status", status},
             {"route", this->work.route->name},
             {"kind", NameOf(kWorkKindNames, this->work.route->kind)},
             {"request_key", HexText(this->work.subjects.request.value)},
             {"customer", this->work.request.customer.text},
             {"quota_taken", this->work.quota_taken},
             {"configuration", this->work.routes->configuration().version},
             {"waited_ms", this->outcome.waited},
             {"first_byte_ms", this->outcome.first_byte},
             {"whole_ms", this->outcome.whole},
             {"longest_pause_ms", this->outcome.longest_pause},
             {"spent_before_ms", this->work.spent},
             {"sends", this->outcome.sends},
             {"prefills", this->outcome.prefills},
             {"unused_prompts", this->outcome.unused_prompts},
             {"events", this->outcome.events},
             {"losses", this->outcome.losses},
             {"repeats", this->outcome.repeats},
             {"uncovered_repeats", this->outcome.uncovered_repeats},
             {"software_versions",
              boost::algorithm::join(this->outcome.software_versions, " ")},
             {"resumed_attempt", this->work.request.resumed_attempt},
             {"resume_after",
              this->work.request.resume_after
                  ? static_cast<std::int64_t>(*this->work.request.resume_after)
                  : -1},
             {"unframed_answers", this->outcome.unframed_answers},
             {"partial_event_bytes", this->outcome.partial_event_bytes}},
            code);
  this->context.hooks.on_end(*this->work.route, this->outcome);
  const std::shared_ptr<Relay> self = this->shared_from_this();
  if (const auto hook = std::exchange(this->finished_hook, nullptr)) {
    hook(*this);
  }
  this->work.responder.reset();
}

std::string Relay::PartsText() const {
  return boost::algorithm::join(this->work.request.prompt_parts, " ");
}

std::string Relay::PartKeysText() const {
  std::vector<std::string> keys;
  for (const retry::RequestKey part : this->work.subjects.parts) {
    keys.push_back(HexText(part.value));
  }
  return boost::algorithm::join(keys, " ");
}

void Relay::Log(log::Level level,
                std::string_view event,
                const EndpointId& endpoint,
                std::vector<log::Field> fields,
                ResultCode code) const {
  log::Record record{.request_name = this->work.request.id,
                     .endpoint = endpoint,
                     .fields = std::move(fields)};
  if (code != ResultCode::kOk) {
    record.code = code;
  }
  this->context.hooks.log(level, event, std::move(record));
}

}  // namespace acacialug::gateway
