#ifndef FRAMEWORK_HTTP_INTERNAL_REQUEST_READER_H_
#define FRAMEWORK_HTTP_INTERNAL_REQUEST_READER_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "framework/global/types/result.h"
#include "framework/http/http_types.h"
#include "framework/http/internal/byte_queue.h"
#include "framework/http/internal/read_step.h"

namespace acacialug::http {

// Why a request cannot be taken, with the status that says so.
struct RequestFault {
  int status;
  Error error;
};

// Turns the bytes of one connection into requests, one at a time, without
// I/O. Bytes beyond the present request are kept and not looked at before
// Restart. A head stays as it came until it is whole, since its fields take
// many times its bytes once they are parsed. Not thread safe.
class RequestReader {
 public:
  enum class Phase { kBetween, kHead, kBody, kDone };

  // `limits` outlives the reader.
  explicit RequestReader(const ServerLimits& limits);
  ~RequestReader();

  void Append(std::string_view bytes);

  // Parses what it has. kHeadDone comes once a request; kNeedMore asks for
  // Append; after kFault the connection is of no further use.
  ReadStep Advance();

  Phase phase() const { return this->current_phase; }

  // Bytes of the connection not yet parsed.
  std::size_t pending_bytes() const { return this->pending.size(); }

  // Memory that the present request and the bytes behind it take here.
  std::size_t held_bytes() const;

  // Precondition of these five: kHeadDone came.
  bool keep_alive() const { return this->wants_keep_alive; }
  bool version_1_1() const { return this->is_version_1_1; }
  bool expects_continue() const;
  // Whether all bytes of the request came.
  bool whole() const;
  const Request& head() const { return this->request; }

  // Precondition: Advance returned kDone.
  Request TakeRequest();

  // Precondition: Advance returned kFault.
  const RequestFault& fault() const { return *this->found_fault; }

  // Goes on with the next request of the connection.
  void Restart();

  // Frees what it holds. The connection is of no further use.
  void Clear();

 private:
  struct Parser;

  void SkipEmptyLines();
  void BeginRequest();
  ReadStep Fail(int status, ResultCode code, std::string detail);
  ReadStep FailByParser(int parser_error);
  ReadStep ReadHead();
  std::optional<ReadStep> ParseHeadTo(std::size_t end);
  ReadStep TakeHead();
  bool ParseSome();

  const ServerLimits& limits;
  ByteQueue pending;
  std::unique_ptr<Parser> parser;
  std::size_t head_bytes = 0;     // parsed
  std::size_t scanned_bytes = 0;  // of `pending`, without the end of the head
  std::size_t head_memory = 0;
  bool line_is_blank = false;  // the scanned part of the present line
  bool line_parsed = false;    // the request line
  Phase current_phase = Phase::kBetween;
  bool wants_keep_alive = false;
  bool is_version_1_1 = false;
  Request request;
  std::optional<RequestFault> found_fault;
};

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_INTERNAL_REQUEST_READER_H_
