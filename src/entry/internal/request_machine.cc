#include "entry/internal/request_machine.h"

#include <algorithm>

namespace acacialug::entry {

RequestMachine::RequestMachine(RequestContext shared,
                               RequestTerms fixed,
                               ServiceState& service_state)
    : context(shared), terms(std::move(fixed)), service(service_state) {}

admission::Waiting RequestMachine::QueueRecord() const {
  return {.request = this->terms.request,
          .caller = this->terms.caller,
          .share = this->terms.share,
          .arrival = this->terms.arrival,
          .deadline = this->terms.first_token_by};
}

AttemptId RequestMachine::Attempt(AttemptNumber number) const {
  return {.request = this->terms.request,
          .attempt = number,
          .entry = this->context.options.incarnation};
}

Instant RequestMachine::WaitDeadline() const {
  return std::min(this->terms.deadline,
                  this->terms.arrival + this->terms.latency_class->patience);
}

void RequestMachine::Refuse(ResultCode code,
                            Duration retry_after,
                            Instant now) {
  this->Fail(code, protocol::Outcome::kNotRun, retry_after, now);
}

void RequestMachine::Fail(ResultCode code,
                          protocol::Outcome outcome,
                          Duration retry_after,
                          Instant now) {
  if (this->state == RequestState::kDone) {
    return;
  }
  ++(outcome == protocol::Outcome::kNotRun
         ? this->context.counters.refused_not_run
         : this->context.counters.failed);
  this->Abandon(now);
  this->Emit(AnswerError{.request = this->terms.request,
                         .code = code,
                         .outcome = outcome,
                         .retry_after = retry_after});
}

}  // namespace acacialug::entry
