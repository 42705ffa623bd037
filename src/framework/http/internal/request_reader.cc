#include "framework/http/internal/request_reader.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <limits>
#include <utility>

#include "framework/http/internal/append_body.h"

namespace acacialug::http {
namespace {

namespace beast_http = boost::beast::http;

constexpr int kBadRequest = 400;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadersTooLarge = 431;

std::string Text(boost::beast::string_view view) {
  return {view.data(), view.size()};
}

bool Equals(std::string_view value, std::string_view expected) {
  return boost::beast::iequals({value.data(), value.size()},
                               {expected.data(), expected.size()});
}

}  // namespace

struct RequestReader::Parser {
  beast_http::request_parser<AppendBody> beast;
  boost::beast::error_code error;
  bool head_taken = false;
};

RequestReader::RequestReader(const ServerLimits& server_limits)
    : limits(server_limits) {}

RequestReader::~RequestReader() = default;

void RequestReader::Append(std::string_view bytes) {
  this->pending.Append(bytes);
}

ReadStep RequestReader::Advance() {
  if (this->found_fault) {
    return ReadStep::kFault;
  }
  if (!this->parser) {
    this->SkipEmptyLines();
    if (this->pending.empty()) {
      return ReadStep::kNeedMore;
    }
    this->parser = std::make_unique<Parser>();
    this->parser->beast.header_limit(static_cast<std::uint32_t>(
        std::min<std::size_t>(this->limits.max_header_bytes,
                              std::numeric_limits<std::uint32_t>::max())));
    this->parser->beast.body_limit(this->limits.max_body_bytes);
    this->current_phase = Phase::kHead;
  }
  while (!this->parser->beast.is_done()) {
    const bool stuck = !this->ParseSome();
    if (this->parser->error &&
        this->parser->error != beast_http::error::need_more) {
      return this->FailByParser(this->parser->error.value());
    }
    if (const std::optional<ReadStep> step = this->TakeHead()) {
      return *step;
    }
    if (stuck) {
      // A chunk's size line or the trailer would otherwise grow for ever.
      return this->pending.size() > this->limits.max_header_bytes
                 ? this->Fail(kBadRequest, ResultCode::kMalformedRequest,
                              "a chunk's head is too long")
                 : ReadStep::kNeedMore;
    }
  }
  if (const std::optional<ReadStep> step = this->TakeHead()) {
    return *step;
  }
  this->current_phase = Phase::kDone;
  return ReadStep::kDone;
}

// Returns false if more bytes are needed.
bool RequestReader::ParseSome() {
  Parser& state = *this->parser;
  state.error = {};
  if (this->pending.empty()) {
    return false;
  }
  const std::size_t used = state.beast.put(
      boost::asio::buffer(this->pending.view().data(), this->pending.size()),
      state.error);
  this->pending.Take(used);
  this->head_bytes += state.head_taken ? 0 : used;
  return state.error != beast_http::error::need_more;
}

// Returns a step if the end of the head, or a fault in it, was found now.
std::optional<ReadStep> RequestReader::TakeHead() {
  Parser& state = *this->parser;
  if (state.head_taken) {
    return std::nullopt;
  }
  const bool done = state.beast.is_header_done();
  // Beast's own limit starts anew with each line it takes, so that a peer
  // sending line by line could pass it several times over.
  if (this->head_bytes + (done ? 0 : this->pending.size()) >
      this->limits.max_header_bytes) {
    return this->Fail(kHeadersTooLarge, ResultCode::kHeadersTooLarge, {});
  }
  if (!done) {
    return std::nullopt;
  }
  state.head_taken = true;
  // Taken now and not at the end, since Beast adds a chunked body's trailer
  // to the same list: a trailer must not pass for a header.
  const auto& message = state.beast.get();
  this->request.method = Text(message.method_string());
  this->request.target = Text(message.target());
  std::size_t hosts = 0;
  for (const auto& field : message) {
    this->request.headers.push_back(
        {Text(field.name_string()), Text(field.value())});
    hosts += field.name() == beast_http::field::host;
  }
  this->is_version_1_1 = message.version() >= 11;
  this->wants_keep_alive = state.beast.keep_alive();
  // Any other coding leaves the body's end open to interpretation, which is
  // how requests are smuggled past a router.
  const auto coding = FindHeader(this->request.headers, "Transfer-Encoding");
  if (coding && !Equals(*coding, "chunked")) {
    return this->Fail(kBadRequest, ResultCode::kMalformedRequest,
                      "transfer coding other than chunked");
  }
  if (hosts > 1 || (this->is_version_1_1 && hosts == 0)) {
    return this->Fail(kBadRequest, ResultCode::kMalformedRequest,
                      "exactly one Host header is required");
  }
  this->current_phase = Phase::kBody;
  return ReadStep::kHeadDone;
}

void RequestReader::SkipEmptyLines() {
  const std::size_t first = this->pending.view().find_first_not_of("\r\n");
  this->pending.Take(std::min(first, this->pending.size()));
}

ReadStep RequestReader::Fail(int status, ResultCode code, std::string detail) {
  this->found_fault =
      RequestFault{.status = status, .error = Error(code, std::move(detail))};
  return ReadStep::kFault;
}

ReadStep RequestReader::FailByParser(int parser_error) {
  const auto error = static_cast<beast_http::error>(parser_error);
  if (error == beast_http::error::header_limit) {
    return this->Fail(kHeadersTooLarge, ResultCode::kHeadersTooLarge, {});
  }
  if (error == beast_http::error::body_limit) {
    return this->Fail(
        kBodyTooLarge, ResultCode::kBodyTooLarge,
        "at most " + std::to_string(this->limits.max_body_bytes) + " bytes");
  }
  return this->Fail(kBadRequest, ResultCode::kMalformedRequest,
                    beast_http::make_error_code(error).message());
}

bool RequestReader::expects_continue() const {
  const auto expect = FindHeader(this->request.headers, "Expect");
  return this->is_version_1_1 && expect && Equals(*expect, "100-continue");
}

Request RequestReader::TakeRequest() {
  this->request.body = std::move(this->parser->beast.get().body());
  return std::move(this->request);
}

void RequestReader::Restart() {
  this->parser.reset();
  this->request = {};
  this->head_bytes = 0;
  this->current_phase = Phase::kBetween;
}

}  // namespace acacialug::http
