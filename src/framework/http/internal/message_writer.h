#ifndef FRAMEWORK_HTTP_INTERNAL_MESSAGE_WRITER_H_
#define FRAMEWORK_HTTP_INTERNAL_MESSAGE_WRITER_H_

#include <optional>
#include <string>
#include <string_view>

#include "framework/global/types/result.h"
#include "framework/http/http_types.h"

namespace acacialug::http {

// How the end of a body is told; it is the transport's matter, so headers of
// the message that speak of it are left out.
struct Framing {
  std::optional<std::size_t> content_length;
  bool chunked = false;
};

struct ResponseHead {
  int status = 200;
  const Headers& headers;
  Framing framing;
  bool version_1_1 = true;
  bool keep_alive = true;
};

// The bytes of a head. A header that is not well-formed (a line break in its
// value would start another header, or another answer) is left out.
// Thread safe.
std::string WriteResponseHead(const ResponseHead& head);

// The bytes of a whole request, `Host` added if it has none. Thread safe.
// Errors: kMalformedRequest (the server would read other parts than these, or
// another request: the method or a header's name is no token, the target is
// empty or has a control character or a blank, a header's value has a line
// break or NUL).
Result<std::string> WriteRequest(const Request& request,
                                 const Address& address);

// One chunk of a chunked body; empty data gives no bytes, since an empty
// chunk would end the body. Thread safe.
std::string WriteChunk(std::string_view data);

// The end of a chunked body.
std::string WriteLastChunk();

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_INTERNAL_MESSAGE_WRITER_H_
