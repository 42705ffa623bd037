#ifndef FRAMEWORK_LOG_TYPES_RECORD_H_
#define FRAMEWORK_LOG_TYPES_RECORD_H_

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "framework/global/types/result_code.h"
#include "framework/log/types/secret.h"

namespace acacialug::log {

enum class Level { kDebug, kInfo, kWarning, kError, kOff };

inline constexpr EnumNames<Level, 5> kLevelNames = {
    {{Level::kDebug, "debug"},
     {Level::kInfo, "info"},
     {Level::kWarning, "warning"},
     {Level::kError, "error"},
     {Level::kOff, "off"}}};

// One more key of a record, with the value's own JSON type. A Duration becomes
// a number of milliseconds, so name its key ..._ms.
struct Field {
  using Value =
      std::variant<bool, std::int64_t, std::uint64_t, double, std::string>;

  std::string_view key;
  Value value;

  template <std::signed_integral T>
  Field(std::string_view field_key, T number)
      : key(field_key), value(static_cast<std::int64_t>(number)) {}
  template <std::unsigned_integral T>
  requires(!std::same_as<T, bool>) Field(std::string_view field_key, T number)
      : key(field_key), value(static_cast<std::uint64_t>(number)) {}
  template <std::same_as<bool> T>
  Field(std::string_view field_key, T flag) : key(field_key), value(flag) {}
  Field(std::string_view field_key, double number)
      : key(field_key), value(number) {}
  Field(std::string_view field_key, Duration duration)
      : key(field_key), value(Seconds(duration) * 1000.0) {}
  Field(std::string_view field_key, std::string text)
      : key(field_key), value(std::move(text)) {}
  Field(std::string_view field_key, std::string_view text)
      : key(field_key), value(std::string(text)) {}
  Field(std::string_view field_key, const char* text)
      : key(field_key), value(std::string(text)) {}
  Field(std::string_view field_key, const Secret&)
      : key(field_key), value(std::string(Secret::kPrinted)) {}
  template <typename Tag>
  Field(std::string_view field_key, const Name<Tag>& name)
      : key(field_key), value(name.text) {}
  template <typename Tag>
  Field(std::string_view field_key, const Number<Tag>& number)
      : key(field_key), value(number.value) {}
};

// What a line says beside time, level and event. Keys that are left out do not
// appear in the line.
struct Record {
  std::optional<RequestId> request = {};
  // Under the same key, for a request whose name somebody else gave it.
  std::string request_name = {};
  std::optional<AttemptNumber> attempt = {};
  EndpointId endpoint = {};
  std::optional<ResultCode> code = {};
  std::vector<Field> fields = {};
};

}  // namespace acacialug::log

#endif  // FRAMEWORK_LOG_TYPES_RECORD_H_
