#ifndef GATEWAY_REQUEST_KEY_H_
#define GATEWAY_REQUEST_KEY_H_

#include "gateway/types/work_request.h"
#include "retry/types/request_key.h"

namespace acacialug::gateway {

// The key covers customer, method, host, target and body. A caller that sends a
// request again may change the other headers. Thread safe.
retry::RequestKey RequestKeyOf(const WorkRequest& request);

}  // namespace acacialug::gateway

#endif  // GATEWAY_REQUEST_KEY_H_
