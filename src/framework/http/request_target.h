#ifndef FRAMEWORK_HTTP_REQUEST_TARGET_H_
#define FRAMEWORK_HTTP_REQUEST_TARGET_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace acacialug::http {

// Builds the target of a request. Texts of others (keys, names, ids) may have
// any bytes: each is one part of the target, in percent encoding (RFC 3986,
// 2.1). Not thread safe.
class RequestTarget {
 public:
  // Precondition: `target_path` has no query.
  explicit RequestTarget(std::string_view target_path) : target(target_path) {}

  // Adds a segment behind the path, which ends with a slash. Precondition: no
  // parameter was added.
  RequestTarget& Segment(std::string_view text);
  // Adds a parameter to the query. Precondition: `name` needs no encoding.
  RequestTarget& Parameter(std::string_view name, std::string_view value);
  RequestTarget& Parameter(std::string_view name, std::uint64_t value);

  const std::string& text() const { return this->target; }

 private:
  std::string target;
  bool has_query = false;
};

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_REQUEST_TARGET_H_
