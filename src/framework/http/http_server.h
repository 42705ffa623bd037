#ifndef FRAMEWORK_HTTP_HTTP_SERVER_H_
#define FRAMEWORK_HTTP_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "framework/global/types/result.h"
#include "framework/http/http_types.h"

namespace acacialug::http {

// The answer side of one request. Lives on the thread (shard) that took the
// request; every method must be called there. Kept alive by whoever answers;
// letting the last reference go without an answer closes the connection.
//
// Requests on one connection are served strictly one after another: the next
// pipelined request is parsed only after this answer ended, so answers of one
// connection can never mix.
class Responder {
 public:
  virtual ~Responder() = default;

  // Answers in one piece. Precondition: nothing was answered yet. A caller
  // that is gone makes this a no-op.
  virtual void SendWhole(const Response& response) = 0;

  // Begins a streamed answer (chunked, or closed at the end for HTTP/1.0).
  virtual void BeginStream(int status, const Headers& headers) = 0;
  // As BeginStream, without chunks: only the end of the connection ends the
  // answer. For one that is passed on and was itself not framed.
  virtual void BeginUnframedStream(int status, const Headers& headers) = 0;
  virtual void SendData(std::string_view data) = 0;
  virtual void EndStream() = 0;

  // Cuts the connection so that the caller sees a broken answer, never one
  // that looks whole.
  virtual void Abort() = 0;

  virtual bool gone() const = 0;

  // Bytes taken by SendData and not yet taken by the operating system.
  virtual std::size_t unsent_bytes() const = 0;

  // `on_gone` runs once when the caller's connection ends before the answer
  // does. `on_drained` runs when unsent bytes fall to zero. Set either at any
  // time; an empty function removes it.
  virtual void SetOnGone(std::function<void()> on_gone) = 0;
  virtual void SetOnDrained(std::function<void()> on_drained) = 0;
};
using ResponderPtr = std::shared_ptr<Responder>;

// Handles one whole request on its shard's thread. A request that breaks a
// limit or is not HTTP never gets here: the server answers 400, 413, 431 or
// 503 by `render_error` and closes. Nothing of such a request ran.
using RequestHandler = std::function<void(Request request, ResponderPtr)>;

struct ServerOptions {
  Address listen;  // port 0: the operating system chooses
  ServerLimits limits;
  TlsFiles tls;
  // One handler a shard, made on that shard's thread; the number of shards is
  // the number of handlers' threads. With no shard threads (the default) the
  // server runs on the thread that calls Start, whose Qt event loop must run.
  int shard_threads = 0;
  std::function<RequestHandler(int shard)> make_handler;
  // Runs on the shard's own thread when the shard ends (before its event loop
  // is gone), so that what lives there is destroyed there.
  std::function<void(int shard)> on_shard_end;
  // The body of an error that the server itself answers.
  std::function<Response(int status, const Error& error)> render_error;
};

// An HTTP/1.0 and 1.1 server: Qt's sockets and event loops, Boost.Beast's
// parser and serializer (docs/decisions/ says why not QHttpServer here).
class Server {
 public:
  explicit Server(ServerOptions options);

  // Ends the shards and joins their threads; connections are closed, and the
  // hooks of responders still held stay silent. Thread: the one of Start, and
  // not from within a handler or a hook.
  ~Server();

  // Listens. Errors: kAddressInUse, kCertificateInvalid.
  Status Start();

  // The port listened on. Precondition: Start succeeded.
  std::uint16_t port() const;

  // Stops taking connections; idle ones are closed. Answers under way go on,
  // and a request of which a part has come is still read and handed over;
  // then its connection is closed. Thread: the one that called Start.
  void StopAccepting();

  // Connections still open, in all shards. Thread safe.
  std::size_t open_connections() const;

  // Bytes of answers that the operating system has not taken yet, of all
  // connections. Precondition: no shard threads. Thread: the one of Start.
  std::size_t unsent_bytes() const;

  // Runs `task` on a shard's thread. Thread safe.
  void PostToShard(int shard, std::function<void()> task);

  // Loads certificate and key anew for connections from now on. Errors:
  // kCertificateInvalid (the old ones stay). Thread: the one of Start.
  Status ReloadTls();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_HTTP_SERVER_H_
