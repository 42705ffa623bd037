#ifndef OPERATIONS_DRAIN_REQUEST_H_
#define OPERATIONS_DRAIN_REQUEST_H_

#include <string>
#include <string_view>

#include "framework/global/types/result.h"
#include "framework/http/http_types.h"

namespace acacialug::operations {

// Path on an operations port that drains its process, by POST.
inline constexpr std::string_view kDrainPath = "/drain";

// The conditions under which a process accepts a drain by its operations port.
struct DrainRules {
  bool allowed = false;
  std::string name;  // of the entry, or of the agent's endpoint
};

// Checks whether to accept a request to kDrainPath. Its body, {"name": "..."},
// must name the process: addresses are reassigned to other hosts, and a list of
// nodes that is a day old would drain the process that has the address now.
// Errors:
// kMethodNotAllowed, kNotAllowed, kMalformedJson, kInvalidParameter. Thread
// safe.
Status CheckDrainRequest(const http::Request& request, const DrainRules& rules);

// Return the body of the request, and of the answer that accepts it. Thread
// safe.
std::string RenderDrainRequest(const std::string& name);
std::string RenderDrainAnswer(const std::string& name);

// Whether only processes of this host can reach the address. By default a drain
// is allowed only then. Thread safe.
bool IsLoopback(const http::Address& address);

}  // namespace acacialug::operations

#endif  // OPERATIONS_DRAIN_REQUEST_H_
