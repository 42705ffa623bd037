#include "load/internal/call_exchange.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <string>
#include <utility>

#include "load/internal/stream_reader.h"
#include "standin/reference_answer.h"

namespace acacialug::load {
namespace {

constexpr int kOk = 200;

// A UUID of version 7, which entries require: the current time, and bits
// derived from the request's name.
std::string CallerKey(const std::string& name) {
  const auto time = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  const std::uint64_t hash = std::hash<std::string>{}(name);
  std::array<char, 37> text{};
  std::snprintf(
      text.data(), text.size(), "%08x-%04x-7%03x-8%03x-%012llx",
      static_cast<unsigned>(time >> 16U), static_cast<unsigned>(time & 0xffffU),
      static_cast<unsigned>(hash & 0xfffU),
      static_cast<unsigned>((hash >> 12U) & 0xfffU),
      static_cast<unsigned long long>((hash >> 16U) & 0xffffffffffffULL));
  return text.data();
}

http::Request MakeRequest(const CallMix& mix, const RequestSpec& spec) {
  http::Request request{
      .method = mix.method,
      .target = spec.direct ? mix.path : "/services/" + mix.service + mix.path,
      .headers = {{.name = "Content-Type", .value = "application/json"},
                  {.name = "X-Request-Id", .value = spec.name}},
      .body = spec.text};
  if (!mix.idempotent) {
    request.headers.push_back(
        {.name = "Idempotency-Key", .value = CallerKey(spec.name)});
  }
  return request;
}

}  // namespace

CallExchange::CallExchange(ExchangeContext& exchange_context,
                           RequestSpec request_spec)
    : context(exchange_context),
      spec(std::move(request_spec)),
      mix(exchange_context.plan.calls[this->spec.mix]),
      request(MakeRequest(this->mix, this->spec)),
      expected(standin::ReferenceServiceAnswer(this->mix.method,
                                               this->mix.path,
                                               this->spec.text)) {}

void CallExchange::Start(Instant arrived) {
  this->account = this->context.accounting.Begin(this->spec, arrived);
  this->record = this->context.calls.size();
  this->context.calls.push_back(
      {.request = this->spec.name,
       .idempotent = this->mix.idempotent,
       .submissions = this->spec.submitted_twice ? 2U : 1U});
  this->Send(std::make_shared<Submission>());
  if (this->spec.submitted_twice) {
    auto second = std::make_shared<Submission>();
    second->first = false;
    this->Send(second);
  }
}

EntryRotation& CallExchange::Rotation() {
  return this->spec.direct ? this->context.direct_plain : this->context.entries;
}

void CallExchange::Send(const SubmissionPtr& submission) {
  auto self = this->shared_from_this();
  const http::Address address = this->Rotation().Next(MonotonicNow());
  this->context.client.Send(
      address, this->request,
      {.on_head =
           [submission](int code, const http::Headers& headers) {
             submission->status = code;
             submission->outcome_header =
                 http::FindHeader(headers, "X-Outcome").value_or("");
           },
       .on_unframed = [submission] { submission->unframed = true; },
       .on_end =
           [self, submission](const std::string& body) {
             self->OnEnd(submission, body);
           },
       .on_error =
           [self, submission, address](const Error& error, bool sent) {
             self->OnError(submission, address, error, sent);
           }});
}

void CallExchange::OnEnd(const SubmissionPtr& submission,
                         const std::string& body) {
  if (submission->status != kOk) {
    const AnswerError error =
        ReadError(submission->status, submission->outcome_header, body);
    this->Finish(submission, error.outcome, error.code);
    return;
  }
  // Only the connection's end says that such an answer is whole, as does that
  // of a process that ends.
  const bool cut = submission->unframed &&
                   body.size() < this->expected.size() &&
                   this->expected.starts_with(body);
  if (cut) {
    this->Finish(submission, RequestOutcome::kUnknown, "cut");
    return;
  }
  this->CheckBody(body);
  this->Finish(submission, RequestOutcome::kCompleted, "");
}

void CallExchange::CheckBody(const std::string& body) {
  if (body != this->expected) {
    this->Add(ViolationKind::kForeignAnswer, body.substr(0, 80));
  }
  if (this->answered && *this->answered != body) {
    this->Add(ViolationKind::kAnswersDiffer, body.substr(0, 80));
  }
  this->answered = body;
}

void CallExchange::OnError(const SubmissionPtr& submission,
                           const http::Address& address,
                           const Error& error,
                           bool sent) {
  if (sent) {
    this->Finish(submission, RequestOutcome::kUnknown, error.code.message());
    return;
  }
  this->Rotation().OnUnreachable(address, MonotonicNow());
  if (++submission->tries < this->Rotation().size()) {
    this->Send(submission);
  } else {
    this->Finish(submission, RequestOutcome::kNotRun, "unreachable");
  }
}

void CallExchange::Finish(const SubmissionPtr& submission,
                          RequestOutcome outcome,
                          const std::string& code) {
  CallRecord& call = this->context.calls[this->record];
  call.any_completed =
      call.any_completed || outcome == RequestOutcome::kCompleted;
  call.refused_not_run += outcome == RequestOutcome::kNotRun ? 1 : 0;
  if (submission->first) {
    this->first_outcome = outcome;
    this->first_code = code;
  }
  // One of two submissions may be answered that the other is still running: the
  // call is complete when either is.
  if (outcome == RequestOutcome::kCompleted) {
    this->context.accounting.OnOutcome(this->account, outcome, code,
                                       MonotonicNow());
  } else if (++this->incomplete == call.submissions) {
    this->context.accounting.OnOutcome(this->account, this->first_outcome,
                                       this->first_code, MonotonicNow());
  }
}

void CallExchange::Add(ViolationKind kind, std::string detail) {
  this->context.violations.push_back(
      {.kind = kind, .request = this->spec.name, .detail = std::move(detail)});
}

}  // namespace acacialug::load
