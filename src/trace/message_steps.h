#ifndef TRACE_MESSAGE_STEPS_H_
#define TRACE_MESSAGE_STEPS_H_

#include <optional>

#include "protocol/types/messages.h"
#include "trace/types/trace.h"

namespace acacialug::trace {

// The step that a message to or from an endpoint's agent is in its request's
// trace; empty for those of the session, and for the many of a stream
// (chunks and their acknowledgement). Thread safe.
std::optional<RequestStep> StepOf(const EndpointId& endpoint,
                                  const protocol::EntryToAgent& message);
std::optional<RequestStep> StepOf(const EndpointId& endpoint,
                                  const protocol::AgentToEntry& message);

}  // namespace acacialug::trace

#endif  // TRACE_MESSAGE_STEPS_H_
