#ifndef FRAMEWORK_HTTP_HTTP_CLIENT_H_
#define FRAMEWORK_HTTP_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "framework/global/types/result.h"
#include "framework/http/http_types.h"

namespace acacialug::http {

// What a client tells of one exchange; each hook runs on the client's thread,
// never from inside Send. After on_end or on_error nothing more comes.
struct ExchangeHooks {
  std::function<void(int status, const Headers& headers)> on_head;
  // Body bytes as they come. Empty: they are collected for on_end.
  std::function<void(std::string_view data)> on_data;
  // The whole answer came; `body` is empty if on_data was set.
  std::function<void(std::string body)> on_end;
  // `sent` is false only if not one byte of the request left this process,
  // so that the request provably did not run at the server.
  std::function<void(const Error& error, bool sent)> on_error;
};

struct ClientOptions {
  Duration connect_timeout = 2s;
  // Without any byte of an answer for this long the exchange fails; zero
  // turns it off (for streams, whose owner watches progress).
  Duration silence_timeout = 30s;
  // For answers that are collected; a stream (on_data) has no limit, since it
  // takes no memory here.
  std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
  std::size_t max_idle_connections = 64;  // kept for reuse, per address
  TlsFiles tls;                           // enabled(): every exchange is TLS
};

// An HTTP/1.1 client on Qt's sockets and Boost.Beast's parser: as many
// connections at once as there are exchanges (QNetworkAccessManager stops at
// six a host, an engine has twenty streams), reused when idle. An exchange on
// a reused connection that fails before any byte of an answer is NOT sent
// again here: retrying is the entry's alone.
//
// Lives on one thread with a running Qt event loop; not thread safe.
class Client {
 public:
  explicit Client(ClientOptions options);
  ~Client();

  using ExchangeId = std::uint64_t;

  ExchangeId Send(const Address& address,
                  const Request& request,
                  ExchangeHooks hooks);

  // Ends an exchange by closing its connection; its hooks stay silent.
  // Unknown ids are ignored.
  void Cancel(ExchangeId exchange);

  // Stops and restarts reading an exchange's answer, so that a slow reader
  // downstream presses back on the server. Unknown ids are ignored.
  void SetPaused(ExchangeId exchange, bool paused);

  // Loads the TLS files anew for connections made from now on. Errors:
  // kCertificateInvalid (what was loaded before stays).
  Status ReloadTls();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_HTTP_CLIENT_H_
