#ifndef ENTRY_PROCESS_INTERNAL_ERROR_ANSWER_H_
#define ENTRY_PROCESS_INTERNAL_ERROR_ANSWER_H_

#include <string>

#include "framework/global/types/instant.h"
#include "framework/global/types/result.h"
#include "framework/http/http_types.h"
#include "protocol/types/generation.h"

namespace acacialug::entry_process {

// An error as a caller receives it.
struct ErrorAnswer {
  ResultCode code = ResultCode::kInternal;
  protocol::Outcome outcome = protocol::Outcome::kNotRun;
  std::string detail;  // empty: the code's meaning alone
  Duration retry_after{};
};

// The HTTP status of a code. Thread safe.
int HttpStatusOf(ResultCode code);

// The error's body in the API's shape, with our numbered code inside:
// {"error": {"message", "type", "code", "param", "number", "outcome"}}.
// Thread safe.
std::string RenderErrorBody(const ErrorAnswer& error);

// The whole answer: status, body, X-Outcome, Retry-After (whole seconds, at
// least 1) for a request that did not run for lack of capacity, and
// X-Should-Retry, which the API's client libraries obey: without it they retry
// after any 429 or 5xx, including work that may have run. Thread safe.
http::Response RenderError(const ErrorAnswer& error);

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_ERROR_ANSWER_H_
