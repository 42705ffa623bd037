#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "framework/global/random_source.h"
#include "framework/http/socket_setup.h"
#include "framework/http/tests/socket_support.h"
#include "framework/testing/story.h"
#include "gateway_process/gateway_process.h"
#include "gateway_process/tests/gateway_support.h"

namespace acacialug::gateway_process {
namespace {

using acacialug::testing::It;
using acacialug::testing::RawPeer;
using acacialug::testing::RawServer;
using acacialug::testing::WaitUntil;
using testing::Endpoint;
using testing::FreePort;
using testing::OneRoute;
using testing::PassOnDialect;

constexpr std::string_view kUnframedHead =
    "HTTP/1.1 200 OK\r\nProof: 1\r\n\r\n";
constexpr std::string_view kChunkedHead =
    "HTTP/1.1 200 OK\r\nProof: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view kEvent = "id: 0\ndata: x\n\n";

// A gateway whose endpoint and caller the test plays by hand. The route /a/ is
// a plain call's, /s/ a stream's that may run once.
class HandPlayedSite {
 public:
  explicit HandPlayedSite(
      Duration drain_grace = 4s,
      std::size_t memory_limit = GatewaySettings().memory_limit)
      : listen{.ip = "127.0.0.1", .port = FreePort()},
        process({.settings = {.id = "g",
                              .domain = FailureDomain("x"),
                              .listen = this->listen,
                              .readiness_listen = {.ip = "127.0.0.1",
                                                   .port = FreePort()},
                              .readiness_path = "/ready",
                              .peer_listen = {.ip = "127.0.0.1",
                                              .port = FreePort()},
                              .memory_limit = memory_limit,
                              .drain_grace = drain_grace},
                 .dialect = Dialect(),
                 .on_drained = [this](bool whole) { this->drained = whole; }},
                this->registry,
                this->random) {
    CPPUNIT_ASSERT(this->process.Start().ok());
    this->process.SetConfiguration(MakeConfiguration());
    gateway::EndpointChange plain =
        Endpoint("e", {.ip = "127.0.0.1", .port = this->server.port()});
    gateway::EndpointChange decode = plain;
    decode.id = EndpointId("d");
    decode.record->id = decode.id;
    decode.record->service = ServiceName("model");
    decode.record->role = gateway::EndpointRole::kDecode;
    this->process.Apply(plain);
    this->process.Apply(decode);
    this->caller = std::make_unique<RawPeer>(this->listen.port);
  }

  // Sends a request to the gateway; returns the endpoint's side of it.
  std::unique_ptr<RawPeer> Request(const std::string& path,
                                   const std::string& version) {
    this->caller->Send("GET " + path + " HTTP/" + version +
                       "\r\nHost: h\r\n\r\n");
    auto endpoint = this->server.Accept();
    endpoint->Await("\r\n\r\n");
    return endpoint;
  }

  // What the caller received up to the end of its connection, and whether that
  // ended in order.
  std::pair<std::string, bool> AwaitEnd() {
    const http::EndProbe probe(*this->caller->socket);
    const std::string received = this->caller->AwaitClose();
    return {received, probe.EndedInOrder()};
  }

  // Tells the gateway to end, and awaits that it stops accepting connections.
  void Drain() {
    this->process.Drain();
    const RawPeer idle(this->listen.port);
    WaitUntil("the end of idle connections", [&idle] { return idle.closed; });
  }

  RawServer server;
  http::Address listen;
  std::unique_ptr<RawPeer> caller;
  std::optional<bool> drained;  // whether all was sent, once it has ended

 private:
  static std::shared_ptr<gateway::Configuration> MakeConfiguration() {
    auto configuration =
        std::make_shared<gateway::Configuration>(OneRoute("s"));
    configuration->services[0].engine.reset();
    configuration->services.push_back(
        {.name = ServiceName("model"),
         .engine = gateway::EngineTraits{.slots = 9, .kv_tokens = 20000}});
    gateway::Route stream = configuration->routes[0];
    stream.name = "s";
    stream.path_prefix = "/s/";
    stream.kind = gateway::WorkKind::kStream;
    stream.services = {{.service = ServiceName("model")}};
    stream.timeout = 14s;
    configuration->routes.push_back(stream);
    return configuration;
  }

  static gateway::EndpointDialect Dialect() {
    gateway::EndpointDialect dialect = PassOnDialect();
    dialect.read_request = [](http::Request request) {
      gateway::WorkRequest work{
          .id = "r",
          .host = "h",
          .size = gateway::GenerationSize{.prompt_tokens = 10,
                                          .max_output_tokens = 10,
                                          .expected_output_tokens = 10}};
      work.message = std::move(request);
      return work;
    };
    return dialect;
  }

  metrics::Registry registry;
  RandomSource random{1};
  GatewayProcess process;
};

bool Has(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

const acacialug::testing::Story kAnswerEnds(
    "an answer without length or chunks",
    {It("reaches its caller without either, and ends in order",
        [] {
          // Guards against an answer framed as whole though only the end of the
          // endpoint's connection says so.
          for (const std::string path : {"/a/x", "/s/x"}) {
            for (const std::string version : {"1.1", "1.0"}) {
              HandPlayedSite site;
              const auto endpoint = site.Request(path, version);
              endpoint->Send(std::string(kUnframedHead) + std::string(kEvent));
              endpoint->socket->disconnectFromHost();
              const auto [received, in_order] = site.AwaitEnd();
              CPPUNIT_ASSERT_MESSAGE(received, received.ends_with(kEvent));
              CPPUNIT_ASSERT(!Has(received, "Content-Length"));
              CPPUNIT_ASSERT(!Has(received, "chunked"));
              CPPUNIT_ASSERT(Has(received, "Connection: close"));
              CPPUNIT_ASSERT(in_order);
            }
          }
        }),
     It("forwards each event as it arrives",
        [] {
          HandPlayedSite site;
          const auto endpoint = site.Request("/s/x", "1.1");
          endpoint->Send(std::string(kUnframedHead) + std::string(kEvent));
          site.caller->Await(std::string(kEvent));
          endpoint->Send("id: 1\ndata: y\n\n");
          site.caller->Await("id: 1\ndata: y\n\n");
        }),
     It("that breaks off is reset for its caller, whatever its version",
        [] {
          // Guards against a close in order, which HTTP/1.0 and a body without
          // length or chunks take for the end.
          for (const bool reset : {false, true}) {
            for (const std::string version : {"1.1", "1.0"}) {
              HandPlayedSite site;
              const auto endpoint = site.Request("/s/x", version);
              endpoint->Send(std::string(kUnframedHead) + std::string(kEvent) +
                             "id: 1\nda");
              site.caller->Await(std::string(kEvent));
              if (reset) {
                http::AbortWithReset(*endpoint->socket);
              } else {
                endpoint->socket->disconnectFromHost();
              }
              CPPUNIT_ASSERT(!site.AwaitEnd().second);
            }
          }
        }),
     It("differs from a chunked one, which is chunked for its caller", [] {
       HandPlayedSite site;
       const auto endpoint = site.Request("/s/x", "1.1");
       endpoint->Send(std::string(kChunkedHead) + "f\r\n" +
                      std::string(kEvent) + "\r\n0\r\n\r\n");
       CPPUNIT_ASSERT(Has(site.caller->Await("0\r\n\r\n"), "chunked"));
     })});

// More than the buffers of two sockets hold.
constexpr std::size_t kLargeBytes = std::size_t{15} * 1024 * 1024;

// Has a large answer sent to a caller that reads nothing of it yet.
void AnswerSlowCaller(HandPlayedSite& site, const std::string& path) {
  site.caller->socket->setReadBufferSize(1);
  const auto endpoint = site.Request(path, "1.1");
  endpoint->Send("HTTP/1.1 200 OK\r\nProof: 1\r\nContent-Length: " +
                 std::to_string(kLargeBytes) + "\r\n\r\n");
  std::string body(kLargeBytes, 'x');
  if (path == "/s/x") {
    for (std::size_t at = kEvent.size(); at <= body.size();
         at += std::size_t{1} << 10) {
      body.replace(at - 2, 2, "\n\n");
    }
    body.replace(body.size() - 2, 2, "\n\n");
  }
  endpoint->Send(body);
  WaitUntil("the endpoint's bytes",
            [&] { return endpoint->socket->bytesToWrite() == 0; });
}

const acacialug::testing::Story kDrains(
    "a gateway that is told to end",
    {It("ends when its answers have left it",
        [] {
          // Guards against answers that are cut because they lie unsent in the
          // sockets of a process that ends.
          for (const std::string path : {"/a/x", "/s/x"}) {
            // Its grace doesn't end it, however slow the machine.
            HandPlayedSite site(acacialug::testing::kHangLimit);
            AnswerSlowCaller(site, path);
            site.Drain();
            WaitUntil("some checks",
                      [checks = 0]() mutable { return ++checks > 20; });
            CPPUNIT_ASSERT(!site.drained);
            site.caller->socket->setReadBufferSize(0);
            const std::string received = site.caller->AwaitClose();
            CPPUNIT_ASSERT(received.size() > kLargeBytes);
            WaitUntil("the end", [&] { return site.drained.has_value(); });
            CPPUNIT_ASSERT(*site.drained);
          }
        }),
     It("answers what has no answer at the end of its grace as unknown",
        [] {
          // Guards against requests, among them those that may run only once,
          // whose connections are closed without an answer.
          HandPlayedSite site;
          const auto endpoint = site.Request("/s/x", "1.1");
          site.Drain();
          const std::string received = site.caller->AwaitClose();
          CPPUNIT_ASSERT_MESSAGE(received,
                                 received.starts_with("HTTP/1.1 502 "));
          WaitUntil("the end", [&] { return site.drained.has_value(); });
          CPPUNIT_ASSERT(*site.drained);
        }),
     It("ends with its grace when a caller stops reading", [] {
       HandPlayedSite site;
       AnswerSlowCaller(site, "/a/x");
       site.Drain();
       WaitUntil("the end", [&] { return site.drained.has_value(); });
       CPPUNIT_ASSERT(!*site.drained);
     })});

const acacialug::testing::Story kBodies(
    "a gateway with little memory",
    {It("refuses bodies of callers that take more than its part of it", [] {
      // Guards against a process that ends for want of memory, with all that
      // it has under way, as many callers send large bodies.
      constexpr std::size_t kLimit = std::size_t{4} << 20U;
      HandPlayedSite site(4s, kLimit);
      const std::string unfinished =
          "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
          std::to_string(kLimit) + "\r\n\r\n" + std::string(kLimit / 6, 'x');
      std::vector<std::unique_ptr<RawPeer>> callers;
      for (int number = 0; number < 4; ++number) {
        callers.push_back(std::make_unique<RawPeer>(site.listen.port));
        callers.back()->Send(unfinished);
      }
      WaitUntil("a refusal", [&callers] {
        return std::any_of(callers.begin(), callers.end(),
                           [](const auto& caller) {
                             return Has(caller->received, "HTTP/1.1 503 ");
                           });
      });
    })});

}  // namespace
}  // namespace acacialug::gateway_process
