#include "gateway/request_key.h"

#include <initializer_list>
#include <string_view>

#include "placement/types/hashing.h"

namespace acacialug::gateway {

retry::RequestKey RequestKeyOf(const WorkRequest& request) {
  // Each hash seeds the next, so that text moved from one part to another
  // changes the result.
  std::uint64_t hash = 0;
  for (const std::string_view part : std::initializer_list<std::string_view>{
           request.customer.text, request.message.method, request.host,
           request.message.target, request.message.body}) {
    hash = placement::HashText(part, hash);
  }
  return retry::RequestKey(hash);
}

}  // namespace acacialug::gateway
