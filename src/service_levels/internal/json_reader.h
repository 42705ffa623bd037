#ifndef SERVICE_LEVELS_INTERNAL_JSON_READER_H_
#define SERVICE_LEVELS_INTERNAL_JSON_READER_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "framework/global/types/instant.h"

namespace acacialug::service_levels::internal {

// Reads typed values from a JSON tree that another process wrote. The first
// value that is missing or has the wrong type makes the whole text invalid;
// values read after that are meaningless. Not thread safe.
class JsonReader {
 public:
  using Json = nlohmann::json;

  bool ok() const { return this->problem.empty(); }
  const std::string& error() const { return this->problem; }
  void Fail(const std::string& what);

  // Returns a member of an object; calls Fail and returns null when it is
  // missing.
  const Json& Member(const Json& object, const char* key);
  // Like Member, for a member of the given type.
  const Json& List(const Json& object, const char* key);
  std::uint64_t Number(const Json& object, const char* key);
  // Reads milliseconds, at most 100 years, so that sums of the values stay in
  // range.
  Duration Milliseconds(const Json& object, const char* key);
  std::string Text(const Json& object, const char* key);
  // Reads a number between 0 and 1.
  double Share(const Json& object, const char* key);

 private:
  std::string problem;
};

}  // namespace acacialug::service_levels::internal

#endif  // SERVICE_LEVELS_INTERNAL_JSON_READER_H_
