#ifndef ENTRY_PROCESS_TESTS_FAKE_RESPONDER_H_
#define ENTRY_PROCESS_TESTS_FAKE_RESPONDER_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "framework/http/http_server.h"

namespace acacialug::entry_process {

// A caller's side that keeps what it receives. The test sets `unsent`.
class FakeResponder : public http::Responder {
 public:
  void SendWhole(const http::Response& response) override {
    this->whole = response;
  }
  void BeginStream(int status, const http::Headers& headers) override {
    this->stream_head = http::Response{.status = status, .headers = headers};
  }
  void BeginUnframedStream(int status, const http::Headers& headers) override {
    this->BeginStream(status, headers);
    this->stream_head->unframed = true;
  }
  void SendData(std::string_view data) override {
    this->data += data;
    ++this->writes;
  }
  void EndStream() override { this->ended = true; }
  void Abort() override { this->aborted = true; }
  bool gone() const override { return false; }
  std::size_t unsent_bytes() const override { return this->unsent; }
  void SetOnGone(std::function<void()> hook) override {
    this->on_gone = std::move(hook);
  }
  void SetOnDrained(std::function<void()> hook) override {
    this->on_drained = std::move(hook);
  }

  // The caller has read everything.
  void Drain() {
    this->unsent = 0;
    if (const auto hook = this->on_drained) {
      hook();
    }
  }

  std::optional<http::Response> whole;
  std::optional<http::Response> stream_head;
  std::string data;
  int writes = 0;
  bool ended = false;
  bool aborted = false;
  std::size_t unsent = 0;
  std::function<void()> on_gone;
  std::function<void()> on_drained;
};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_TESTS_FAKE_RESPONDER_H_
