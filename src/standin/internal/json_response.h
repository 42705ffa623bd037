#ifndef STANDIN_INTERNAL_JSON_RESPONSE_H_
#define STANDIN_INTERNAL_JSON_RESPONSE_H_

#include <nlohmann/json.hpp>
#include <string_view>

#include "framework/http/http_types.h"
#include "standin/internal/json_access.h"

// Thread safe.
namespace acacialug::standin {

inline http::Response JsonResponse(int status, const nlohmann::json& body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = Dump(body)};
}

// An error in the format of the OpenAI-compatible API.
inline nlohmann::json ErrorJson(int status,
                                std::string_view code,
                                std::string_view message) {
  return {{"error",
           {{"message", message},
            {"type", status >= 500 ? "server_error" : "invalid_request_error"},
            {"code", code}}}};
}

inline http::Response ErrorResponse(int status,
                                    std::string_view code,
                                    std::string_view message) {
  return JsonResponse(status, ErrorJson(status, code, message));
}

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_JSON_RESPONSE_H_
