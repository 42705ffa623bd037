#include "load/internal/generation_exchange.h"

#include <QTimer>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "standin/reference_answer.h"

namespace acacialug::load {
namespace {

using nlohmann::json;

constexpr int kOk = 200;

bool IsChat(const GenerationMix& mix) {
  return mix.api == protocol::GenerationApi::kChat;
}

json MakeBody(const GenerationMix& mix, const RequestSpec& spec) {
  json body{{"model", mix.model}, {"max_tokens", spec.max_tokens}};
  if (IsChat(mix)) {
    body["messages"] = {{{"role", "user"}, {"content", spec.text}}};
  } else {
    body["prompt"] = spec.text;
  }
  if (mix.stream) {
    body["stream"] = true;
    body["stream_options"] = {{"include_usage", true}};
  }
  return body;
}

AnswerChecker MakeChecker(const GenerationMix& mix, const RequestSpec& spec) {
  const std::string text =
      IsChat(mix) ? "user: " + spec.text + "\nassistant: " : spec.text;
  standin::ReferenceAnswer answer =
      standin::MakeReferenceAnswer(text, spec.max_tokens);
  return AnswerChecker({.request = spec.name,
                        .expected = std::move(answer.text),
                        .token_bytes = standin::kTokenBytes,
                        .finish = answer.plan.reason,
                        .prompt_tokens = answer.plan.prompt_tokens});
}

}  // namespace

GenerationExchange::GenerationExchange(ExchangeContext& exchange_context,
                                       RequestSpec request_spec)
    : context(exchange_context),
      spec(std::move(request_spec)),
      mix(exchange_context.plan.generations[this->spec.mix]),
      body(MakeBody(this->mix, this->spec).dump()),
      checker(MakeChecker(this->mix, this->spec)),
      reader(this->MakeEvents()) {}

void GenerationExchange::Start(Instant arrived) {
  this->account = this->context.accounting.Begin(this->spec, arrived);
  if (this->spec.direct) {
    this->SendPrefill();
  } else {
    this->SendToEntry();
  }
}

void GenerationExchange::SendToEntry() {
  this->SendStream(this->context.entries.Next(MonotonicNow()),
                   this->MakeRequest(this->body));
}

void GenerationExchange::SendPrefill() {
  json prefill = json::parse(this->body);
  prefill.erase("stream_options");
  prefill["stream"] = false;
  prefill["max_tokens"] = 1;
  prefill["kv_transfer_params"] = {
      {"do_remote_decode", true},    {"do_remote_prefill", false},
      {"remote_engine_id", nullptr}, {"remote_block_ids", nullptr},
      {"remote_host", nullptr},      {"remote_port", nullptr}};
  auto self = this->shared_from_this();
  this->exchange = this->context.client.Send(
      this->context.direct_prefill.Next(MonotonicNow()),
      this->MakeRequest(prefill.dump()),
      {.on_head = [self](int code,
                         const http::Headers&) { self->status = code; },
       .on_end =
           [self](const std::string& answer) { self->SendDecode(answer); },
       .on_error = [self](const Error& error,
                          bool) { self->Break(error.code.message()); }});
}

void GenerationExchange::SendDecode(const std::string& prefill_answer) {
  const json answer = json::parse(prefill_answer, nullptr, false);
  if (this->status != kOk || !answer.contains("kv_transfer_params")) {
    this->Break("prefill status " + std::to_string(this->status));
    return;
  }
  json decode = json::parse(this->body);
  decode["kv_transfer_params"] = answer["kv_transfer_params"];
  this->SendStream(this->context.direct_decode.Next(MonotonicNow()),
                   this->MakeRequest(decode.dump()));
}

void GenerationExchange::SendStream(const http::Address& address,
                                    const http::Request& request) {
  auto self = this->shared_from_this();
  this->exchange = this->context.client.Send(
      address, request,
      {.on_head =
           [self](int code, const http::Headers& headers) {
             self->OnHead(code, headers);
           },
       .on_unframed = [self] { self->unframed = true; },
       .on_data = [self](std::string_view data) { self->OnData(data); },
       .on_end = [self](const std::string&) { self->OnEnd(); },
       .on_error =
           [self, address](const Error& error, bool sent) {
             if (!sent && !self->spec.direct) {
               self->OnUnreachable(self->context.entries, address,
                                   &GenerationExchange::SendToEntry);
             } else {
               self->Break(error.code.message());
             }
           }});
}

void GenerationExchange::OnUnreachable(EntryRotation& rotation,
                                       const http::Address& address,
                                       void (GenerationExchange::*again)()) {
  rotation.OnUnreachable(address, MonotonicNow());
  if (++this->tries < rotation.size()) {
    (this->*again)();
  } else {
    this->Finish(RequestOutcome::kNotRun, "unreachable");
  }
}

void GenerationExchange::OnHead(int code, const http::Headers& headers) {
  this->status = code;
  this->outcome_header = http::FindHeader(headers, "X-Outcome").value_or("");
}

void GenerationExchange::OnData(std::string_view data) {
  if (this->done) {
    return;
  }
  if (this->status == kOk && this->mix.stream) {
    this->reader.OnData(data);
  } else {
    this->whole_body += data;
  }
}

void GenerationExchange::OnText(std::string_view text) {
  const std::uint32_t before = this->checker.tokens();
  this->checker.OnText(text);
  const std::uint32_t now = this->checker.tokens();
  this->context.accounting.OnTokens(this->account, now - before,
                                    MonotonicNow());
  const auto reached = [before, now](std::uint32_t token) {
    return token != 0 && before < token && now >= token;
  };
  if (reached(this->spec.leaves_after_tokens)) {
    this->context.client.Cancel(this->exchange);
    this->Finish(RequestOutcome::kLeft, "left");
  } else if (reached(this->spec.pauses_after_tokens)) {
    this->context.client.SetPaused(this->exchange, true);
    QTimer::singleShot(std::chrono::duration_cast<std::chrono::milliseconds>(
                           this->mix.slow_reader_pause),
                       [self = this->shared_from_this()] {
                         self->context.client.SetPaused(self->exchange, false);
                       });
  }
}

void GenerationExchange::OnEnd() {
  if (this->done) {
    return;
  }
  if (this->status != kOk) {
    this->OnAnswerError(
        ReadError(this->status, this->outcome_header, this->whole_body));
  } else if (this->unframed && !this->EndsWhole()) {
    this->Break("cut");
    return;
  } else if (!this->mix.stream) {
    ReadWholeAnswer(this->whole_body, this->MakeEvents());
  }
  if (this->answer_error) {
    this->Finish(this->answer_error->outcome, this->answer_error->code);
  } else if (this->checker.whole()) {
    this->Finish(RequestOutcome::kCompleted, "");
  } else {
    // The connection was closed properly, as after a complete answer.
    if (this->checker.violations().empty()) {
      this->checker.OnMalformed("the stream ended without [DONE]");
    }
    this->Finish(RequestOutcome::kUnknown, "violation");
  }
}

bool GenerationExchange::EndsWhole() const {
  return this->mix.stream ? this->checker.whole()
                          : json::accept(this->whole_body);
}

void GenerationExchange::OnAnswerError(const AnswerError& error) {
  this->checker.OnError();
  this->answer_error = error;
}

void GenerationExchange::Break(const std::string& code) {
  if (this->checker.whole()) {
    this->Finish(RequestOutcome::kCompleted, "");
  } else if (this->answer_error) {
    this->Finish(this->answer_error->outcome, this->answer_error->code);
  } else {
    this->Finish(RequestOutcome::kUnknown, code);
  }
}

void GenerationExchange::Finish(RequestOutcome outcome,
                                const std::string& code) {
  if (this->done) {
    return;
  }
  this->done = true;
  if (outcome == RequestOutcome::kNotRun && this->checker.tokens() > 0) {
    this->context.violations.push_back(
        {.kind = ViolationKind::kNotRunDidRun,
         .request = this->spec.name,
         .detail = "tokens came before the refusal"});
  }
  for (const Violation& violation : this->checker.violations()) {
    this->context.violations.push_back(violation);
  }
  this->context.accounting.OnOutcome(this->account, outcome, code,
                                     MonotonicNow());
}

AnswerEvents GenerationExchange::MakeEvents() {
  return {
      .on_text = [this](std::string_view text) { this->OnText(text); },
      .on_finish =
          [this](std::string_view reason) { this->checker.OnFinish(reason); },
      .on_usage =
          [this](const protocol::Usage& usage) {
            this->checker.OnUsage(usage);
            this->context.accounting.OnUsage(this->account, usage);
          },
      .on_end = [this] { this->checker.OnEnd(); },
      .on_error =
          [this](const AnswerError& error) { this->OnAnswerError(error); },
      .on_malformed =
          [this](std::string detail) {
            this->checker.OnMalformed(std::move(detail));
          }};
}

http::Request GenerationExchange::MakeRequest(std::string request_body) const {
  http::Request request{
      .method = "POST",
      .target = IsChat(this->mix) ? "/v1/chat/completions" : "/v1/completions",
      .headers = {{.name = "Content-Type", .value = "application/json"},
                  {.name = "X-Request-Id", .value = this->spec.name}},
      .body = std::move(request_body)};
  if (!this->mix.latency_class.empty()) {
    request.headers.push_back(
        {.name = "X-Latency-Class", .value = this->mix.latency_class});
  }
  return request;
}

}  // namespace acacialug::load
