#include "entry_process/internal/error_answer.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string_view>

#include "entry_process/internal/caller_headers.h"

namespace acacialug::entry_process {
namespace {

struct StatusRow {
  ResultCode code;
  int status;
};

// Codes that are not listed get the status of their thousand.
constexpr StatusRow kStatusTable[] = {
    {ResultCode::kUnknownModel, 404},
    {ResultCode::kUnknownService, 404},
    {ResultCode::kUnknownRoute, 404},
    {ResultCode::kUnknownRequest, 404},
    {ResultCode::kMethodNotAllowed, 405},
    {ResultCode::kBodyTooLarge, 413},
    {ResultCode::kHeadersTooLarge, 431},
    {ResultCode::kTooManyConnections, 503},
    {ResultCode::kUnknownCaller, 403},
    {ResultCode::kNotAllowed, 403},
    {ResultCode::kCallerOverLimit, 429},
    {ResultCode::kDeadlineExceeded, 504},
    {ResultCode::kSlowReader, 408},
    {ResultCode::kStillRunning, 409},
    {ResultCode::kKeyReused, 422},
    {ResultCode::kKeyTooOld, 410},
    {ResultCode::kAnswerGone, 410},
    {ResultCode::kPlatformUnavailable, 503},
    {ResultCode::kEngineUnavailable, 503},
    {ResultCode::kOutOfBounds, 503},
};

int StatusOfThousand(ResultCode code) {
  switch (static_cast<int>(code) / 1000) {
    case 1:
    case 4:
      return 400;
    case 2:
    case 6:
      return 503;
    case 3:
    case 5:
    case 7:
      return 502;
    default:
      return 500;
  }
}

std::string_view TypeOfStatus(int status) {
  switch (status) {
    case 403:
      return "permission_error";
    case 404:
      return "not_found_error";
    case 409:
      return "conflict_error";
    case 429:
      return "rate_limit_error";
    case 503:
      return "overloaded_error";
    default:
      return status < 500 ? "invalid_request_error" : "server_error";
  }
}

// Whether a caller may send the same request again, later or elsewhere.
bool MayRetry(const ErrorAnswer& error) {
  const int status = HttpStatusOf(error.code);
  return error.outcome == protocol::Outcome::kNotRun &&
         (status == 429 || status >= 500);
}

}  // namespace

int HttpStatusOf(ResultCode code) {
  const auto* const found =
      std::find_if(std::begin(kStatusTable), std::end(kStatusTable),
                   [code](const StatusRow& row) { return row.code == code; });
  return found == std::end(kStatusTable) ? StatusOfThousand(code)
                                         : found->status;
}

std::string RenderErrorBody(const ErrorAnswer& error) {
  std::string message(ResultCodeMeaning(error.code));
  if (!error.detail.empty()) {
    message += " (" + error.detail + ")";
  }
  const nlohmann::ordered_json body = {
      {"error",
       {{"message", message},
        {"type", TypeOfStatus(HttpStatusOf(error.code))},
        {"code", ResultCodeName(error.code)},
        {"param", nullptr},
        {"number", static_cast<int>(error.code)},
        {"outcome", NameOf(protocol::kOutcomeNames, error.outcome)}}}};
  return body.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

http::Response RenderError(const ErrorAnswer& error) {
  http::Response response{.status = HttpStatusOf(error.code),
                          .headers = {{"Content-Type", "application/json"}},
                          .body = RenderErrorBody(error)};
  response.headers.push_back(
      {kOutcomeHeader,
       std::string(NameOf(protocol::kOutcomeNames, error.outcome))});
  response.headers.push_back(
      {"X-Should-Retry", MayRetry(error) ? "true" : "false"});
  if (MayRetry(error)) {
    const std::int64_t seconds =
        std::chrono::ceil<std::chrono::seconds>(error.retry_after).count();
    response.headers.push_back(
        {"Retry-After", std::to_string(std::max<std::int64_t>(1, seconds))});
  }
  return response;
}

}  // namespace acacialug::entry_process
