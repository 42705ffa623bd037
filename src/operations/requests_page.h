#ifndef OPERATIONS_REQUESTS_PAGE_H_
#define OPERATIONS_REQUESTS_PAGE_H_

#include <optional>
#include <string>
#include <string_view>

#include "framework/global/types/result.h"
#include "operations/types/requests_page.h"

namespace acacialug::operations {

// Path of an operations port: all requests; with "/ID" behind it, one.
inline constexpr std::string_view kRequestsPath = "/requests";

// The request that a path below kRequestsPath names; empty for kRequestsPath
// itself. Precondition: IsRequestsPath(path). Errors: kInvalidParameter for
// what is no request id. Thread safe.
Result<std::optional<RequestId>> RequestOfPath(std::string_view path);
bool IsRequestsPath(std::string_view path);

// As JSON, and back. Errors of reading: kNodeBadAnswer, with what is wrong.
// Thread safe.
std::string RenderRequestsPage(const RequestsPage& page);
Result<RequestsPage> ParseRequestsPage(const std::string& text);

}  // namespace acacialug::operations

#endif  // OPERATIONS_REQUESTS_PAGE_H_
