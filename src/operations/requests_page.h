#ifndef OPERATIONS_REQUESTS_PAGE_H_
#define OPERATIONS_REQUESTS_PAGE_H_

#include <optional>
#include <string>
#include <string_view>

#include "framework/global/types/result.h"
#include "operations/types/requests_page.h"

namespace acacialug::operations {

// Path on an operations port that shows all requests; with "/ID" appended, a
// single request.
inline constexpr std::string_view kRequestsPath = "/requests";

// Returns the request that a path below kRequestsPath names; empty for
// kRequestsPath itself. Precondition: IsRequestsPath(path). Errors:
// kInvalidParameter for an invalid request id. Thread safe.
Result<std::optional<RequestId>> RequestOfPath(std::string_view path);
bool IsRequestsPath(std::string_view path);

// Write and read the page as JSON. Errors of reading: kNodeBadAnswer, with the
// problem.
// Thread safe.
std::string RenderRequestsPage(const RequestsPage& page);
Result<RequestsPage> ParseRequestsPage(const std::string& text);

}  // namespace acacialug::operations

#endif  // OPERATIONS_REQUESTS_PAGE_H_
