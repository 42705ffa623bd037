#ifndef SERVICE_LEVELS_INTERNAL_JSON_READER_H_
#define SERVICE_LEVELS_INTERNAL_JSON_READER_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "framework/global/types/instant.h"

namespace acacialug::service_levels::internal {

// Reads typed values from a tree that another process wrote. The first value
// that is missing or of another kind makes the whole text bad; what is read
// after that means nothing. Not thread safe.
class JsonReader {
 public:
  using Json = nlohmann::json;

  bool ok() const { return this->problem.empty(); }
  const std::string& error() const { return this->problem; }
  void Fail(const std::string& what);

  // A member of an object; null, after a Fail, when there is none.
  const Json& Member(const Json& object, const char* key);
  // The same, of the given kind.
  const Json& List(const Json& object, const char* key);
  std::uint64_t Number(const Json& object, const char* key);
  // Milliseconds, at most 100 years: sums of what is read stay in range.
  Duration Milliseconds(const Json& object, const char* key);
  std::string Text(const Json& object, const char* key);
  // Between 0 and 1.
  double Share(const Json& object, const char* key);

 private:
  std::string problem;
};

}  // namespace acacialug::service_levels::internal

#endif  // SERVICE_LEVELS_INTERNAL_JSON_READER_H_
