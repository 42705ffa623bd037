#ifndef FRAMEWORK_HTTP_TESTS_SERVER_FIXTURE_H_
#define FRAMEWORK_HTTP_TESTS_SERVER_FIXTURE_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "framework/http/http_server.h"
#include "framework/http/tests/socket_support.h"

namespace acacialug::testing {

inline constexpr http::ServerLimits kSmall{.max_header_bytes = 1024,
                                           .max_body_bytes = 100};

inline http::Response RenderPlain(int status, const Error& error) {
  return {.status = status,
          .body = "code=" + std::to_string(error.code.value())};
}

// A server whose requests the test answers by hand.
struct ServerFixture {
  std::vector<http::Request> requests;
  std::vector<http::ResponderPtr> responders;
  std::unique_ptr<http::Server> server;

  explicit ServerFixture(http::ServerLimits limits = kSmall) {
    this->server = std::make_unique<http::Server>(http::ServerOptions{
        .listen = {.ip = "127.0.0.1"},
        .limits = limits,
        .make_handler =
            [this](int) {
              return
                  [this](http::Request request, http::ResponderPtr responder) {
                    this->requests.push_back(std::move(request));
                    this->responders.push_back(std::move(responder));
                  };
            },
        .render_error = RenderPlain});
    const Status started = this->server->Start();
    CPPUNIT_ASSERT(started.ok());
  }
  // What lives on the server's thread goes before the server does.
  ~ServerFixture() { this->responders.clear(); }

  std::uint16_t port() const { return this->server->port(); }
  void AwaitRequests(std::size_t count) {
    WaitUntil(std::to_string(count) + " requests",
              [&] { return this->requests.size() >= count; });
  }
};

inline std::string Get(const std::string& target,
                       const std::string& more = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + more + "\r\n";
}
inline std::string Post(const std::string& more, const std::string& body) {
  return "POST /p HTTP/1.1\r\nHost: x\r\n" + more + "\r\n" + body;
}

}  // namespace acacialug::testing

#endif  // FRAMEWORK_HTTP_TESTS_SERVER_FIXTURE_H_
