#ifndef ENTRY_TYPES_ENTRY_MESSAGES_H_
#define ENTRY_TYPES_ENTRY_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "framework/global/types/instant.h"
#include "protocol/types/messages.h"

namespace acacialug::entry {

// ---- input from the process ----

// A caller's generation, parsed and checked by the HTTP server.
struct GenerationArrived {
  RequestId request;
  CallerName caller;
  std::string latency_class;  // empty: the caller's or service's
  protocol::GenerationRequest generation;
  std::string prompt_text;  // for prefix blocks and the token estimate
  Duration deadline{};      // from the caller's header; zero: none
};

struct CallArrived {
  RequestId request;
  CallerName caller;
  std::string latency_class;
  ServiceName service;
  protocol::ServiceRequest call;
  std::string idempotency_key;  // header Idempotency-Key; empty: none
  std::string ticket;           // header X-Ticket; empty: none
  Duration deadline{};
};

// A record of the claims stream in the platform's log.
struct LogRecord {
  LogOffset offset;
  std::string payload;
};

// Identifies one append or read, so that its answer can be matched to it.
using LogTicket = Number<struct LogTicketTag>;

enum class AppendOutcome : std::uint8_t {
  kAppended,
  kNotAppended,
  kUnresolved
};
inline constexpr EnumNames<AppendOutcome, 3> kAppendOutcomeNames = {{
    {AppendOutcome::kAppended, "appended"},
    {AppendOutcome::kNotAppended, "not_appended"},
    {AppendOutcome::kUnresolved, "unresolved"},
}};

struct ClaimsAppended {
  LogTicket ticket;
  AppendOutcome outcome = AppendOutcome::kUnresolved;
  LogOffset offset;  // kAppended only
};

struct ClaimsRead {
  LogTicket ticket;
  bool reachable = false;
  LogOffset first_kept;  // the oldest offset that the log still holds
  LogOffset next;        // the offset of the next record
  std::vector<LogRecord> records;
};

// ---- actions for the process ----

struct SendToAgent {
  EndpointId endpoint;
  protocol::EntryToAgent message;
};

// These open and close the connection to an endpoint's agent.
struct ConnectEndpoint {
  EndpointId endpoint;
};
struct DropEndpoint {
  EndpointId endpoint;
};

// The next piece of a generation's answer, in order, each token once. The
// process renders it as an event or collects it for a whole answer.
struct AnswerText {
  RequestId request;
  std::uint64_t index = 0;  // of this piece in the whole answer, from 0
  std::string text;
};
struct AnswerEnd {
  RequestId request;
  protocol::FinishReason reason = protocol::FinishReason::kStop;
  protocol::Usage usage;
};
struct AnswerCall {
  RequestId request;
  protocol::ServiceAnswer answer;
  bool replayed = false;
};

// The final answer of a request that did not complete. `outcome` is kNotRun
// only when that is proven. A `retry_after` of zero means no advice.
struct AnswerError {
  RequestId request;
  ResultCode code = ResultCode::kInternal;
  protocol::Outcome outcome = protocol::Outcome::kUnknown;
  Duration retry_after{};
};

struct AppendClaims {
  LogTicket ticket;
  std::string payload;
};
// While there is no record yet, the log may delay its answer by up to `wait`.
struct ReadClaims {
  LogTicket ticket;
  LogOffset from;
  Duration wait{};
};

using EntryAction = std::variant<SendToAgent,
                                 ConnectEndpoint,
                                 DropEndpoint,
                                 AnswerText,
                                 AnswerEnd,
                                 AnswerCall,
                                 AnswerError,
                                 AppendClaims,
                                 ReadClaims>;

}  // namespace acacialug::entry

#endif  // ENTRY_TYPES_ENTRY_MESSAGES_H_
