#ifndef ENTRY_PROCESS_INTERNAL_CALLER_REQUEST_H_
#define ENTRY_PROCESS_INTERNAL_CALLER_REQUEST_H_

#include <string>
#include <variant>

#include "entry_process/internal/caller_headers.h"
#include "entry_process/internal/generation_parser.h"
#include "entry_process/internal/route.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/result.h"
#include "framework/http/http_types.h"
#include "protocol/types/generation.h"

namespace acacialug::entry_process {

struct RequestedGeneration {
  ParsedGeneration parsed;
};
struct RequestedCall {
  ServiceName service;
  protocol::ServiceRequest call;
};
// A page that the process answers itself.
struct RequestedPage {
  Route route = Route::kHealth;
  std::string name;  // of the model or the service; kModel and kTicket
};

// The content of a caller's HTTP request.
using CallerRequest =
    std::variant<RequestedGeneration, RequestedCall, RequestedPage>;

// Reads a request whose headers were already read; `id` is the id that it was
// given. Errors: those of FindRoute and ParseGeneration. Thread safe.
Result<CallerRequest> ReadCallerRequest(http::Request request,
                                        const RequestId& id);

// The headers that every answer to a request carries: its id, and the
// caller's own id if it gave one. Thread safe.
http::Headers IdentityHeaders(const RequestId& id,
                              const std::string& client_request_id);

// The error answer of a request that was refused before any work, with
// `Allow` where the method was wrong. `path` is the request's. Thread safe.
http::Response RenderRefusal(const Error& error,
                             std::string_view path,
                             const http::Headers& identity);

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_CALLER_REQUEST_H_
