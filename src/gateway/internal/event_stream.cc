#include "gateway/internal/event_stream.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <string>

namespace acacialug::gateway {

bool IsEventStream(const http::Headers& headers) {
  const auto type = http::FindHeader(headers, "Content-Type");
  if (!type) {
    return true;
  }
  // Parameters, such as a charset, follow a semicolon.
  const std::string media_type = boost::algorithm::trim_copy(
      std::string(type->substr(0, type->find(';'))));
  return boost::algorithm::iequals(media_type, "text/event-stream");
}

}  // namespace acacialug::gateway
