#ifndef GATEWAY_INTERNAL_REFUSAL_H_
#define GATEWAY_INTERNAL_REFUSAL_H_

#include "framework/global/types/instant.h"
#include "framework/global/types/result_code.h"
#include "framework/http/http_types.h"

namespace acacialug::gateway {

// Makes the gateway's own final answer: 503 with Retry-After for a request that
// provably did not run, 429 with Retry-After for one over a customer's limit,
// 502 or 504 for one that may have run, 404 for one that no route allows, and
// 401 for a key that no customer holds. Thread safe.
http::Response MakeOwnAnswer(ResultCode code,
                             Duration retry_after,
                             bool close_connection);

// Whether callers take this status for a promise that their request has not run
// and never will. Thread safe.
// Retry-After while this process drains: other processes can serve the caller
// at once.
inline constexpr Duration kRetryElsewhere = 50ms;

bool PromisesNotRun(int status);

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_REFUSAL_H_
