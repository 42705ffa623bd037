#include "framework/http/internal/request_reader.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <limits>
#include <utility>

#include "framework/http/internal/request_parser.h"

namespace acacialug::http {
namespace {

namespace beast_http = boost::beast::http;

constexpr int kBadRequest = 400;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadersTooLarge = 431;

bool Equals(std::string_view value, std::string_view expected) {
  return boost::beast::iequals({value.data(), value.size()},
                               {expected.data(), expected.size()});
}

// Of a text that is too long to be kept inside its object.
std::size_t HeapBytes(const std::string& text) {
  static const std::size_t kInside = std::string().capacity();
  return text.capacity() > kInside ? text.capacity() + 1 : 0;
}

std::size_t HeapBytes(const Headers& headers) {
  std::size_t bytes = headers.capacity() * sizeof(Header);
  for (const Header& header : headers) {
    bytes += HeapBytes(header.name) + HeapBytes(header.value);
  }
  return bytes;
}

}  // namespace

struct RequestReader::Parser {
  explicit Parser(Request& request) : beast(request) {}

  RequestParser beast;
  boost::beast::error_code error;
};

RequestReader::RequestReader(const ServerLimits& server_limits)
    : limits(server_limits) {}

RequestReader::~RequestReader() = default;

void RequestReader::Append(std::string_view bytes) {
  this->pending.Append(bytes);
}

std::size_t RequestReader::held_bytes() const {
  return this->pending.held_bytes() + this->head_memory +
         HeapBytes(this->request.body);
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
    this->BeginRequest();
  }
  if (this->current_phase == Phase::kHead) {
    return this->ReadHead();
  }
  while (!this->parser->beast.is_done()) {
    const bool stuck = !this->ParseSome();
    if (this->parser->error &&
        this->parser->error != beast_http::error::need_more) {
      return this->FailByParser(this->parser->error.value());
    }
    if (stuck) {
      // A chunk's size line or the trailer would otherwise grow for ever.
      return this->pending.size() > this->limits.max_header_bytes
                 ? this->Fail(kBadRequest, ResultCode::kMalformedRequest,
                              "a chunk's head is too long")
                 : ReadStep::kNeedMore;
    }
  }
  this->current_phase = Phase::kDone;
  return ReadStep::kDone;
}

void RequestReader::BeginRequest() {
  this->parser = std::make_unique<Parser>(this->request);
  this->parser->beast.header_limit(static_cast<std::uint32_t>(
      std::min<std::size_t>(this->limits.max_header_bytes,
                            std::numeric_limits<std::uint32_t>::max())));
  this->parser->beast.body_limit(this->limits.max_body_bytes);
  this->current_phase = Phase::kHead;
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
  return state.error != beast_http::error::need_more;
}

// Parses the request line as soon as it is there, so that what is not HTTP is
// refused at once, and the fields when the head is whole.
ReadStep RequestReader::ReadHead() {
  std::string_view bytes = this->pending.view();
  while (this->scanned_bytes < bytes.size()) {
    const char byte = bytes[this->scanned_bytes++];
    if (this->head_bytes + this->scanned_bytes >
        this->limits.max_header_bytes) {
      return this->Fail(kHeadersTooLarge, ResultCode::kHeadersTooLarge, {});
    }
    if (byte != '\n') {
      this->line_is_blank = this->line_is_blank && byte == '\r';
      continue;
    }
    const bool whole = std::exchange(this->line_is_blank, true);
    if (whole || !std::exchange(this->line_parsed, true)) {
      if (const auto fault = this->ParseHeadTo(this->scanned_bytes)) {
        return *fault;
      }
      bytes = this->pending.view();
    }
    if (whole) {
      return this->TakeHead();
    }
  }
  return ReadStep::kNeedMore;
}

// Returns a fault if there is one in the head up to there.
std::optional<ReadStep> RequestReader::ParseHeadTo(std::size_t end) {
  Parser& state = *this->parser;
  state.error = {};
  const std::string_view bytes = this->pending.view().substr(0, end);
  this->request.headers.reserve(
      static_cast<std::size_t>(std::count(bytes.begin(), bytes.end(), '\n')));
  const std::size_t used = state.beast.put(
      boost::asio::buffer(bytes.data(), bytes.size()), state.error);
  this->pending.Take(used);
  this->head_bytes += used;
  this->scanned_bytes -= used;
  if (state.error && state.error != beast_http::error::need_more) {
    return this->FailByParser(state.error.value());
  }
  return std::nullopt;
}

ReadStep RequestReader::TakeHead() {
  const RequestParser& beast = this->parser->beast;
  if (!beast.is_header_done()) {
    return this->FailByParser(static_cast<int>(beast_http::error::bad_field));
  }
  this->head_memory =
      HeapBytes(this->request.headers) + HeapBytes(this->request.target);
  this->is_version_1_1 = beast.version_1_1();
  this->wants_keep_alive = beast.keep_alive();
  // Any other coding leaves the body's end open to interpretation, which is
  // how requests are smuggled past a router.
  const auto coding = FindHeader(this->request.headers, "Transfer-Encoding");
  if (coding && !Equals(*coding, "chunked")) {
    return this->Fail(kBadRequest, ResultCode::kMalformedRequest,
                      "transfer coding other than chunked");
  }
  if (beast.hosts() > 1 || (this->is_version_1_1 && beast.hosts() == 0)) {
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
    // The limit of the head is checked before; Beast has one of its own for a
    // value that is folded over several lines.
    return this->Fail(kBadRequest, ResultCode::kMalformedRequest,
                      "a folded header line is too long");
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

bool RequestReader::whole() const {
  return this->parser->beast.is_done();
}

Request RequestReader::TakeRequest() {
  this->head_memory = 0;
  return std::exchange(this->request, {});
}

void RequestReader::Restart() {
  this->parser.reset();
  // Moved out, since an assigned text would keep its memory.
  std::exchange(this->request, {});
  this->head_bytes = 0;
  this->scanned_bytes = 0;
  this->head_memory = 0;
  this->line_is_blank = false;
  this->line_parsed = false;
  this->current_phase = Phase::kBetween;
}

void RequestReader::Clear() {
  this->Restart();
  this->pending.Take(this->pending.size());
}

}  // namespace acacialug::http
