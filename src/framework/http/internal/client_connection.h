#ifndef FRAMEWORK_HTTP_INTERNAL_CLIENT_CONNECTION_H_
#define FRAMEWORK_HTTP_INTERNAL_CLIENT_CONNECTION_H_

#include <QObject>
#include <QTcpSocket>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "framework/http/http_client.h"
#include "framework/http/internal/deadline_timer.h"
#include "framework/http/internal/response_reader.h"
#include "framework/http/socket_setup.h"
#include "framework/http/tls_configuration.h"

namespace acacialug::http {

// One exchange as its connection sees it.
struct Exchange {
  Client::ExchangeId id = 0;
  std::string request_bytes;
  bool asks_head = false;
  SendOptions options;
  ExchangeHooks hooks;
};

// One connection to a server, with one exchange at a time. Lives on the
// client's thread; deleted with deleteLater, since its own signals end it.
class ClientConnection : public QObject {
 public:
  struct Hooks {
    // The exchange is over, before its own hooks hear of it; `reusable` tells
    // whether the connection may carry another.
    std::function<void(ClientConnection*, Client::ExchangeId, bool reusable)>
        on_released;
    // An idle connection ended, or the server broke the protocol on it.
    std::function<void(ClientConnection*)> on_idle_closed;
  };

  ClientConnection(Address address,
                   const ClientOptions& options,
                   const TlsConfiguration& tls,
                   Hooks hooks);
  ~ClientConnection() override;

  // Precondition: no exchange is under way. Hooks run later, never from here.
  void Start(std::shared_ptr<Exchange> exchange);

  // Fails an exchange that cannot even be tried.
  void FailLater(std::shared_ptr<Exchange> exchange, Error error);

  void SetPaused(bool paused);

  // Ends the sending side if all of the request has left, and not under TLS.
  void EndSending();

  // Closes at once, by a reset if the answer to a request is not whole; no hook
  // runs any more.
  void Close();

  const Address& address() const { return this->server_address; }
  // For an idle connection: the server has neither closed nor sent anything.
  bool IsReusable() const;
  // Until when it may be kept idle.
  Instant idle_until() const { return this->released_at + this->idle_time; }

 private:
  void ConnectSignals();
  void OnConnected();
  void OnOpen();
  void OnReadyRead();
  void OnBytesWritten();
  void OnError();
  void OnDisconnected();
  void WatchSilence();
  void OnExpired(Duration late);
  void OnTimeout(Duration late);
  // False: it was given, or there is nothing to wait for.
  bool GiveOpeningGrace();
  void WriteRequest();
  void ReadAnswer();
  bool ReadMore();
  // False: the exchange is over or paused.
  bool Deliver();
  bool DeliverData();
  // Ends the exchange with the head of its answer.
  void SkipBody();
  bool MayGoOn(Client::ExchangeId id) const;
  void EndOfStream();
  // `whole`: all of the answer was read.
  void Finish(bool whole = true);
  void NoteIdleTime(const Headers& headers);
  void Fail(Error error);
  std::shared_ptr<Exchange> Release(bool reusable);

  const Address server_address;
  const ClientOptions& options;
  const Hooks owner;
  const bool secure;
  std::unique_ptr<QTcpSocket> socket;
  DeadlineTimer timer;
  DeadlineTimer timeout_timer;  // of the whole exchange
  std::shared_ptr<Exchange> exchange;
  std::optional<ResponseReader> reader;
  std::optional<EndProbe> end_probe;  // for a body that ends with it
  Instant released_at = Instant{};
  Duration idle_time;
  bool dropping = false;  // an answer that belongs to another request
  std::size_t bytes_before_answer = 0;  // received before this one's head
  bool answering = false;               // the head of this one's answer came
  bool open = false;
  bool ended = false;  // the socket is of no more use
  bool paused = false;
  bool inside_start = false;
  bool grace_given = false;      // while it is being opened
  bool late_look_given = false;  // in the silence that is watched
  bool timeout_extended = false;
  bool request_left = false;  // at least one byte of it
  bool answer_due = false;    // to a request; it is not whole
  bool sending_ended = false;
  bool tls_ended = false;  // the server has ended TLS itself
};

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_INTERNAL_CLIENT_CONNECTION_H_
