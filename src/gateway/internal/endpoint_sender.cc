#include "gateway/internal/endpoint_sender.h"

#include <utility>

#include "gateway/load_table.h"

namespace acacialug::gateway {

http::Client::ExchangeId EndpointSender::Send(
    const EndpointRecord& endpoint,
    const http::Request& request,
    http::ExchangeHooks exchange_hooks,
    Judge judge,
    http::SendOptions send_options) {
  exchange_hooks.is_answer = [this, judge](int status,
                                           const http::Headers& headers) {
    return this->IsAnswer(judge, status, headers);
  };
  if (judge) {
    // What did not run, or is not from an endpoint, is known from the head.
    exchange_hooks.wants_body = [judge](int status,
                                        const http::Headers& headers) {
      const AnswerNature nature = judge(status, headers);
      return nature == AnswerNature::kSuccess ||
             nature == AnswerNature::kFailure;
    };
  } else {
    send_options.max_body_bytes = kMaxControlBytes;
    send_options.timeout = kControlTimeout;
  }
  if (this->dialect.read_advice) {
    exchange_hooks.on_head =
        [this, id = endpoint.id, started_at_ms = endpoint.started_at_ms,
         sent_at = this->hooks.now(), judge = std::move(judge),
         next = std::move(exchange_hooks.on_head)](
            int status, const http::Headers& headers) {
          if (!this->HasRestarted(id, started_at_ms)) {
            this->OnHead(id, sent_at, status, headers, judge);
          }
          if (next) {
            next(status, headers);
          }
        };
  }
  this->limits.NoteSent(LoadTable::KeyOf(endpoint.id));
  return this->hooks.send(endpoint.address, request, std::move(exchange_hooks),
                          send_options);
}

bool EndpointSender::IsAnswer(const Judge& judge,
                              int status,
                              const http::Headers& headers) const {
  if (judge) {
    return judge(status, headers) != AnswerNature::kForeign;
  }
  return !this->dialect.answers_request ||
         !this->dialect.answers_request(headers);
}

bool EndpointSender::HasRestarted(const EndpointId& endpoint,
                                  std::int64_t started_at_ms) const {
  const EndpointRecord* const current = this->catalog.Find(endpoint);
  return current != nullptr && IsRestart(started_at_ms, current->started_at_ms);
}

void EndpointSender::OnHead(const EndpointId& endpoint,
                            Instant sent_at,
                            int status,
                            const http::Headers& headers,
                            const Judge& judge) {
  const AnswerNature nature =
      judge ? judge(status, headers) : AnswerNature::kUnproven;
  if (nature == AnswerNature::kForeign || nature == AnswerNature::kMisplaced) {
    return;
  }
  const EndpointAdvice advice = this->dialect.read_advice(status, headers);
  if (this->NoteLimit(endpoint, advice.max_rate, sent_at, nature)) {
    this->LogLimit(endpoint, advice.max_rate, {});
  }
  if (advice.leaving &&
      this->catalog.NoteDeparture(endpoint, this->hooks.now())) {
    this->hooks.log(log::Level::kWarning, "endpoint_leaves",
                    {.endpoint = endpoint, .fields = {{"status", status}}});
  }
  if (advice.rest > Duration::zero()) {
    this->health.NoteRest(endpoint, advice.rest, this->hooks.now());
    this->hooks.log(log::Level::kWarning, "endpoint_rests",
                    {.endpoint = endpoint,
                     .fields = {{"status", status}, {"rest_ms", advice.rest}}});
  }
}

bool EndpointSender::NoteLimit(const EndpointId& endpoint,
                               std::optional<double> max_rate,
                               Instant sent_at,
                               AnswerNature nature) {
  const std::uint64_t key = LoadTable::KeyOf(endpoint);
  if (max_rate) {
    return this->limits.NoteLimit(key, *max_rate, this->hooks.now());
  }
  // Other answers than a success may come without the limit that is in effect.
  return nature == AnswerNature::kSuccess &&
         this->limits.NoteNoLimit(key, sent_at, this->hooks.now());
}

void EndpointSender::OnPeerLimit(const EndpointLimitReport& reported) {
  if (!this->limits.Merge(reported, this->hooks.now())) {
    return;
  }
  const EndpointRecord* const endpoint =
      this->catalog.FindByKey(reported.endpoint_key);
  this->LogLimit(endpoint == nullptr ? EndpointId() : endpoint->id,
                 reported.max_rate, {{"reported_age_ms", reported.age}});
}

void EndpointSender::LogLimit(const EndpointId& endpoint,
                              std::optional<double> max_rate,
                              std::vector<log::Field> fields) const {
  if (max_rate) {
    fields.emplace_back("per_second", *max_rate);
  }
  this->hooks.log(max_rate ? log::Level::kWarning : log::Level::kInfo,
                  max_rate ? "endpoint_limited" : "endpoint_limit_ended",
                  {.endpoint = endpoint, .fields = std::move(fields)});
}

}  // namespace acacialug::gateway
