#ifndef ENTRY_PROCESS_INTERNAL_SERVICE_CALL_H_
#define ENTRY_PROCESS_INTERNAL_SERVICE_CALL_H_

#include <string>

#include "framework/global/types/identifiers.h"
#include "framework/http/http_types.h"
#include "protocol/types/generation.h"

namespace acacialug::entry_process {

// The call as the service receives it: method, `target` and body are unchanged;
// hop-by-hop headers and the router's own headers are left out; X-Request-Id is
// this request's id. Thread safe.
protocol::ServiceRequest MakeServiceRequest(http::Request request,
                                            std::string target,
                                            const RequestId& id);

// The service's answer as the caller receives it, without hop-by-hop headers
// and without the headers that this process sets itself. Thread safe.
http::Response MakeServiceResponse(protocol::ServiceAnswer answer,
                                   bool replayed);

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_SERVICE_CALL_H_
