#ifndef FRAMEWORK_HTTP_HTTP_TYPES_H_
#define FRAMEWORK_HTTP_HTTP_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "framework/global/types/instant.h"

namespace acacialug::http {

struct Header {
  std::string name;
  std::string value;
};
using Headers = std::vector<Header>;

// The first header of this name (names compare without case).
std::optional<std::string_view> FindHeader(const Headers& headers,
                                           std::string_view name);

// The names of a message's headers that belong to one connection and are never
// passed on (RFC 9110, section 7.6.1), with those that `Connection` lists.
// Reads the list once: a sender may list as many names as it has headers.
// Thread safe.
class HopByHopNames {
 public:
  // The values of `Connection` must outlive this object, where they are.
  explicit HopByHopNames(const Headers& headers);

  // Names compare without case.
  bool Contains(std::string_view name) const;

 private:
  std::vector<std::string_view> listed;  // in order
};

struct Request {
  std::string method;
  std::string target;  // as sent: path and query
  Headers headers;
  std::string body;
  // Of a request that a server hands over: how long ago its last byte, or what
  // its caller has sent behind it, came to this host. Zero if it was read in
  // time, or if that is not known. Source: the operating system's TCP_INFO
  // (tcpi_last_data_recv, in ms, as exact as its tick of 1 to 10 ms), which
  // does not count time for which the host was suspended. What a caller tells
  // as a duration from its sending is to be counted from then.
  Duration age = Duration::zero();

  // The target without its query.
  std::string_view Path() const {
    return std::string_view(this->target).substr(0, this->target.find('?'));
  }
};

struct Response {
  int status = 200;
  Headers headers;
  std::string body;
  // Sent without a length: only the end of the connection ends the body. For an
  // answer that is passed on and had neither a length nor chunks itself.
  bool unframed = false;
};

// What a server accepts before it takes memory for it.
struct ServerLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
  // Of all requests together, heads and bodies as they are kept, from their
  // first byte until their answers end.
  std::size_t max_bodies_bytes = std::size_t{256} * 1024 * 1024;
  // Of each connection, not counted in that: requests of usual size are taken
  // though others fill it.
  std::size_t uncounted_bytes = std::size_t{4} * 1024;
  // Of all answers that have ended and that their callers have not taken.
  // Beyond it the connection whose caller has left one for longest is cut.
  std::size_t max_untaken_bytes = std::size_t{256} * 1024 * 1024;
  std::size_t max_connections = 4096;  // in all shards together
  // At that limit a new connection takes a place in its shard: of the longest
  // idle one, else of the one whose head has taken longest, else of the one
  // whose body has, if it is slow. It is refused only when there is none.
  bool idle_yields = false;
  // A head or a body that takes longer to come yields the memory that it holds
  // to other requests, and its place to other connections.
  Duration slow_after = 5s;
  std::size_t max_unsent_bytes =
      std::size_t{256} * 1024;  // a stream above it is paused
  Duration idle_timeout = 60s;  // between two requests
  Duration head_timeout = 10s;  // first byte to end of headers
  Duration body_timeout = 60s;  // end of headers to end of body
};

// Certificate files in PEM; empty means plain text.
struct TlsFiles {
  std::string certificate_file;
  std::string key_file;
  std::string authority_file;  // set: the peer must show a certificate by it

  bool enabled() const { return !this->certificate_file.empty(); }
};

struct Address {
  std::string ip;
  std::uint16_t port = 0;

  friend auto operator<=>(const Address&, const Address&) = default;
};

// "IP:PORT", or "[IP]:PORT" for version 6; empty for any other form, since
// names are never looked up.
std::optional<Address> ParseAddress(std::string_view text);
std::string ToString(const Address& address);

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_HTTP_TYPES_H_
