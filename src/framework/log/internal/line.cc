#include "framework/log/internal/line.h"

#include <spdlog/fmt/chrono.h>

#include <nlohmann/json.hpp>
#include <variant>

namespace acacialug::log::internal {
namespace {

// RFC 3339 in UTC with microseconds.
std::string TimeText(std::chrono::system_clock::time_point time) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
  const auto rest =
      std::chrono::duration_cast<std::chrono::microseconds>(time - seconds);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
                     rest.count());
}

// A caller's id or path may have many kilobytes.
constexpr std::size_t kMaxTextBytes = 1024;

std::string Shortened(const std::string& text) {
  return text.size() > kMaxTextBytes ? text.substr(0, kMaxTextBytes) + "..."
                                     : text;
}

template <typename Value>
const Value& Shortened(const Value& number) {
  return number;
}

}  // namespace

std::string Line(std::chrono::system_clock::time_point time,
                 Level level,
                 std::string_view program,
                 std::string_view event,
                 const Record& record) {
  nlohmann::ordered_json line;
  line["ts"] = TimeText(time);
  line["level"] = NameOf(kLevelNames, level);
  line["program"] = program;
  line["event"] = event;
  if (record.request) {
    line["request"] = ToString(*record.request);
  }
  if (!record.request_name.empty()) {
    line["request"] = Shortened(record.request_name);
  }
  if (record.attempt) {
    line["attempt"] = record.attempt->value;
  }
  if (!record.endpoint.empty()) {
    line["endpoint"] = record.endpoint.text;
  }
  if (record.code) {
    line["code"] = static_cast<int>(*record.code);
  }
  for (const Field& field : record.fields) {
    std::visit(
        [&](const auto& value) {
          line[std::string(field.key)] = Shortened(value);
        },
        field.value);
  }
  return line.dump(-1, ' ', /*ensure_ascii=*/false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace acacialug::log::internal
