#include "framework/http/internal/client_connection.h"

#include <QHostAddress>
#include <QSslError>
#include <QSslSocket>
#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "framework/http/socket_setup.h"

namespace acacialug::http {
namespace {

// What one connection reads in a turn of the event loop. All others wait
// meanwhile, and answers without end fill every turn.
constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
// Any time above zero lets the event loop look at its sockets once more.
constexpr Duration kOpeningGrace = 10ms;
// A timer that runs so much later than it was due tells of a standstill.
constexpr Duration kLateLook = 100ms;

std::array<char, kReadBytes>& ReadSpace() {
  thread_local std::array<char, kReadBytes> space;
  return space;
}

}  // namespace

ClientConnection::ClientConnection(Address address,
                                   const ClientOptions& client_options,
                                   const TlsConfiguration& tls,
                                   Hooks hooks)
    : server_address(std::move(address)),
      options(client_options),
      owner(std::move(hooks)),
      secure(tls != nullptr),
      socket(MakeSocket(tls, kReadBytes)),
      timer([this](Duration late) { this->OnExpired(late); }),
      timeout_timer([this](Duration late) { this->OnTimeout(late); }),
      idle_time(client_options.max_idle) {
  this->ConnectSignals();
}

ClientConnection::~ClientConnection() {
  this->socket->disconnect(this);
}

void ClientConnection::ConnectSignals() {
  QTcpSocket* const source = this->socket.get();
  connect(source, &QTcpSocket::readyRead, this,
          [this] { this->OnReadyRead(); });
  connect(source, &QTcpSocket::bytesWritten, this,
          [this] { this->OnBytesWritten(); });
  connect(source, &QTcpSocket::errorOccurred, this,
          [this] { this->OnError(); });
  connect(source, &QTcpSocket::disconnected, this,
          [this] { this->OnDisconnected(); });
  if (!this->secure) {
    connect(source, &QTcpSocket::connected, this, [this] { this->OnOpen(); });
    return;
  }
  auto* const secure_source = static_cast<QSslSocket*>(source);
  connect(secure_source, &QSslSocket::connected, this,
          [this] { this->OnConnected(); });
  connect(secure_source, &QSslSocket::encrypted, this,
          [this] { this->OnOpen(); });
  connect(secure_source, &QSslSocket::alertReceived, this,
          [this](QSsl::AlertLevel, QSsl::AlertType type) {
            this->tls_ended =
                this->tls_ended || type == QSsl::AlertType::CloseNotify;
          });
  IgnoreNameMismatch(*secure_source);
}

void ClientConnection::Start(std::shared_ptr<Exchange> next) {
  this->exchange = std::move(next);
  this->reader.emplace(ResponseReader::Options{
      .answers_head = this->exchange->asks_head,
      .max_body_bytes =
          this->exchange->hooks.on_data
              ? std::nullopt
              : std::optional<std::uint64_t>(
                    this->exchange->options.max_body_bytes.value_or(
                        this->options.max_body_bytes))});
  this->paused = false;
  this->dropping = false;
  this->request_left = false;
  this->late_look_given = false;
  this->timeout_extended = false;
  this->bytes_before_answer = 0;
  this->answering = false;
  this->timeout_timer.Set(this->exchange->options.timeout);
  this->inside_start = true;
  if (this->open) {
    this->WriteRequest();
  } else {
    this->timer.Set(this->options.connect_timeout);
    const QHostAddress host(QString::fromStdString(this->server_address.ip));
    if (this->secure) {
      static_cast<QSslSocket*>(this->socket.get())
          ->connectToHostEncrypted(host.toString(), this->server_address.port);
    } else {
      this->socket->connectToHost(host, this->server_address.port);
    }
  }
  this->inside_start = false;
}

void ClientConnection::FailLater(std::shared_ptr<Exchange> next, Error error) {
  this->exchange = std::move(next);
  this->ended = true;
  QMetaObject::invokeMethod(
      this, [this, error = std::move(error)] { this->Fail(error); },
      Qt::QueuedConnection);
}

void ClientConnection::OnOpen() {
  this->open = true;
  SetConnectedOptions(*this->socket);
  if (this->exchange) {
    this->WriteRequest();
  }
}

void ClientConnection::WriteRequest() {
  this->WatchSilence();
  this->answer_due = true;
  const std::string bytes = std::exchange(this->exchange->request_bytes, {});
  std::string_view rest = bytes;
  if (!this->secure) {
    rest.remove_prefix(SendAtOnce(*this->socket, rest));
  }
  // Under TLS bytesWritten tells of encrypting, not of leaving: taken as left.
  this->request_left =
      this->request_left || this->secure || rest.size() < bytes.size();
  if (!rest.empty()) {
    this->socket->write(rest.data(), static_cast<qint64>(rest.size()));
    this->socket->flush();
  }
}

void ClientConnection::OnBytesWritten() {
  this->request_left = this->request_left || this->exchange != nullptr;
}

void ClientConnection::OnReadyRead() {
  if (!this->exchange) {
    // What comes on an idle connection is an answer to nothing: passing it to
    // the next exchange would give a caller another's answer.
    if (!this->inside_start) {
      this->owner.on_idle_closed(this);
    }
    return;
  }
  if (!this->paused && this->open) {
    this->ReadAnswer();
  }
}

void ClientConnection::ReadAnswer() {
  this->late_look_given = false;
  if (!this->Deliver()) {
    return;
  }
  while (this->ReadMore()) {
    if (!this->Deliver()) {
      return;
    }
  }
  if (this->ended) {
    this->EndOfStream();
  }
}

bool ClientConnection::ReadMore() {
  if (!this->socket->isReadable()) {
    return false;
  }
  std::array<char, kReadBytes>& space = ReadSpace();
  const qint64 got = this->socket->read(space.data(), space.size());
  if (got <= 0) {
    return false;
  }
  this->request_left = true;
  this->WatchSilence();
  if (!this->answering) {
    this->bytes_before_answer += static_cast<std::size_t>(got);
  }
  this->reader->Append({space.data(), static_cast<std::size_t>(got)});
  return true;
}

bool ClientConnection::MayGoOn(Client::ExchangeId id) const {
  return this->exchange && this->exchange->id == id && !this->paused;
}

bool ClientConnection::Deliver() {
  const Client::ExchangeId id = this->exchange->id;
  while (true) {
    const ReadStep step = this->reader->Advance();
    if (step == ReadStep::kHeadDone) {
      if (this->reader->ends_with_connection()) {
        this->end_probe.emplace(*this->socket);
      }
      // Held here, since the hook may cancel the exchange while it runs.
      const std::shared_ptr<Exchange> held = this->exchange;
      const Headers headers = this->reader->headers();
      this->NoteIdleTime(headers);
      this->dropping = held->hooks.is_answer &&
                       !held->hooks.is_answer(this->reader->status(), headers);
      this->answering = !this->dropping;
      if (!this->dropping && held->hooks.on_head) {
        held->hooks.on_head(this->reader->status(), headers);
      }
      if (!this->MayGoOn(id)) {
        return false;
      }
      if (!this->dropping && held->hooks.wants_body &&
          !held->hooks.wants_body(this->reader->status(), headers)) {
        this->SkipBody();
        return false;
      }
      if (!this->dropping && held->hooks.on_unframed &&
          this->reader->ends_with_connection()) {
        held->hooks.on_unframed();
        if (!this->MayGoOn(id)) {
          return false;
        }
      }
      continue;
    }
    if (step == ReadStep::kFault) {
      this->Fail(this->reader->fault());
      return false;
    }
    if (this->dropping) {
      this->reader->TakeBody();
      if (this->bytes_before_answer > this->options.max_body_bytes) {
        this->Fail(Error(ResultCode::kOutOfBounds,
                         "too many bytes of answers to other requests"));
        return false;
      }
      if (step != ReadStep::kDone) {
        return true;
      }
      this->dropping = false;
      this->reader->Restart();
      continue;
    }
    if (!this->DeliverData()) {
      return false;
    }
    if (step == ReadStep::kDone) {
      this->Finish();
      return false;
    }
    return true;
  }
}

void ClientConnection::SkipBody() {
  ReadStep step = this->reader->Advance();
  while (step == ReadStep::kHeadDone) {
    step = this->reader->Advance();
  }
  this->reader->TakeBody();
  this->Finish(step == ReadStep::kDone);
}

bool ClientConnection::DeliverData() {
  const std::shared_ptr<Exchange> held = this->exchange;
  if (!held->hooks.on_data) {
    return true;
  }
  const std::string data = this->reader->TakeBody();
  if (!data.empty()) {
    held->hooks.on_data(data);
  }
  return this->MayGoOn(held->id);
}

void ClientConnection::EndOfStream() {
  // Under TLS anybody on the way, and the end of the server's process, can end
  // the connection beneath it (RFC 9112, section 9.8).
  const bool in_order = this->end_probe && this->end_probe->EndedInOrder() &&
                        (!this->secure || this->tls_ended);
  if (in_order && !this->dropping &&
      this->reader->FinishAtEnd() == ReadStep::kDone) {
    if (this->DeliverData()) {
      this->Finish();
    }
    return;
  }
  std::string_view detail = "closed without an answer";
  if (this->reader->started()) {
    detail = this->end_probe && !in_order
                 ? "reset where the end of the connection ends the answer"
                 : "the answer was cut short";
  }
  this->Fail(Error(ResultCode::kConnectionLost, std::string(detail)));
}

void ClientConnection::SetPaused(bool new_paused) {
  if (this->paused == new_paused || !this->exchange) {
    return;
  }
  this->paused = new_paused;
  if (this->open) {
    this->WatchSilence();
  }
  if (this->paused) {
    return;
  }
  // Qt does not tell again of bytes that it has already told of.
  QMetaObject::invokeMethod(
      this,
      [this] {
        if (this->exchange && !this->paused && this->open) {
          this->ReadAnswer();
        }
      },
      Qt::QueuedConnection);
}

void ClientConnection::OnError() {
  // An open connection's end comes by OnDisconnected.
  if (!this->open) {
    this->ended = true;
    const QAbstractSocket::SocketError code = this->socket->error();
    const bool handshake =
        code == QAbstractSocket::SslHandshakeFailedError ||
        (this->secure && code == QAbstractSocket::RemoteHostClosedError);
    this->Fail(Error(handshake ? ResultCode::kUnauthenticatedPeer
                               : ResultCode::kConnectionLost,
                     ToString(this->server_address) + ": " +
                         this->socket->errorString().toStdString()));
  }
}

void ClientConnection::OnDisconnected() {
  if (!this->open || this->ended) {
    return;
  }
  this->ended = true;
  if (!this->exchange) {
    if (!this->inside_start) {
      this->owner.on_idle_closed(this);
    }
    return;
  }
  if (this->inside_start) {
    QMetaObject::invokeMethod(
        this,
        [this] {
          if (this->exchange) {
            this->ReadAnswer();
          }
        },
        Qt::QueuedConnection);
  } else if (!this->paused) {
    this->ReadAnswer();
  }
}

// A pause is our own wish, not the server's silence.
void ClientConnection::WatchSilence() {
  this->timer.Set(this->paused ? Duration::zero()
                               : this->options.silence_timeout);
}

void ClientConnection::OnExpired(Duration late) {
  // After this process itself was stopped for a while its timers may run
  // before the sockets that have long been ready.
  if (this->open && !this->ended && !IsQuiet(*this->socket)) {
    this->WatchSilence();
    return;
  }
  // Nobody is judged by a time for which this process stood still; but once
  // only, for one that is always late would wait for ever.
  if (this->open && !this->ended && late >= kLateLook &&
      !std::exchange(this->late_look_given, true)) {
    this->WatchSilence();
    return;
  }
  if (!this->open && !this->ended && this->GiveOpeningGrace()) {
    return;
  }
  this->ended = true;
  this->Fail(Error(
      ResultCode::kConnectionLost,
      ToString(this->server_address) +
          (this->open ? ": silent for too long" : ": not connected in time")));
}

void ClientConnection::OnTimeout(Duration late) {
  // As for silence: the time for which this process stood still doesn't count.
  if (late >= kLateLook && !std::exchange(this->timeout_extended, true)) {
    this->timeout_timer.Set(this->exchange->options.timeout);
    return;
  }
  this->ended = true;
  this->Fail(Error(ResultCode::kConnectionLost,
                   ToString(this->server_address) + ": not whole in time"));
}

// While this process stood still the operating system may have made the
// connection, and an endpoint that is well would pass for one that cannot be
// reached. Qt tells no descriptor to ask it by before it has noticed itself;
// but the event loop looks at its sockets before it runs a timer that is set
// now, so that a connection that is made is heard of by then.
bool ClientConnection::GiveOpeningGrace() {
  const bool connecting =
      this->socket->state() == QAbstractSocket::ConnectingState;
  if (this->grace_given || (!connecting && IsQuiet(*this->socket))) {
    return false;
  }
  this->grace_given = true;
  this->timer.Set(connecting ? kOpeningGrace : this->options.connect_timeout);
  return true;
}

// Under TLS: the handshake begins. After a grace it has a time of its own,
// since the server could not begin it sooner.
void ClientConnection::OnConnected() {
  if (this->exchange && std::exchange(this->grace_given, false)) {
    this->timer.Set(this->options.connect_timeout);
  }
}

// `Keep-Alive: timeout=SECONDS`, less the time that a request may take to get
// there: one that meets the server's close has an unknown outcome.
void ClientConnection::NoteIdleTime(const Headers& headers) {
  constexpr std::string_view kTimeout = "timeout=";
  constexpr Duration kOnTheWay = 500ms;
  const auto told = FindHeader(headers, "Keep-Alive");
  const std::size_t at = told ? told->find(kTimeout) : std::string_view::npos;
  if (at == std::string_view::npos) {
    return;
  }
  const std::string_view digits = told->substr(at + kTimeout.size());
  std::uint32_t seconds = 0;
  if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds)
          .ec == std::errc()) {
    this->idle_time =
        std::min(this->options.max_idle,
                 std::max(Duration::zero(),
                          Duration(std::chrono::seconds(seconds)) - kOnTheWay));
  }
}

void ClientConnection::EndSending() {
  if (this->open && !this->ended && !this->secure &&
      UnsentBytes(*this->socket) == 0) {
    this->sending_ended = true;
    ShutDownWriting(*this->socket);
  }
}

void ClientConnection::Finish(bool whole) {
  this->answer_due = !whole;
  const bool reusable = whole && this->reader->keep_alive() &&
                        !this->reader->has_excess() && !this->ended &&
                        !this->sending_ended && UnsentBytes(*this->socket) == 0;
  std::string body = this->reader->TakeBody();
  const std::shared_ptr<Exchange> over = this->Release(reusable);
  if (over->hooks.on_end) {
    over->hooks.on_end(std::move(body));
  }
}

void ClientConnection::Fail(Error error) {
  if (!this->exchange) {
    return;
  }
  if (this->inside_start) {
    QMetaObject::invokeMethod(
        this, [this, error = std::move(error)] { this->Fail(error); },
        Qt::QueuedConnection);
    return;
  }
  const bool sent = this->request_left;
  const std::shared_ptr<Exchange> over = this->Release(false);
  if (over->hooks.on_error) {
    over->hooks.on_error(error, sent);
  }
}

std::shared_ptr<Exchange> ClientConnection::Release(bool reusable) {
  this->timer.Clear();
  this->timeout_timer.Clear();
  this->reader.reset();
  this->released_at = MonotonicNow();
  std::shared_ptr<Exchange> over = std::move(this->exchange);
  this->owner.on_released(this, over->id, reusable);
  return over;
}

bool ClientConnection::IsReusable() const {
  return this->open && !this->ended && IsQuiet(*this->socket);
}

void ClientConnection::Close() {
  this->ended = true;
  this->timer.Clear();
  this->timeout_timer.Clear();
  this->exchange.reset();
  this->socket->disconnect(this);
  this->end_probe.reset();  // it would keep the connection open
  if (this->open && this->answer_due) {
    AbortWithReset(*this->socket);
  } else {
    this->socket->abort();
  }
}

}  // namespace acacialug::http
