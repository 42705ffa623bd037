#ifndef ENTRY_PROCESS_TESTS_PROCESS_FIXTURE_H_
#define ENTRY_PROCESS_TESTS_PROCESS_FIXTURE_H_

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "entry_process/entry_process.h"
#include "entry_process/tests/fake_agent.h"
#include "framework/http/http_client.h"
#include "framework/http/tests/socket_support.h"

namespace acacialug::entry_process {

inline const std::string kChat =
    R"({"model": "review-1", "messages": [{"role": "user", "content": "x"}]})";
inline const std::string kStreamed =
    R"({"model": "review-1", "prompt": "x", "stream": true})";

// One exchange of a caller.
struct Exchange {
  http::Client::ExchangeId id = 0;
  int status = 0;
  http::Headers headers;
  std::string body;
  bool ended = false;
  bool failed = false;

  bool Done() const { return this->ended || this->failed; }
  std::string Header(std::string_view name) const {
    return std::string(http::FindHeader(this->headers, name).value_or(""));
  }
};

inline manifest::Endpoint MakeEndpoint(const char* id,
                                       const char* service,
                                       protocol::EndpointRole role) {
  return {.id = EndpointId(id),
          .domain = FailureDomain("hall-a"),
          .service = ServiceName(service),
          .role = role,
          .kv_tokens = 1'000'000,
          .slots = 64};
}

// Makes the decode agent leave streams to the test, and records them.
inline std::function<void(FakeAgent::Options&)> HoldDecode(
    std::optional<AttemptId>& held) {
  return [&held](FakeAgent::Options& options) {
    options.takes = [&held](const protocol::EntryToAgent& message) {
      const auto* start = std::get_if<protocol::StartDecode>(&message);
      if (start != nullptr) {
        held = start->attempt;
      }
      return start == nullptr;
    };
  };
}

// An entry with one prefill, one decode and one plain endpoint, all on sockets.
struct Fixture {
  explicit Fixture(
      const std::function<void(FakeAgent::Options&)>& change_decode = {},
      const std::function<void(EntryProcessOptions&)>& change_process = {},
      const http::TlsFiles& client_tls = {})
      : client({.tls = client_tls}) {
    FakeAgent::Options decode_options{
        .endpoint = MakeEndpoint("d-1", "lm", protocol::EndpointRole::kDecode)};
    if (change_decode) {
      change_decode(decode_options);
    }
    this->decode = std::make_unique<FakeAgent>(std::move(decode_options));
    EntryProcessOptions options{
        .core = {.id = EntryId("entry-1"), .domain = FailureDomain("hall-a")},
        .listen = {.ip = "127.0.0.1"},
        .operations_listen = http::Address{.ip = "127.0.0.1"},
        .shards = 1,
        .drain_delay = 0ms};
    if (change_process) {
      change_process(options);
    }
    this->process = std::make_unique<EntryProcess>(
        options, this->registry,
        [this](bool whole) { this->drained_whole = whole; });
    CPPUNIT_ASSERT(this->process->Start().ok());
    this->process->SetManifest(this->MakeManifest());
    this->WaitUntilReady();
  }

  std::shared_ptr<const manifest::Manifest> MakeManifest() const {
    manifest::Manifest manifest{.offset = LogOffset(1), .version = "v1"};
    manifest.services = {
        {.name = ServiceName("lm"),
         .kind = manifest::ServiceKind::kModel,
         .models = {ModelName("review-1")},
         .classes = {{.name = "interactive", .first_token = 10s}}},
        {.name = ServiceName("app"),
         .classes = {{.name = "desk", .first_token = 10s}}}};
    manifest.endpoints = {this->prefill.endpoint(), this->decode->endpoint(),
                          this->plain.endpoint()};
    return std::make_shared<const manifest::Manifest>(std::move(manifest));
  }

  void WaitUntilReady() {
    testing::WaitUntil("ready", [this] {
      return this->SendAndWait("GET", "/readyz")->status == 200;
    });
  }

  std::shared_ptr<Exchange> Send(const http::Request& request,
                                 std::uint16_t port = 0) {
    auto exchange = std::make_shared<Exchange>();
    exchange->id = this->client.Send(
        {.ip = "127.0.0.1", .port = port == 0 ? this->process->port() : port},
        request,
        {.on_head =
             [exchange](int status, const http::Headers& headers) {
               exchange->status = status;
               exchange->headers = headers;
             },
         .on_data =
             [exchange](std::string_view data) { exchange->body += data; },
         .on_end = [exchange](const std::string&) { exchange->ended = true; },
         .on_error = [exchange](const Error&,
                                bool) { exchange->failed = true; }});
    return exchange;
  }

  std::shared_ptr<Exchange> SendAndWait(const std::string& method,
                                        const std::string& target,
                                        const std::string& body = {},
                                        const http::Headers& headers = {}) {
    auto exchange = this->Send(
        {.method = method, .target = target, .headers = headers, .body = body});
    testing::WaitUntil("an answer", [&] { return exchange->Done(); });
    return exchange;
  }

  FakeAgent prefill{
      {.endpoint =
           MakeEndpoint("p-1", "lm", protocol::EndpointRole::kPrefill)}};
  std::unique_ptr<FakeAgent> decode;
  FakeAgent plain{
      {.endpoint = MakeEndpoint("a-1", "app", protocol::EndpointRole::kPlain)}};
  metrics::Registry registry;
  std::optional<bool> drained_whole;
  http::Client client;
  std::unique_ptr<EntryProcess> process;
};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_TESTS_PROCESS_FIXTURE_H_
