#include "framework/http/internal/response_reader.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <limits>
#include <utility>

#include "framework/http/internal/append_body.h"

namespace acacialug::http {
namespace {

namespace beast_http = boost::beast::http;

constexpr int kFirstInterimStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
// An empty chunked body.
constexpr std::size_t kLeastChunkedBytes = 5;

std::string Text(boost::beast::string_view view) {
  return {view.data(), view.size()};
}

// Beast joins a line that begins with a blank to the one before (obs-fold; RFC
// 9112, section 5.2).
bool HasFoldedLine(std::string_view lines) {
  return lines.find("\n ") != std::string_view::npos ||
         lines.find("\n\t") != std::string_view::npos;
}

}  // namespace

struct ResponseReader::Parser {
  beast_http::response_parser<AppendBody> beast;
  boost::beast::error_code error;
  bool head_taken = false;
  bool head_folded = false;
  bool chunks_begun = false;
};

ResponseReader::ResponseReader(Options reader_options)
    : options(reader_options) {}

ResponseReader::~ResponseReader() = default;

void ResponseReader::Append(std::string_view bytes) {
  this->pending.Append(bytes);
}

void ResponseReader::MakeParser() {
  this->parser = std::make_unique<Parser>();
  auto& beast = this->parser->beast;
  beast.header_limit(
      static_cast<std::uint32_t>(this->options.max_header_bytes));
  beast.skip(this->options.answers_head);
  // Not boost::none: this version of Beast takes that for a limit of nothing.
  beast.body_limit(this->options.max_body_bytes.value_or(
      std::numeric_limits<std::uint64_t>::max()));
}

ReadStep ResponseReader::Advance() {
  if (this->found_fault) {
    return ReadStep::kFault;
  }
  if (!this->parser) {
    if (this->pending.empty()) {
      return ReadStep::kNeedMore;
    }
    this->MakeParser();
  }
  while (true) {
    const bool stuck = !this->parser->beast.is_done() && !this->ParseSome();
    const boost::beast::error_code error = this->parser->error;
    if (error && error != beast_http::error::need_more) {
      return this->Fail(error == beast_http::error::body_limit
                            ? ResultCode::kOutOfBounds
                            : ResultCode::kMalformedAnswer,
                        "unusable answer: " + error.message());
    }
    if (this->pending.size() > this->options.max_header_bytes && stuck) {
      return this->Fail(ResultCode::kOutOfBounds, "the answer's head");
    }
    if (this->TakeHead()) {
      const std::string_view fault = this->HeadFault();
      if (!fault.empty()) {
        return this->Fail(ResultCode::kMalformedAnswer,
                          "unusable answer: " + std::string(fault));
      }
      if (this->status_code >= kFirstFinalStatus) {
        return ReadStep::kHeadDone;
      }
      if (this->head_bytes > this->options.max_header_bytes) {
        return this->Fail(ResultCode::kOutOfBounds, "interim answers");
      }
      this->MakeParser();  // an interim answer: the final one follows
      continue;
    }
    if (this->parser->beast.is_done()) {
      return ReadStep::kDone;
    }
    if (stuck) {
      return ReadStep::kNeedMore;
    }
  }
}

// Returns false if more bytes are needed.
bool ResponseReader::ParseSome() {
  Parser& state = *this->parser;
  state.error = {};
  if (this->pending.empty()) {
    return false;
  }
  // Beast asserts that the last chunk comes with five bytes, but is asked with
  // four when it is the first one and has trailers.
  if (state.head_taken && state.beast.chunked() && !state.chunks_begun) {
    if (this->pending.size() < kLeastChunkedBytes &&
        this->pending.view().front() == '0') {
      return false;
    }
    state.chunks_begun = true;
  }
  const std::size_t used = state.beast.put(
      boost::asio::buffer(this->pending.view().data(), this->pending.size()),
      state.error);
  if (!state.head_taken) {
    this->head_bytes += used;
    state.head_folded = state.head_folded ||
                        HasFoldedLine(this->pending.view().substr(0, used));
  }
  this->pending.Take(used);
  return state.error != beast_http::error::need_more;
}

// Returns true when the end of a head was found now.
bool ResponseReader::TakeHead() {
  Parser& state = *this->parser;
  if (state.head_taken || !state.beast.is_header_done()) {
    return false;
  }
  state.head_taken = true;
  const auto& message = state.beast.get();
  this->status_code = static_cast<int>(message.result_int());
  this->may_keep_alive = state.beast.keep_alive();
  this->head.clear();
  for (const auto& field : message) {
    this->head.push_back({Text(field.name_string()), Text(field.value())});
  }
  return true;
}

// The reason why the head must not be passed on; empty if there is none.
// Beast's parser accepts more than the protocol does.
std::string_view ResponseReader::HeadFault() const {
  const auto coding = FindHeader(this->head, "Transfer-Encoding");
  const auto length = FindHeader(this->head, "Content-Length");
  if (this->status_code < kFirstInterimStatus ||
      this->status_code > kLastStatus) {
    return "its status is not within 100 to 599";
  }
  if (this->status_code == kSwitchingProtocols) {
    return "101 was not asked for";
  }
  // A field whose name begins with a blank, which may be that of the framing,
  // looks the same.
  if (this->parser->head_folded) {
    return "a line of its head begins with a blank";
  }
  // Beast removes chunks only, and takes a body in any other coding for one
  // without.
  if (coding &&
      !boost::beast::iequals({coding->data(), coding->size()}, "chunked")) {
    return "its transfer coding is not chunked";
  }
  // Its body would be read as the final answer.
  const bool has_body = coding || (length && *length != "0");
  if (this->status_code < kFirstFinalStatus && has_body) {
    return "an interim answer with a body";
  }
  return {};
}

ReadStep ResponseReader::FinishAtEnd() {
  if (!this->parser || this->found_fault) {
    return ReadStep::kFault;
  }
  if (this->parser->beast.is_done()) {
    return ReadStep::kDone;
  }
  boost::beast::error_code error;
  this->parser->beast.put_eof(error);
  this->may_keep_alive = false;
  return error ? this->Fail(ResultCode::kConnectionLost,
                            "the answer was cut short")
               : ReadStep::kDone;
}

void ResponseReader::Restart() {
  this->parser.reset();
  this->head_bytes = 0;
  this->head.clear();
}

bool ResponseReader::ends_with_connection() const {
  return this->parser->beast.need_eof();
}

std::string ResponseReader::TakeBody() {
  if (!this->parser) {
    return {};
  }
  return std::exchange(this->parser->beast.get().body(), {});
}

ReadStep ResponseReader::Fail(ResultCode code, std::string detail) {
  this->found_fault = Error(code, std::move(detail));
  return ReadStep::kFault;
}

}  // namespace acacialug::http
