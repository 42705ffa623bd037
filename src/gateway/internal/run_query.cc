#include "gateway/internal/run_query.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

namespace acacialug::gateway {
namespace {

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
// A process that ends may still take a connection, and one that lives may reset
// a connection that is one too many. Only an endpoint that has ended takes none
// twice in a row.
constexpr std::uint32_t kEndedAfter = 2;
constexpr std::uint32_t kMaxFailures = 3;
constexpr Duration kRepeatWait = 20ms;
// The same after kMaxFailures.
constexpr Duration kLongRepeatWait = 160ms;
// The time between two questions while a request runs.
constexpr Duration kRunsWait = 100ms;
// An endpoint answers within a round trip of a few milliseconds.
constexpr Duration kResponseTimeout = 250ms;

}  // namespace

RunQuery::RunQuery(RelayContext& relay_context, Options query_options)
    : context(relay_context), options(std::move(query_options)) {}

void RunQuery::Begin(Done on_done) {
  this->done = std::move(on_done);
  this->begun_at = this->Now() + this->options.wait;
  this->AskAfter(this->options.wait);
}

void RunQuery::AskAfter(Duration wait) {
  this->timer = this->context.timers.SetResponseTimer(
      this->Now(), wait, [self = this->shared_from_this()] {
        self->timer = 0;
        self->Ask();
      });
}

void RunQuery::Ask() {
  const EndpointDialect& dialect = this->context.dialect;
  if (!dialect.read_run_report || !dialect.write_report) {
    this->End(RunState::kUnknown);
    return;
  }
  this->asked_at = this->Now();
  auto self = this->shared_from_this();
  auto status = std::make_shared<int>(0);
  auto rejected = std::make_shared<bool>(false);
  this->exchange = this->context.sender.Send(
      this->options.endpoint, dialect.write_report(this->options.endpoint),
      {.on_head =
           [self, status, rejected](int answered, const http::Headers& head) {
             *status = answered;
             *rejected = self->context.dialect.judge_answer(
                             WorkRequest(), WorkStep::kWhole, answered, head) ==
                         AnswerNature::kNotRun;
           },
       .on_end =
           [self, status, rejected](const std::string& body) {
             self->exchange = 0;
             if (*rejected) {
               self->OnRejected();
             } else {
               self->OnAnswer(*status, body);
             }
           },
       .on_error =
           [self](const Error&, bool sent) {
             self->exchange = 0;
             self->OnError(sent);
           }},
      {}, {.fresh_connection = this->options.fresh_connection});
  const Duration left = this->begun_at + this->options.patience - this->Now();
  this->timer = this->context.timers.SetResponseTimer(
      this->Now(), std::max(kResponseTimeout, left), [self] {
        self->timer = 0;
        self->End(RunState::kSilent);
      });
}

void RunQuery::OnError(bool sent) {
  this->context.timers.Cancel(std::exchange(this->timer, 0));
  this->unsent = sent ? 0 : this->unsent + 1;
  if (this->unsent == kEndedAfter) {
    this->End(RunState::kEnded);
  } else {
    this->AskAgain();
  }
}

void RunQuery::AskAgain() {
  ++this->failures;
  const bool few = this->failures < kMaxFailures;
  if (!few && this->Now() - this->begun_at >= this->options.patience) {
    this->End(RunState::kSilent);
    return;
  }
  this->AskAfter(few ? kRepeatWait : kLongRepeatWait);
}

std::optional<Duration> RunQuery::WaitAfter(const RunReport& report) const {
  if (!this->options.until_run_ends) {
    return std::nullopt;
  }
  if (!report.lists_run) {
    const Duration early =
        this->options.sent_at + kMaxReportAge - this->asked_at;
    return early > Duration::zero() ? std::optional(early) : std::nullopt;
  }
  const bool patient = this->Now() - this->begun_at < this->options.patience;
  return patient ? std::optional(kRunsWait) : std::nullopt;
}

void RunQuery::OnRejected() {
  if (this->options.until_run_ends) {
    this->OnError(true);
  } else {
    this->End(RunState::kUnknown);
  }
}

void RunQuery::OnAnswer(int status, std::string_view body) {
  if (status == kMisdirected) {
    this->End(RunState::kEnded);
    return;
  }
  const std::optional<RunReport> report =
      status == kOk
          ? this->context.dialect.read_run_report(body, this->options.request)
          : std::nullopt;
  if (!report) {
    // A proxy may answer for an endpoint that has ended.
    this->OnError(true);
    return;
  }
  this->context.processes_seen.Note(this->options.endpoint.id,
                                    report->started_at_ms, this->Now());
  this->unsent = 0;
  if (const auto wait = this->WaitAfter(*report)) {
    this->context.timers.Cancel(std::exchange(this->timer, 0));
    this->AskAfter(*wait);
    return;
  }
  this->End(report->lists_run ? RunState::kRuns : RunState::kDoesNotRun,
            report->started_at_ms);
}

void RunQuery::Cancel() {
  this->done = nullptr;
  this->context.timers.Cancel(std::exchange(this->timer, 0));
  if (this->exchange != 0) {
    this->context.hooks.cancel(std::exchange(this->exchange, 0));
  }
}

void RunQuery::End(RunState state, std::int64_t started_at_ms) {
  const Done hook = std::move(this->done);
  this->Cancel();
  if (hook) {
    hook({.state = state, .started_at_ms = started_at_ms});
  }
}

}  // namespace acacialug::gateway
