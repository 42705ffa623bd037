#ifndef ENTRY_PROCESS_INTERNAL_SERVICE_CALL_H_
#define ENTRY_PROCESS_INTERNAL_SERVICE_CALL_H_

#include <string>

#include "framework/global/types/identifiers.h"
#include "framework/http/http_types.h"
#include "protocol/types/generation.h"

namespace acacialug::entry_process {

// The call as the service gets it: method, `target` and body as they came,
// headers without those of one connection and those that are the router's
// own; X-Request-Id is this request's. Thread safe.
protocol::ServiceRequest MakeServiceRequest(http::Request request,
                                            std::string target,
                                            const RequestId& id);

// The service's answer as the caller gets it, without the headers of one
// connection, and without those that this process sets itself. Thread safe.
http::Response MakeServiceResponse(protocol::ServiceAnswer answer,
                                   bool replayed);

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_SERVICE_CALL_H_
