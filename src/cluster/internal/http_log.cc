#include "cluster/http_log.h"

#include <QByteArray>
#include <QString>
#include <nlohmann/json.hpp>
#include <utility>

#include "cluster/internal/json_exchange.h"

namespace acacialug::cluster {
namespace {

using internal::ExchangeJson;
using internal::JsonAnswer;
using internal::ReadNumber;
using nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusTooMany = 429;

std::string RecordsPath(const std::string& stream) {
  return "/streams/" + stream + "/records";
}

Result<LogOffset> ReadAppended(const JsonAnswer& answer) {
  // The log refused the record, or the request was never sent.
  if (!answer.sent || answer.status == kStatusUnavailable ||
      answer.status == kStatusTooMany) {
    return Error(ResultCode::kPlatformUnavailable, "append not taken");
  }
  std::uint64_t offset = 0;
  if (answer.status == kStatusOk && ReadNumber(answer.body, "offset", offset)) {
    return LogOffset(offset);
  }
  return Error(ResultCode::kAppendUnresolved, "append's answer is lost");
}

bool ReadRecord(const json& object, ILog::Record& record) {
  std::uint64_t offset = 0;
  if (!ReadNumber(object, "offset", offset)) {
    return false;
  }
  const auto payload = object.find("payload");
  if (payload == object.end() || !payload->is_string()) {
    return false;
  }
  const auto& encoded = payload->get_ref<const std::string&>();
  record.offset = LogOffset(offset);
  record.payload =
      QByteArray::fromBase64(QByteArray::fromStdString(encoded)).toStdString();
  return true;
}

Result<ILog::Read> ReadRecords(const JsonAnswer& answer) {
  if (answer.status == 0 || answer.status == kStatusUnavailable ||
      answer.status == kStatusTooMany) {
    return Error(ResultCode::kPlatformUnavailable, "log does not answer");
  }
  ILog::Read read;
  std::uint64_t first_kept = 0;
  std::uint64_t next = 0;
  if (answer.status != kStatusOk ||
      !ReadNumber(answer.body, "first_kept", first_kept) ||
      !ReadNumber(answer.body, "next", next) ||
      !answer.body.contains("records") || !answer.body["records"].is_array()) {
    return Error(ResultCode::kPlatformBadAnswer, "log's answer has no records");
  }
  read.first_kept = LogOffset(first_kept);
  read.next = LogOffset(next);
  for (const json& object : answer.body["records"]) {
    ILog::Record record;
    if (!ReadRecord(object, record)) {
      return Error(ResultCode::kPlatformBadAnswer, "log's record is malformed");
    }
    read.records.push_back(std::move(record));
  }
  return read;
}

}  // namespace

HttpLog::HttpLog(http::Address log_address, http::Client& http_client)
    : address(std::move(log_address)), client(http_client) {}

void HttpLog::Append(const std::string& stream,
                     std::string payload,
                     std::function<void(Result<LogOffset>)> on_done) {
  http::Request request{
      .method = "POST",
      .target = RecordsPath(stream),
      .headers = {{"Content-Type", "application/octet-stream"}},
      .body = std::move(payload)};
  ExchangeJson(this->client, this->address, request,
               [on_done = std::move(on_done)](const JsonAnswer& answer) {
                 on_done(ReadAppended(answer));
               });
}

void HttpLog::ReadFrom(const std::string& stream,
                       LogOffset from,
                       std::size_t limit,
                       Duration wait,
                       std::function<void(Result<Read>)> on_done) {
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  http::Request request{.method = "GET",
                        .target = RecordsPath(stream) +
                                  "?from=" + std::to_string(from.value) +
                                  "&limit=" + std::to_string(limit) +
                                  "&wait_ms=" + std::to_string(wait_ms)};
  ExchangeJson(this->client, this->address, request,
               [on_done = std::move(on_done)](const JsonAnswer& answer) {
                 on_done(ReadRecords(answer));
               });
}

}  // namespace acacialug::cluster
