#ifndef OPERATIONS_DRAIN_REQUEST_H_
#define OPERATIONS_DRAIN_REQUEST_H_

#include <string>
#include <string_view>

#include "framework/global/types/result.h"
#include "framework/http/http_types.h"

namespace acacialug::operations {

// Path of an operations port that makes its process leave, by POST.
inline constexpr std::string_view kDrainPath = "/drain";

// Who may make a process leave by its operations port.
struct DrainRules {
  bool allowed = false;
  std::string name;  // of the entry, or of the agent's endpoint
};

// Whether a POST to kDrainPath is to be followed. Its body, {"name": "..."},
// must name the process: addresses are given to other hosts, and a list of
// nodes that is a day old would drain whoever stands there now. Errors:
// kMethodNotAllowed, kNotAllowed, kMalformedJson, kInvalidParameter. Thread
// safe.
Status CheckDrainRequest(const http::Request& request, const DrainRules& rules);

// The body of the request, and of the answer that it is followed. Thread safe.
std::string RenderDrainRequest(const std::string& name);
std::string RenderDrainAnswer(const std::string& name);

// Whether only processes of this host can reach the address: the default of
// who may drain. Thread safe.
bool IsLoopback(const http::Address& address);

}  // namespace acacialug::operations

#endif  // OPERATIONS_DRAIN_REQUEST_H_
