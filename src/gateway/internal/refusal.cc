#include "gateway/internal/refusal.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace acacialug::gateway {
namespace {

constexpr int kServiceUnavailable = 503;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr std::array kPromises = {408, 421, kTooManyRequests,
                                  kServiceUnavailable};

// Codes that are not listed have status 503 if the request did not run, and 502
// otherwise.
constexpr std::array<std::pair<ResultCode, int>, 8> kStatuses = {
    {{ResultCode::kUnknownRoute, 404},
     {ResultCode::kUnknownCaller, 401},
     {ResultCode::kCallerOverLimit, kTooManyRequests},
     {ResultCode::kMalformedRequest, 400},
     {ResultCode::kBodyTooLarge, 413},
     {ResultCode::kHeadersTooLarge, 431},
     {ResultCode::kDeadlineExceeded, 504},
     {ResultCode::kInternal, 500}}};

int StatusOf(ResultCode code) {
  for (const auto& [listed, status] : kStatuses) {
    if (listed == code) {
      return status;
    }
  }
  return IsNotRun(code) ? kServiceUnavailable : kBadGateway;
}

// Retry-After in seconds, to the hundredth: callers of the gateway parse
// fractions, and a whole second is longer than most waits.
std::string SecondsText(Duration duration) {
  constexpr int kHundredths = 100;
  const auto hundredths = static_cast<long>(Seconds(duration) * kHundredths);
  const std::string fraction = std::to_string(hundredths % kHundredths);
  return std::to_string(hundredths / kHundredths) + "." +
         (fraction.size() < 2 ? "0" : "") + fraction;
}

}  // namespace

bool PromisesNotRun(int status) {
  return std::find(kPromises.begin(), kPromises.end(), status) !=
         kPromises.end();
}

http::Response MakeOwnAnswer(ResultCode code,
                             Duration retry_after,
                             bool close_connection) {
  http::Response answer{.status = StatusOf(code)};
  answer.headers.push_back({"Content-Type", "application/json"});
  const bool may_return =
      answer.status == kServiceUnavailable || answer.status == kTooManyRequests;
  if (may_return && code != ResultCode::kVersionGone) {
    answer.headers.push_back({"Retry-After", SecondsText(retry_after)});
  }
  if (close_connection) {
    answer.headers.push_back({"Connection", "close"});
  }
  answer.body = nlohmann::json{{"error",
                                {{"number", static_cast<int>(code)},
                                 {"code", ResultCodeName(code)},
                                 {"message", ResultCodeMeaning(code)}}}}
                    .dump();
  return answer;
}

}  // namespace acacialug::gateway
