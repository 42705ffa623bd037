#ifndef ENGINE_TESTS_SCRIPTED_SERVER_H_
#define ENGINE_TESTS_SCRIPTED_SERVER_H_

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <vector>

#include "engine/engine_factory.h"
#include "framework/http/http_server.h"
#include "framework/http/tests/socket_support.h"

namespace acacialug::engine {

inline void RunUntil(const std::function<bool()>& condition) {
  testing::WaitUntil("the engine's adapter", condition);
}

// An HTTP server on the test's own thread that answers by a script and keeps
// the requests that it received.
struct ScriptedServer {
  using Script =
      std::function<void(const http::Request&, const http::ResponderPtr&)>;

  Script script;
  std::vector<http::Request> requests;
  std::vector<http::ResponderPtr> responders;  // keeps answers open
  http::Server server;

  explicit ScriptedServer(Script server_script)
      : script(std::move(server_script)), server(this->Options()) {
    CPPUNIT_ASSERT(this->server.Start().ok());
  }

  http::ServerOptions Options() {
    http::ServerOptions options;
    options.listen = {.ip = "127.0.0.1", .port = 0};
    options.make_handler = [this](int) {
      return [this](const http::Request& request,
                    const http::ResponderPtr& responder) {
        this->requests.push_back(request);
        this->responders.push_back(responder);
        this->script(request, responder);
      };
    };
    return options;
  }

  // The number of requests received for a target.
  std::size_t Count(std::string_view target) const {
    std::size_t count = 0;
    for (const http::Request& request : this->requests) {
      count += request.target == target;
    }
    return count;
  }

  http::Address address() const {
    return {.ip = "127.0.0.1", .port = this->server.port()};
  }
};

// An adapter under test and the events that it sent.
struct EngineUnderTest {
  std::unique_ptr<IEngine> engine;
  std::vector<EngineEvent> events;

  explicit EngineUnderTest(const EngineOptions& options)
      : engine(MakeEngine(options)) {
    this->engine->SetOnEvent(
        [this](const EngineEvent& event) { this->events.push_back(event); });
  }

  // Executes, and waits for the first event of type T.
  template <typename T>
  T Await(const EngineCommand& command) {
    this->engine->Execute(command);
    CPPUNIT_ASSERT(this->events.empty());  // never from inside Execute
    return this->Await<T>();
  }

  template <typename T>
  T Await() {
    const T* found = nullptr;
    RunUntil([this, &found] {
      for (const EngineEvent& event : this->events) {
        found = found != nullptr ? found : std::get_if<T>(&event);
      }
      return found != nullptr;
    });
    return *found;
  }
};

// The address of a port on which no server listens.
inline http::Address ClosedAddress() {
  return ScriptedServer([](const auto&, const auto&) {}).address();
}

}  // namespace acacialug::engine

#endif  // ENGINE_TESTS_SCRIPTED_SERVER_H_
