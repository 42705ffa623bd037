#ifndef FRAMEWORK_HTTP_INTERNAL_RESPONSE_READER_H_
#define FRAMEWORK_HTTP_INTERNAL_RESPONSE_READER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "framework/global/types/result.h"
#include "framework/http/http_types.h"
#include "framework/http/internal/byte_queue.h"
#include "framework/http/internal/read_step.h"

namespace acacialug::http {

// Turns bytes into one response, without I/O. Not thread safe.
class ResponseReader {
 public:
  struct Options {
    bool answers_head = false;  // the request's method was HEAD
    // Of the head together with those of the interim answers before it.
    std::size_t max_header_bytes = std::size_t{64} * 1024;
    std::optional<std::uint64_t> max_body_bytes;  // empty: no limit
  };

  explicit ResponseReader(Options options);
  ~ResponseReader();

  void Append(std::string_view bytes);

  // Parses what it has. kHeadDone comes once; kDone and kFault come again
  // on every further call. Interim answers (1xx) are passed over. Errors:
  // kMalformedAnswer for what must not be passed on (RFC 9110 and 9112),
  // kOutOfBounds for what is too long.
  ReadStep Advance();

  // The peer closed its side in order: ends a body that ends so. Returns
  // kDone, or kFault if the answer is cut short.
  ReadStep FinishAtEnd();

  // Begins the next answer with the bytes that follow this one.
  // Precondition: kDone came.
  void Restart();

  // True when bytes follow a whole answer, which no request asked for.
  bool has_excess() const { return !this->pending.empty(); }
  bool started() const { return this->parser != nullptr; }

  // Preconditions: kHeadDone came.
  int status() const { return this->status_code; }
  const Headers& headers() const { return this->head; }
  bool keep_alive() const { return this->may_keep_alive; }
  // The body has neither a length nor chunks.
  bool ends_with_connection() const;

  // The body bytes decoded since the last call.
  std::string TakeBody();

  // Precondition: kFault came.
  const Error& fault() const { return *this->found_fault; }

 private:
  struct Parser;

  void MakeParser();
  bool ParseSome();
  bool TakeHead();
  std::string_view HeadFault() const;
  ReadStep Fail(ResultCode code, std::string detail);

  const Options options;
  ByteQueue pending;
  std::unique_ptr<Parser> parser;
  std::size_t head_bytes = 0;
  int status_code = 0;
  bool may_keep_alive = false;
  Headers head;
  std::optional<Error> found_fault;
};

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_INTERNAL_RESPONSE_READER_H_
