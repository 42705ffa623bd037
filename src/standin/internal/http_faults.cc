#include "standin/internal/http_faults.h"

#include <utility>

#include "standin/internal/json_access.h"
#include "standin/internal/timer_wait.h"

namespace acacialug::standin {

HttpFaults::HttpFaults(RandomSource& random_source) : random(random_source) {
  this->stall_end.setSingleShot(true);
  this->stall_end.callOnTimeout(
      [this] { this->SetStalled(false, Duration::zero()); });
}

void HttpFaults::Set(const nlohmann::json& control) {
  this->answer_delay = std::chrono::milliseconds(
      IntegerOr(control, "delay_ms", this->answer_delay / 1ms));
  this->lose_share = NumberOr(control, "lose_answers", this->lose_share);
  this->lose_request_share =
      NumberOr(control, "lose_requests", this->lose_request_share);
  this->unframed_share = NumberOr(control, "unframed", this->unframed_share);
  this->cut_unframed_share =
      NumberOr(control, "cut_unframed", this->cut_unframed_share);
  if (control.contains("stall")) {
    this->SetStalled(
        BoolOr(control, "stall", false),
        std::chrono::milliseconds(IntegerOr(control, "stall_ms", 0)));
  }
}

void HttpFaults::SetStalled(bool stalled, Duration length) {
  this->is_stalled = stalled;
  this->stall_end.stop();
  const bool ends = length > Duration::zero();
  const Instant now = MonotonicNow();
  if (stalled && ends) {
    this->stall_end.start(TimerWait(now + length, now));
  }
  if (this->on_stall) {
    this->on_stall(stalled, ends ? now + length : kNever);
  }
  if (!stalled) {
    for (const std::function<void()>& task : std::exchange(this->held, {})) {
      task();
    }
  }
}

void HttpFaults::RunOrHold(std::function<void()> task) {
  if (this->is_stalled) {
    this->held.push_back(std::move(task));
  } else {
    task();
  }
}

bool HttpFaults::LosesRequest() {
  return this->lose_request_share > 0 &&
         this->random.Unit() < this->lose_request_share;
}

bool HttpFaults::LosesAnswer() {
  return this->lose_share > 0 && this->random.Unit() < this->lose_share;
}

bool HttpFaults::IsUnframed() {
  return this->unframed_share > 0 && this->random.Unit() < this->unframed_share;
}

bool HttpFaults::CutsUnframed() {
  return this->cut_unframed_share > 0 &&
         this->random.Unit() < this->cut_unframed_share;
}

std::string HttpFaults::Cut(std::string text) {
  text.resize(static_cast<std::size_t>(this->random.Unit() *
                                       static_cast<double>(text.size())));
  return text;
}

void HttpFaults::Answer(const Reply& reply, http::Response response) {
  if (this->LosesAnswer()) {
    reply(std::nullopt);
    return;
  }
  response.unframed = this->IsUnframed();
  if (response.unframed && this->CutsUnframed()) {
    response.body = this->Cut(std::move(response.body));
  }
  if (this->answer_delay == Duration::zero()) {
    reply(std::move(response));
    return;
  }
  QTimer::singleShot(
      TimerWait(Instant(this->answer_delay), Instant()), &this->stall_end,
      [reply, response = std::move(response)] { reply(response); });
}

}  // namespace acacialug::standin
