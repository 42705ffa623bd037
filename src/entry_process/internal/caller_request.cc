#include "entry_process/internal/caller_request.h"

#include <utility>

#include "entry_process/internal/error_answer.h"
#include "entry_process/internal/service_call.h"

namespace acacialug::entry_process {
namespace {

Result<CallerRequest> ReadGeneration(protocol::GenerationApi api,
                                     std::string body) {
  Result<ParsedGeneration> parsed = ParseGeneration(api, std::move(body));
  if (!parsed.ok()) {
    return parsed.error();
  }
  return CallerRequest(
      RequestedGeneration{.parsed = std::move(parsed.value())});
}

}  // namespace

Result<CallerRequest> ReadCallerRequest(http::Request request,
                                        const RequestId& id) {
  Result<RouteMatch> match = FindRoute(request.method, request.target);
  if (!match.ok()) {
    return match.error();
  }
  switch (match->route) {
    case Route::kChatCompletions:
      return ReadGeneration(protocol::GenerationApi::kChat,
                            std::move(request.body));
    case Route::kCompletions:
      return ReadGeneration(protocol::GenerationApi::kCompletions,
                            std::move(request.body));
    case Route::kService:
      return CallerRequest(RequestedCall{
          .service = ServiceName(std::move(match.value().name)),
          .call = MakeServiceRequest(std::move(request),
                                     std::move(match.value().target), id)});
    case Route::kTicket:
    case Route::kModels:
    case Route::kModel:
    case Route::kHealth:
    case Route::kReady:
      break;
  }
  return CallerRequest(RequestedPage{.route = match->route,
                                     .name = std::move(match.value().name)});
}

http::Headers IdentityHeaders(const RequestId& id,
                              const std::string& client_request_id) {
  http::Headers headers = {{kRequestIdHeader, ToString(id)}};
  if (!client_request_id.empty()) {
    headers.push_back({kClientRequestIdHeader, client_request_id});
  }
  return headers;
}

http::Response RenderRefusal(const Error& error,
                             std::string_view path,
                             const http::Headers& identity) {
  http::Response response =
      RenderError({.code = error.result_code(), .detail = error.detail});
  response.headers.insert(response.headers.end(), identity.begin(),
                          identity.end());
  if (error.result_code() == ResultCode::kMethodNotAllowed) {
    response.headers.push_back({"Allow", std::string(AllowedMethods(path))});
  }
  return response;
}

}  // namespace acacialug::entry_process
