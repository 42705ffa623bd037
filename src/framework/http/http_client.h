#ifndef FRAMEWORK_HTTP_HTTP_CLIENT_H_
#define FRAMEWORK_HTTP_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "framework/global/types/result.h"
#include "framework/http/http_types.h"

namespace acacialug::http {

// What a client tells of one exchange; each hook runs on the client's thread,
// never from inside Send. After on_end or on_error nothing more comes.
struct ExchangeHooks {
  // False: this answer belongs to another request, and is read to its end and
  // dropped; the next one on the connection is awaited. A server that answers
  // a request twice would otherwise have its second answer taken for that of
  // the connection's next request. Empty: every answer is this exchange's.
  std::function<bool(int status, const Headers& headers)> is_answer;
  std::function<void(int status, const Headers& headers)> on_head;
  // Runs right after on_head. False: the head says all, and the exchange ends
  // with it, by on_end with an empty body. The connection is kept only if the
  // rest of the answer has arrived as well. Empty: every body is awaited.
  std::function<bool(int status, const Headers& headers)> wants_body;
  // Runs right after on_head if the body has neither a length nor chunks: only
  // the end of the connection ends it, as does the end of the server's process.
  std::function<void()> on_unframed;
  // Body bytes as they come. Empty: they are collected for on_end.
  std::function<void(std::string_view data)> on_data;
  // The whole answer came; `body` is empty if on_data was set.
  std::function<void(std::string body)> on_end;
  // `sent` is false only if not one byte of the request left this process,
  // so that the request provably did not run at the server.
  std::function<void(const Error& error, bool sent)> on_error;
};

struct SendOptions {
  // The exchange gets a new connection instead of a kept one. An answer that
  // the server sends twice comes again on the connection of the first one:
  // on another connection no answer to an earlier message can arrive.
  bool fresh_connection = false;
  // For an answer that is collected; empty: ClientOptions::max_body_bytes.
  std::optional<std::size_t> max_body_bytes;
  // The exchange fails when it has not ended this long after it began. Unlike
  // the silence timeout it ends an answer that never stops. Zero: no limit.
  Duration timeout{};
};

struct ClientOptions {
  Duration connect_timeout = 2s;
  // Without any byte of an answer for this long the exchange fails; zero
  // turns it off (for streams, whose owner watches progress).
  Duration silence_timeout = 30s;
  // For answers that are collected; a stream (on_data) has no limit, since it
  // takes no memory here. Answers to other requests, which are dropped, are
  // read up to the same limit.
  std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
  std::size_t max_idle_connections = 64;  // kept for reuse, per address
  // An idle connection is closed after this. Shorter than the idle timeout of
  // the usual servers, so that it is mostly this side that closes: a server's
  // close can cross a request on its way, whose outcome would be unknown. A
  // server that tells a shorter one (Keep-Alive) is believed.
  Duration max_idle = 4s;
  TlsFiles tls;  // enabled(): every exchange is TLS
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

  // A request of which the server would read another one is not sent: on_error
  // tells kMalformedRequest (for example, the target has a blank, or a header's
  // value a line break).
  ExchangeId Send(const Address& address,
                  const Request& request,
                  ExchangeHooks hooks,
                  const SendOptions& send_options = {});

  // Ends an exchange by closing its connection; its hooks stay silent. The
  // connection is reset if the answer is not whole: the server can't take it
  // for half-closed, and no byte that still waits to be sent reaches it.
  // Unknown ids are ignored.
  void Cancel(ExchangeId exchange);

  // Ends what this side sends on an exchange's connection, once all of the
  // request has left. A server that watches its connections drops the request
  // and closes; the exchange goes on until it does. Without effect under TLS,
  // and for unknown ids.
  void EndSending(ExchangeId exchange);

  // Stops and restarts reading an exchange's answer, so that a slow reader
  // downstream presses back on the server. Unknown ids are ignored.
  void SetPaused(ExchangeId exchange, bool paused);

  // Closes the idle connections to an address: after one connection to it went
  // silent, the others may be dead too, and nothing would show it before a
  // request was lost on each.
  void DropIdle(const Address& address);

  // Loads the TLS files anew for connections made from now on. Errors:
  // kCertificateInvalid (what was loaded before stays).
  Status ReloadTls();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_HTTP_CLIENT_H_
