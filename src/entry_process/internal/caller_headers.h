#ifndef ENTRY_PROCESS_INTERNAL_CALLER_HEADERS_H_
#define ENTRY_PROCESS_INTERNAL_CALLER_HEADERS_H_

#include <string>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "framework/global/types/result.h"
#include "framework/http/http_types.h"

namespace acacialug::entry_process {

// Headers that this process reads or sets, in the spelling it sends.
inline constexpr char kRequestIdHeader[] = "X-Request-Id";
inline constexpr char kClientRequestIdHeader[] = "X-Client-Request-Id";
inline constexpr char kCallerHeader[] = "X-Caller";
inline constexpr char kDeadlineHeader[] = "X-Deadline-Ms";
inline constexpr char kLatencyClassHeader[] = "X-Latency-Class";
inline constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";
inline constexpr char kTicketHeader[] = "X-Ticket";
inline constexpr char kOutcomeHeader[] = "X-Outcome";
inline constexpr char kReplayedHeader[] = "X-Replayed";

inline constexpr Duration kLongestDeadline = 24h;

// The parts of a request that a caller gives in its headers. Empty (or zero):
// not given.
struct CallerHeaders {
  std::string client_request_id;  // the caller's own X-Request-Id
  CallerName caller;  // set by the balancer, which authenticates callers
  std::string latency_class;
  std::string idempotency_key;
  std::string ticket;
  Duration deadline{};
};

// Errors: kInvalidHeader, with the header's name, for a value that is empty,
// too long, not printable ASCII or given twice. Thread safe.
Result<CallerHeaders> ParseCallerHeaders(const http::Headers& headers);

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_CALLER_HEADERS_H_
