#ifndef FRAMEWORK_HTTP_TESTS_EXCHANGE_RECORD_H_
#define FRAMEWORK_HTTP_TESTS_EXCHANGE_RECORD_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "framework/http/http_client.h"

namespace acacialug::testing {

// What the hooks of one exchange were told. Must outlive the exchange.
struct ExchangeRecord {
  int status = 0;
  http::Headers headers;
  std::string data;
  std::optional<std::string> body;
  std::optional<Error> error;
  bool sent = false;
  int ends = 0;

  bool over() const { return this->ends > 0; }
  http::ExchangeHooks Hooks(bool stream) {
    http::ExchangeHooks hooks{
        .on_head =
            [this](int head_status, const http::Headers& head_headers) {
              this->status = head_status;
              this->headers = head_headers;
            },
        .on_end =
            [this](std::string whole) {
              this->body = std::move(whole);
              ++this->ends;
            },
        .on_error =
            [this](const Error& failure, bool was_sent) {
              this->error = failure;
              this->sent = was_sent;
              ++this->ends;
            }};
    if (stream) {
      hooks.on_data = [this](std::string_view part) { this->data += part; };
    }
    return hooks;
  }
};

}  // namespace acacialug::testing

#endif  // FRAMEWORK_HTTP_TESTS_EXCHANGE_RECORD_H_
