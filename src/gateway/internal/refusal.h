#ifndef GATEWAY_INTERNAL_REFUSAL_H_
#define GATEWAY_INTERNAL_REFUSAL_H_

#include "framework/global/types/instant.h"
#include "framework/global/types/result_code.h"
#include "framework/http/http_types.h"

namespace acacialug::gateway {

// The gateway's own final answer: 503, or 429 over a customer's limit, with
// Retry-After for what provably did not run, 502 or 504 for what may have run,
// 404 for what no route allows, 401 for a key that no customer holds.
// Thread safe.
http::Response MakeOwnAnswer(ResultCode code,
                             Duration retry_after,
                             bool close_connection);

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_REFUSAL_H_
