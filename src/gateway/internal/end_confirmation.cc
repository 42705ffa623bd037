#include "gateway/internal/end_confirmation.h"

#include <utility>

namespace acacialug::gateway {

EndConfirmation::EndConfirmation(RelayContext& relay_context,
                                 Options confirmation_options)
    : context(relay_context), options(std::move(confirmation_options)) {}

// A process that is killed may be replaced under the same id before its
// endpoint is asked at the answer's end.
void EndConfirmation::Begin() {
  if (this->context.processes_seen.TellsStart(this->options.endpoint)) {
    this->Ask({}, [](const RunAnswer&) {});
  }
}

void EndConfirmation::Confirm(Duration patience, Done on_done) {
  this->Cancel();
  this->maker = this->context.processes_seen.MakerOf(
      this->options.endpoint, this->options.sent_at, this->context.hooks.now(),
      this->context.timers);
  // A weak pointer: this object owns the query.
  this->Ask({.fresh_connection = true, .patience = patience},
            [weak = this->weak_from_this(),
             done = std::move(on_done)](const RunAnswer& answer) {
              if (const auto self = weak.lock()) {
                done(self->Judge(answer));
              }
            });
}

EndConfirmation::Outcome EndConfirmation::Judge(const RunAnswer& answer) const {
  // The endpoint's record doesn't tell: it may be older than the process.
  const bool same_process = answer.started_at_ms == 0 ||
                            answer.state == RunState::kRuns ||
                            this->maker.MayBe(answer.started_at_ms);
  const bool ended =
      answer.state == RunState::kEnded || answer.state == RunState::kSilent;
  return {.whole = !ended && same_process,
          .answer = answer,
          .same_process = same_process};
}

void EndConfirmation::Ask(RunQuery::Options query_options,
                          RunQuery::Done on_answer) {
  query_options.endpoint = this->options.endpoint;
  query_options.request = this->options.request;
  this->query =
      std::make_shared<RunQuery>(this->context, std::move(query_options));
  this->query->Begin(std::move(on_answer));
}

void EndConfirmation::Cancel() {
  if (const auto ended = std::exchange(this->query, nullptr)) {
    ended->Cancel();
  }
}

}  // namespace acacialug::gateway
