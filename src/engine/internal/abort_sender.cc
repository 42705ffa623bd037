#include "engine/internal/abort_sender.h"

#include <algorithm>
#include <utility>

#include "engine/internal/openai_format.h"

namespace acacialug::engine {
namespace {

// Bounds the memory used for an engine that never returns. Aborts above the
// bound are dropped; the list of held requests, which is read once the engine
// is back, finds their attempts.
constexpr std::size_t kMaxWaiting = 8192;

constexpr int kOkStatus = 200;

}  // namespace

AbortSender::AbortSender(const EngineOptions& engine_options,
                         http::Client& http_client)
    : options(engine_options),
      client(http_client),
      next_retry(engine_options.min_abort_retry) {
  this->timer.setSingleShot(true);
  QObject::connect(&this->timer, &QTimer::timeout, [this] { this->Send(); });
}

void AbortSender::Add(const AttemptId& attempt) {
  if (this->waiting.size() >= kMaxWaiting) {
    return;
  }
  this->waiting.push_back(attempt);
  if (this->sent.empty() && !this->timer.isActive()) {
    this->Send();
  }
}

void AbortSender::Send() {
  this->sent = std::exchange(this->waiting, {});
  const http::Request request{.method = "POST",
                              .target = "/abort_requests",
                              .headers = {{"Content-Type", "application/json"}},
                              .body = AbortBody(this->sent)};
  auto status = std::make_shared<int>(0);
  this->client.Send(
      this->options.address, request,
      {.on_head = [status](int head_status,
                           const http::Headers&) { *status = head_status; },
       .on_end =
           [this, status](const std::string&) {
             *status == kOkStatus ? this->OnAnswered() : this->OnFailed();
           },
       .on_error = [this](const Error&, bool) { this->OnFailed(); }});
}

void AbortSender::OnAnswered() {
  this->sent.clear();
  this->next_retry = this->options.min_abort_retry;
  if (!this->waiting.empty()) {
    this->Send();
  }
}

void AbortSender::OnFailed() {
  this->waiting.insert(this->waiting.begin(), this->sent.begin(),
                       this->sent.end());
  this->sent.clear();
  this->timer.start(
      std::chrono::duration_cast<std::chrono::milliseconds>(this->next_retry));
  this->next_retry =
      std::min(2 * this->next_retry, this->options.max_abort_retry);
}

}  // namespace acacialug::engine
