#include "gateway/internal/run_query.h"

#include <utility>

namespace acacialug::gateway {
namespace {

constexpr int kOk = 200;
// An endpoint that watches its connections closes one within a round trip.
constexpr Duration kCloseWait = 50ms;
// An endpoint answers within a round trip of a few milliseconds.
constexpr Duration kResponseTimeout = 250ms;

}  // namespace

RunQuery::RunQuery(RelayContext& relay_context,
                   EndpointRecord queried,
                   std::string request)
    : context(relay_context),
      endpoint(std::move(queried)),
      request_id(std::move(request)) {}

void RunQuery::Begin(Done on_done) {
  this->done = std::move(on_done);
  this->timer = this->context.timers.SetResponseTimer(
      this->Now(), kCloseWait, [self = this->shared_from_this()] {
        self->timer = 0;
        self->Ask();
      });
}

void RunQuery::Ask() {
  const EndpointDialect& dialect = this->context.dialect;
  if (!dialect.lists_run || !dialect.write_report) {
    this->End(false);
    return;
  }
  auto self = this->shared_from_this();
  auto status = std::make_shared<int>(0);
  this->exchange = this->context.sender.Send(
      this->endpoint, dialect.write_report(this->endpoint),
      {.on_head = [status](int answered,
                           const http::Headers&) { *status = answered; },
       .on_end =
           [self, status](const std::string& body) {
             self->exchange = 0;
             self->End(*status == kOk &&
                       self->context.dialect.lists_run(body, self->request_id));
           },
       .on_error =
           [self](const Error&, bool) {
             self->exchange = 0;
             self->End(false);
           }});
  this->timer = this->context.timers.SetResponseTimer(this->Now(),
                                                      kResponseTimeout, [self] {
                                                        self->timer = 0;
                                                        self->End(false);
                                                      });
}

void RunQuery::Cancel() {
  this->done = nullptr;
  this->context.timers.Cancel(std::exchange(this->timer, 0));
  if (this->exchange != 0) {
    this->context.hooks.cancel(std::exchange(this->exchange, 0));
  }
}

void RunQuery::End(bool at_work) {
  const Done hook = std::move(this->done);
  this->Cancel();
  if (hook) {
    hook(at_work);
  }
}

}  // namespace acacialug::gateway
