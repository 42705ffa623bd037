#include "framework/http/internal/message_writer.h"

#include <algorithm>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace acacialug::http {
namespace {

namespace beast_http = boost::beast::http;

constexpr std::size_t kMaxFieldBytes = std::size_t{32} * 1024;
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 999;
constexpr int kInternalServerError = 500;

boost::beast::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

bool IsTokenCharacter(char character) {
  const bool letter_or_digit = (character >= 'a' && character <= 'z') ||
                               (character >= 'A' && character <= 'Z') ||
                               (character >= '0' && character <= '9');
  return letter_or_digit ||
         std::string_view("!#$%&'*+-.^_`|~").find(character) !=
             std::string_view::npos;
}

bool IsBreak(char character) {
  return character == '\r' || character == '\n' || character == '\0';
}

bool IsWellFormed(const Header& header) {
  return !header.name.empty() &&
         header.name.size() + header.value.size() < kMaxFieldBytes &&
         std::all_of(header.name.begin(), header.name.end(),
                     IsTokenCharacter) &&
         std::none_of(header.value.begin(), header.value.end(), IsBreak);
}

bool IsFraming(beast_http::field field) {
  return field == beast_http::field::content_length ||
         field == beast_http::field::transfer_encoding ||
         field == beast_http::field::connection ||
         field == beast_http::field::keep_alive;
}

template <class Message>
void InsertHeaders(const Headers& headers, Message& message) {
  for (const Header& header : headers) {
    const beast_http::field field =
        beast_http::string_to_field(View(header.name));
    if (IsWellFormed(header) && !IsFraming(field)) {
      message.insert(field, View(header.name), View(header.value));
    }
  }
}

template <class Message>
void InsertFraming(const Framing& framing, Message& message) {
  if (framing.chunked) {
    message.set(beast_http::field::transfer_encoding, "chunked");
  } else if (framing.content_length) {
    message.set(beast_http::field::content_length,
                std::to_string(*framing.content_length));
  }
}

}  // namespace

std::string WriteResponseHead(const ResponseHead& head) {
  beast_http::response<beast_http::empty_body> message;
  message.version(head.version_1_1 ? 11 : 10);
  const bool possible = head.status >= kMinStatus && head.status <= kMaxStatus;
  message.result(
      static_cast<unsigned>(possible ? head.status : kInternalServerError));
  InsertHeaders(head.headers, message);
  InsertFraming(head.framing, message);
  if (!head.keep_alive) {
    message.set(beast_http::field::connection, "close");
  } else if (!head.version_1_1) {
    message.set(beast_http::field::connection, "keep-alive");
  }
  beast_http::fields::writer writer(message, message.version(),
                                    message.result_int());
  return boost::beast::buffers_to_string(writer.get());
}

std::string WriteRequest(const Request& request, const Address& address) {
  beast_http::request<beast_http::empty_body> message;
  message.version(11);
  message.method_string(View(request.method));
  message.target(View(request.target));
  InsertHeaders(request.headers, message);
  if (message.find(beast_http::field::host) == message.end()) {
    message.set(beast_http::field::host, ToString(address));
  }
  const bool says_length = !request.body.empty() || request.method == "POST" ||
                           request.method == "PUT" || request.method == "PATCH";
  if (says_length) {
    InsertFraming({.content_length = request.body.size()}, message);
  }
  beast_http::fields::writer writer(message, message.version(),
                                    message.method());
  return boost::beast::buffers_to_string(writer.get()) + request.body;
}

std::string WriteChunk(std::string_view data) {
  if (data.empty()) {
    return {};
  }
  return boost::beast::buffers_to_string(
      beast_http::make_chunk(boost::asio::buffer(data.data(), data.size())));
}

std::string WriteLastChunk() {
  return boost::beast::buffers_to_string(beast_http::make_chunk_last());
}

}  // namespace acacialug::http
