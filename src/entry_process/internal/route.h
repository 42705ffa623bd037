#ifndef ENTRY_PROCESS_INTERNAL_ROUTE_H_
#define ENTRY_PROCESS_INTERNAL_ROUTE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/result.h"
#include "framework/http/http_types.h"

namespace acacialug::entry_process {

enum class Route : std::uint8_t {
  kChatCompletions,
  kCompletions,
  kModels,
  kModel,
  kService,
  kTicket,
  kHealth,
  kReady,
};
inline constexpr EnumNames<Route, 8> kRouteNames = {{
    {Route::kChatCompletions, "chat_completions"},
    {Route::kCompletions, "completions"},
    {Route::kModels, "models"},
    {Route::kModel, "model"},
    {Route::kService, "service"},
    {Route::kTicket, "ticket"},
    {Route::kHealth, "health"},
    {Route::kReady, "ready"},
}};

struct RouteMatch {
  Route route = Route::kHealth;
  std::string name;    // of the model or the service
  std::string target;  // kService: path below the service, and query
};

// The route of a request line. Errors: kUnknownRoute, kMethodNotAllowed,
// kMalformedRequest (two readers may interpret the service's path differently).
// Thread safe.
Result<RouteMatch> FindRoute(std::string_view method, std::string_view target);

// The value of the `Allow` header for a path; empty for a path without a route
// and for a service, which takes any method. Thread safe.
std::string_view AllowedMethods(std::string_view path);

// The normal form of a path: escapes of unreserved characters are undone, and
// "." or ".." segments, empty segments and broken escapes are refused with
// kMalformedRequest. The manifest states by path prefix which calls may be
// repeated; if a service read "/issue" where this process read
// "/lookup/../issue" or "/%69ssue", a call that may run only once would be
// judged by the wrong rule and repeated. Thread safe.
Result<std::string> NormalizeServicePath(std::string_view path);

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_ROUTE_H_
