#include "entry_process/internal/generation_answer.h"

#include <QTimer>
#include <chrono>
#include <memory>
#include <utility>

namespace acacialug::entry_process {
namespace {

constexpr int kOk = 200;

}  // namespace

GenerationAnswer::GenerationAnswer(http::ResponderPtr caller_responder,
                                   Options answer_options)
    : responder(std::move(caller_responder)),
      options(std::move(answer_options)),
      renderer(this->options.renderer) {}

GenerationAnswer::~GenerationAnswer() {
  if (!this->cutting) {
    this->responder->SetOnDrained({});  // the hook holds this object
  }
}

bool GenerationAnswer::AddText(std::uint64_t index, std::string_view text) {
  if (this->options.stream) {
    if (!text.empty()) {
      this->renderer.AppendTextEvent(text, this->collected);
    }
  } else {
    if (this->collected.size() + text.size() >
        this->options.limits.max_whole_bytes) {
      return false;
    }
    this->collected += text;
  }
  this->undelivered = index;
  return true;
}

void GenerationAnswer::Flush() {
  if (this->options.stream && !this->collected.empty()) {
    this->BeginStream();
    this->responder->SendData(this->collected);
    this->collected.clear();
  }
  this->ReportDelivered();
}

void GenerationAnswer::End(protocol::FinishReason reason,
                           const protocol::Usage& usage) {
  if (this->options.stream) {
    this->BeginStream();
    this->collected += this->renderer.EndEvents(reason, usage);
    this->responder->SendData(this->collected);
    this->responder->EndStream();
    return;
  }
  http::Response response{
      .headers = this->options.identity,
      .body = this->renderer.Whole(this->collected, reason, usage)};
  response.headers.push_back({"Content-Type", "application/json"});
  response.headers.push_back({"X-Outcome", "completed"});
  this->responder->SendWhole(response);
}

void GenerationAnswer::Fail(const ErrorAnswer& error) {
  if (!this->begun && (!this->options.stream || this->collected.empty())) {
    http::Response response = RenderError(error);
    response.headers.insert(response.headers.end(),
                            this->options.identity.begin(),
                            this->options.identity.end());
    this->responder->SendWhole(response);
    return;
  }
  this->BeginStream();
  this->collected += RenderEvent(RenderErrorBody(error));
  this->responder->SendData(this->collected);
  this->CutWhenRead();
}

void GenerationAnswer::BeginStream() {
  if (this->begun) {
    return;
  }
  this->begun = true;
  http::Headers headers = this->options.identity;
  headers.push_back({"Content-Type", "text/event-stream; charset=utf-8"});
  headers.push_back({"Cache-Control", "no-cache"});
  this->responder->BeginStream(kOk, headers);
  this->collected.insert(0, this->renderer.BeginEvents());
}

// Chunks that a slow caller has not read are not reported as delivered: the
// core then stops acknowledging, and the engine's stream stops with it.
void GenerationAnswer::ReportDelivered() {
  if (!this->undelivered) {
    return;
  }
  if (this->responder->unsent_bytes() <=
      this->options.limits.max_unsent_bytes) {
    this->responder->SetOnDrained({});
    this->options.on_delivered(*std::exchange(this->undelivered, {}));
    return;
  }
  this->responder->SetOnDrained([this] { this->ReportDelivered(); });
}

// The event that names the error should reach the caller, but a caller that
// does not read must not keep the connection.
void GenerationAnswer::CutWhenRead() {
  this->cutting = true;
  const std::size_t unsent = this->responder->unsent_bytes();
  if (unsent == 0 || unsent > this->options.limits.max_unsent_bytes) {
    this->responder->Abort();
    return;
  }
  const std::weak_ptr<http::Responder> later = this->responder;
  this->responder->SetOnDrained([later] {
    if (const http::ResponderPtr open = later.lock()) {
      open->Abort();
    }
  });
  this->responder->SetOnGone({});
  // Holds the responder until then; aborting twice does nothing.
  QTimer::singleShot(std::chrono::ceil<std::chrono::milliseconds>(
                         this->options.limits.cut_within),
                     [open = this->responder] { open->Abort(); });
}

}  // namespace acacialug::entry_process
