#include "service_levels/internal/json_reader.h"

namespace acacialug::service_levels::internal {
namespace {

constexpr std::size_t kMostTextBytes = 256;
constexpr std::chrono::hours kMostDuration{24 * 365 * 100};

const JsonReader::Json& Nothing() {
  static const JsonReader::Json kNothing;
  return kNothing;
}

}  // namespace

void JsonReader::Fail(const std::string& what) {
  if (this->problem.empty()) {
    this->problem = what;
  }
}

const JsonReader::Json& JsonReader::Member(const Json& object,
                                           const char* key) {
  const auto found = object.is_object() ? object.find(key) : object.end();
  if (found == object.end()) {
    this->Fail(std::string("expected \"") + key + "\"");
    return Nothing();
  }
  return *found;
}

const JsonReader::Json& JsonReader::List(const Json& object, const char* key) {
  const Json& list = this->Member(object, key);
  if (!list.is_array()) {
    this->Fail(std::string("expected a list \"") + key + "\"");
  }
  return list;
}

std::uint64_t JsonReader::Number(const Json& object, const char* key) {
  const Json& number = this->Member(object, key);
  if (!number.is_number_unsigned()) {
    this->Fail(std::string("expected a whole number \"") + key + "\"");
    return 0;
  }
  return number.get<std::uint64_t>();
}

Duration JsonReader::Milliseconds(const Json& object, const char* key) {
  const std::uint64_t number = this->Number(object, key);
  const std::chrono::milliseconds most = kMostDuration;
  if (number > static_cast<std::uint64_t>(most.count())) {
    this->Fail(std::string("too long: \"") + key + "\"");
    return {};
  }
  return std::chrono::milliseconds(number);
}

std::string JsonReader::Text(const Json& object, const char* key) {
  const Json& text = this->Member(object, key);
  if (!text.is_string() ||
      text.get_ref<const std::string&>().size() > kMostTextBytes) {
    this->Fail(std::string("expected a short text \"") + key + "\"");
    return {};
  }
  return text.get<std::string>();
}

double JsonReader::Share(const Json& object, const char* key) {
  const Json& number = this->Member(object, key);
  if (!number.is_number() || number.get<double>() < 0 ||
      number.get<double>() > 1) {
    this->Fail(std::string("expected 0 to 1: \"") + key + "\"");
    return 0;
  }
  return number.get<double>();
}

}  // namespace acacialug::service_levels::internal
