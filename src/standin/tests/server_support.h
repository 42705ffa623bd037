#ifndef STANDIN_TESTS_SERVER_SUPPORT_H_
#define STANDIN_TESTS_SERVER_SUPPORT_H_

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "framework/http/http_client.h"
#include "framework/http/tests/socket_support.h"
#include "standin/internal/json_access.h"

namespace acacialug::standin {

inline const http::Address kAnyPort{.ip = "127.0.0.1", .port = 0};

// The answer of one exchange, as far as received.
struct Answer {
  int status = 0;
  std::string data;
  bool ended = false;
  bool failed = false;  // the connection was cut
  http::Client::ExchangeId exchange = 0;

  bool over() const { return this->ended || this->failed; }
};
using AnswerPtr = std::shared_ptr<Answer>;

// A client with blocking calls.
class Caller {
 public:
  AnswerPtr Start(const http::Address& address,
                  const std::string& method,
                  const std::string& target,
                  const std::string& body = "",
                  http::Headers headers = {}) {
    auto answer = std::make_shared<Answer>();
    answer->exchange = this->client.Send(
        address,
        {.method = method,
         .target = target,
         .headers = std::move(headers),
         .body = body},
        {.on_head = [answer](int status,
                             const http::Headers&) { answer->status = status; },
         .on_data = [answer](std::string_view data) { answer->data += data; },
         .on_end = [answer](const std::string&) { answer->ended = true; },
         .on_error = [answer](const Error&, bool) { answer->failed = true; }});
    return answer;
  }

  AnswerPtr Call(const http::Address& address,
                 const std::string& method,
                 const std::string& target,
                 const std::string& body = "",
                 http::Headers headers = {}) {
    AnswerPtr answer =
        this->Start(address, method, target, body, std::move(headers));
    testing::WaitUntil(target, [&] { return answer->over(); });
    return answer;
  }

  nlohmann::json Get(const http::Address& address, const std::string& target) {
    return Parse(this->Call(address, "GET", target)->data);
  }

  void Control(const http::Address& address, const std::string& body) {
    const AnswerPtr answer = this->Call(address, "POST", "/control", body);
    CPPUNIT_ASSERT_EQUAL(200, answer->status);
  }

  void Cancel(const AnswerPtr& answer) {
    this->client.Cancel(answer->exchange);
  }

 private:
  http::Client client{http::ClientOptions{}};
};

}  // namespace acacialug::standin

#endif  // STANDIN_TESTS_SERVER_SUPPORT_H_
