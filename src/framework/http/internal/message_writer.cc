#include "framework/http/internal/message_writer.h"

#include <algorithm>
#include <array>
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
constexpr std::size_t kBytes = 256;
constexpr char kDelete = 0x7f;
constexpr std::string_view kTokenCharacters =
    "!#$%&'*+-.^_`|~0123456789"
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

boost::beast::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

// RFC 9110, 5.6.2. A table, since every byte of a head's names is looked up.
constexpr std::array<bool, kBytes> TokenBytes() {
  std::array<bool, kBytes> table{};
  for (const char byte : kTokenCharacters) {
    table.at(static_cast<unsigned char>(byte)) = true;
  }
  return table;
}

bool IsToken(std::string_view text) {
  static constexpr std::array<bool, kBytes> kTable = TokenBytes();
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char byte) {
    return kTable[static_cast<unsigned char>(byte)];
  });
}

// Bytes above 0x7f pass: callers send them, and they end nothing.
bool IsTarget(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char byte) {
    return static_cast<unsigned char>(byte) > ' ' && byte != kDelete;
  });
}

bool IsBreak(char character) {
  return character == '\r' || character == '\n' || character == '\0';
}

bool IsWellFormed(const Header& header) {
  return IsToken(header.name) &&
         std::none_of(header.value.begin(), header.value.end(), IsBreak);
}

bool Fits(const Header& header) {
  return header.name.size() + header.value.size() < kMaxFieldBytes;
}

bool IsFraming(beast_http::field field) {
  return field == beast_http::field::content_length ||
         field == beast_http::field::transfer_encoding ||
         field == beast_http::field::connection ||
         field == beast_http::field::keep_alive;
}

// False: a header is not well-formed; it is left out.
template <class Message>
bool InsertHeaders(const Headers& headers, Message& message) {
  bool well_formed = true;
  for (const Header& header : headers) {
    if (!IsWellFormed(header)) {
      well_formed = false;
      continue;
    }
    const beast_http::field field =
        beast_http::string_to_field(View(header.name));
    if (Fits(header) && !IsFraming(field)) {
      message.insert(field, View(header.name), View(header.value));
    }
  }
  return well_formed;
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

Result<std::string> WriteRequest(const Request& request,
                                 const Address& address) {
  if (!IsToken(request.method)) {
    return Error(ResultCode::kMalformedRequest, "not sent: its method");
  }
  if (!IsTarget(request.target)) {
    return Error(ResultCode::kMalformedRequest, "not sent: its target");
  }
  beast_http::request<beast_http::empty_body> message;
  message.version(11);
  message.method_string(View(request.method));
  message.target(View(request.target));
  if (!InsertHeaders(request.headers, message)) {
    return Error(ResultCode::kMalformedRequest, "not sent: a header");
  }
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
