#ifndef GATEWAY_INTERNAL_EVENT_STREAM_H_
#define GATEWAY_INTERNAL_EVENT_STREAM_H_

#include "framework/http/http_types.h"

namespace acacialug::gateway {

// Whether the head of an answer on a route of streams leaves open, or says,
// that the body is a series of server-sent events. Thread safe.
bool IsEventStream(const http::Headers& headers);

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_EVENT_STREAM_H_
