#include "gateway/internal/endpoint_sender.h"

#include <utility>

namespace acacialug::gateway {

http::Client::ExchangeId EndpointSender::Send(
    const EndpointRecord& endpoint,
    const http::Request& request,
    http::ExchangeHooks exchange_hooks,
    Judge judge) {
  if (this->dialect.read_advice) {
    exchange_hooks.on_head = [this, id = endpoint.id, judge = std::move(judge),
                              next = std::move(exchange_hooks.on_head)](
                                 int status, const http::Headers& headers) {
      this->OnHead(id, status, headers, judge);
      if (next) {
        next(status, headers);
      }
    };
  }
  return this->hooks.send(endpoint.address, request, std::move(exchange_hooks));
}

void EndpointSender::OnHead(const EndpointId& endpoint,
                            int status,
                            const http::Headers& headers,
                            const Judge& judge) {
  const AnswerNature nature =
      judge ? judge(status, headers) : AnswerNature::kUnproven;
  if (nature == AnswerNature::kForeign || nature == AnswerNature::kMisplaced) {
    return;
  }
  const EndpointAdvice advice = this->dialect.read_advice(status, headers);
  // Only the answer to a request that ran shows that there is no limit:
  // endpoints may leave it out of their other answers.
  const bool ran =
      nature == AnswerNature::kSuccess || nature == AnswerNature::kFailure;
  if (advice.max_rate || ran) {
    this->NoteMaxRate(endpoint, advice.max_rate);
  }
}

void EndpointSender::NoteMaxRate(const EndpointId& endpoint,
                                 std::optional<double> max_rate) {
  const auto known = this->max_rates.find(endpoint);
  const bool limited = known != this->max_rates.end();
  if (!max_rate) {
    if (limited) {
      this->max_rates.erase(known);
      this->hooks.log(log::Level::kInfo, "endpoint_limit_ended",
                      {.endpoint = endpoint, .fields = {}});
    }
    return;
  }
  if (!limited || known->second != *max_rate) {
    this->max_rates[endpoint] = *max_rate;
    this->hooks.log(
        log::Level::kWarning, "endpoint_limited",
        {.endpoint = endpoint, .fields = {{"per_second", *max_rate}}});
  }
}

void EndpointSender::Forget(const EndpointId& endpoint) {
  this->max_rates.erase(endpoint);
}

}  // namespace acacialug::gateway
