#include "operations/drain_request.h"

#include <QHostAddress>
#include <nlohmann/json.hpp>

namespace acacialug::operations {
namespace {

using Json = nlohmann::ordered_json;

}  // namespace

Status CheckDrainRequest(const http::Request& request,
                         const DrainRules& rules) {
  if (request.method != "POST") {
    return Error(ResultCode::kMethodNotAllowed);
  }
  if (!rules.allowed) {
    return Error(ResultCode::kNotAllowed, "operations.allow_drain is false");
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("name") ||
      !body["name"].is_string()) {
    return Error(ResultCode::kMalformedJson, "expected {\"name\": \"...\"}");
  }
  if (body["name"] != rules.name) {
    return Error(ResultCode::kInvalidParameter,
                 "this process is " + rules.name);
  }
  return Success{};
}

std::string RenderDrainRequest(const std::string& name) {
  return Json{{"name", name}}.dump(-1, ' ', false,
                                   Json::error_handler_t::replace);
}

std::string RenderDrainAnswer(const std::string& name) {
  return Json{{"name", name}, {"draining", true}}.dump(
             -1, ' ', false, Json::error_handler_t::replace) +
         "\n";
}

bool IsLoopback(const http::Address& address) {
  return QHostAddress(QString::fromStdString(address.ip)).isLoopback();
}

}  // namespace acacialug::operations
