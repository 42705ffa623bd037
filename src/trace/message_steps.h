#ifndef TRACE_MESSAGE_STEPS_H_
#define TRACE_MESSAGE_STEPS_H_

#include <optional>

#include "protocol/types/messages.h"
#include "trace/types/trace.h"

namespace acacialug::trace {

// The step that a message to or from an endpoint's agent adds to its request's
// trace. Empty for session messages, and for the frequent ones of a stream
// (chunks and their acknowledgements). Thread safe.
std::optional<RequestStep> StepOf(const EndpointId& endpoint,
                                  const protocol::EntryToAgent& message);
std::optional<RequestStep> StepOf(const EndpointId& endpoint,
                                  const protocol::AgentToEntry& message);

}  // namespace acacialug::trace

#endif  // TRACE_MESSAGE_STEPS_H_
