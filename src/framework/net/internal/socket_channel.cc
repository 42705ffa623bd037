#include "framework/net/internal/socket_channel.h"

#include <QCoreApplication>
#include <QHostAddress>
#include <QSslSocket>
#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "framework/http/socket_setup.h"
#include "framework/http/turn_end.h"

namespace acacialug::net {
namespace {

constexpr std::size_t kReadBytes = std::size_t{32} * 1024;
constexpr std::size_t kReadBufferBytes = std::size_t{256} * 1024;
// How long a channel closed in order may take to send what was queued.
constexpr std::chrono::milliseconds kFlushTimeout{2000};
// A timer that is so late tells that this process stood still; more than the
// usual delay of an event loop.
constexpr Duration kOwnPause = 100ms;
// In which a peer of another region ends a handshake that stood still with
// this process.
constexpr Duration kListeningTime = 200ms;

}  // namespace

SocketChannel::SocketChannel(const ChannelOptions& channel_options,
                             const http::TlsConfiguration& tls)
    : options(channel_options),
      secure(tls != nullptr),
      socket(http::MakeSocket(tls, kReadBufferBytes)),
      context(std::make_unique<QObject>()),
      reader(channel_options.limits.max_frame_bytes),
      hooks(std::make_shared<Hooks>()) {
  this->ConnectSignals();
}

SocketChannel::~SocketChannel() {
  this->FreeSocket();
}

void SocketChannel::ConnectSignals() {
  QTcpSocket* const source = this->socket.get();
  QObject* const receiver = this->context.get();
  QObject::connect(source, &QTcpSocket::readyRead, receiver,
                   [this] { this->OnReadyRead(); });
  QObject::connect(source, &QTcpSocket::errorOccurred, receiver,
                   [this] { this->OnSocketError(); });
  QObject::connect(source, &QTcpSocket::disconnected, receiver,
                   [this] { this->OnSocketClosed(); });
  if (this->secure) {
    auto* const secure_source = static_cast<QSslSocket*>(source);
    QObject::connect(secure_source, &QSslSocket::encrypted, receiver,
                     [this] { this->OnOpen(); });
    http::IgnoreNameMismatch(*secure_source);
  }
  this->connect_timer.setSingleShot(true);
  QObject::connect(&this->connect_timer, &QTimer::timeout, receiver,
                   [this] { this->OnConnectTimer(); });
}

void SocketChannel::StartConnectTimer(Duration wait) {
  this->connect_by = MonotonicNow() + wait;
  this->connect_timer.start(std::chrono::ceil<std::chrono::milliseconds>(wait));
}

// Symptom: after this process stood still, all connections that it was opening
// are closed and begun again. Sequence: the kernel opened them meanwhile, but
// the event loop rings this timer first. A timer that is late tells of it, and
// the socket is listened to once more before its peer is judged; only once, or
// a process that is always late would wait for ever.
void SocketChannel::OnConnectTimer() {
  const bool stood_still = MonotonicNow() - this->connect_by >= kOwnPause;
  if (stood_still && !std::exchange(this->looked_again, true)) {
    this->StartConnectTimer(
        std::min(this->options.connect_timeout, kListeningTime));
    return;
  }
  this->Finish(Error(ResultCode::kConnectionLost, "not connected in time"));
}

void SocketChannel::Connect(const http::Address& address) {
  this->StartConnectTimer(this->options.connect_timeout);
  const QHostAddress host(QString::fromStdString(address.ip));
  if (this->secure) {
    static_cast<QSslSocket*>(this->socket.get())
        ->connectToHostEncrypted(host.toString(), address.port);
    return;
  }
  // Queued, since Qt may report a refused connection from within this call.
  QObject::connect(
      this->socket.get(), &QTcpSocket::connected, this->context.get(),
      [this] { this->OnOpen(); }, Qt::QueuedConnection);
  this->socket->connectToHost(host, address.port);
}

bool SocketChannel::Accept(qintptr descriptor, std::function<void()> on_ready) {
  if (!this->socket->setSocketDescriptor(descriptor)) {
    return false;
  }
  this->ready = std::move(on_ready);
  if (this->secure) {
    this->StartConnectTimer(this->options.connect_timeout);
    static_cast<QSslSocket*>(this->socket.get())->startServerEncryption();
  } else {
    this->OnOpen();
  }
  return true;
}

void SocketChannel::CloseLater(Error error) {
  QMetaObject::invokeMethod(
      this->context.get(),
      [this, error = std::move(error)] { this->Finish(error); },
      Qt::QueuedConnection);
}

void SocketChannel::OnOpen() {
  if (this->state != State::kConnecting) {
    return;
  }
  const std::shared_ptr<SocketChannel> alive = this->shared_from_this();
  this->connect_timer.stop();
  this->state = State::kOpen;
  http::SetConnectedOptions(*this->socket);
  if (const auto hook = std::exchange(this->ready, nullptr)) {
    hook();
  }
  if (this->state != State::kOpen) {
    return;
  }
  const std::shared_ptr<Hooks> current = this->hooks;
  if (current->on_open) {
    current->on_open();
  }
  this->OnReadyRead();
}

void SocketChannel::OnReadyRead() {
  const std::shared_ptr<SocketChannel> alive = this->shared_from_this();
  // On the stack, not shared: a hook may run an event loop of its own.
  std::array<char, kReadBytes> space;
  // Without anybody to take them, frames stay where they are.
  while (this->state == State::kOpen && this->hooks->on_frame) {
    const qint64 got = this->socket->read(space.data(), space.size());
    if (got <= 0) {
      return;
    }
    this->received += static_cast<std::uint64_t>(got);
    if (!this->DeliverFrames({space.data(), static_cast<std::size_t>(got)})) {
      return;
    }
  }
}

bool SocketChannel::DeliverFrames(std::string_view bytes) {
  while (!bytes.empty()) {
    std::optional<std::string> payload = this->reader.Next(bytes);
    if (this->reader.fault()) {
      this->Finish(*this->reader.fault());
      return false;
    }
    if (!payload) {
      return true;
    }
    const std::shared_ptr<Hooks> current = this->hooks;
    if (current->on_frame) {
      current->on_frame(std::move(*payload));
    }
    if (this->state != State::kOpen) {
      return false;
    }
  }
  return true;
}

void SocketChannel::SetHooks(Hooks new_hooks) {
  this->hooks = std::make_shared<Hooks>(std::move(new_hooks));
  if (this->state == State::kOpen) {
    QMetaObject::invokeMethod(
        this->context.get(), [this] { this->OnReadyRead(); },
        Qt::QueuedConnection);
  }
}

bool SocketChannel::Send(std::string_view payload) {
  if (this->state != State::kOpen) {
    return false;
  }
  if (payload.size() > this->options.limits.max_frame_bytes) {
    return false;
  }
  const std::size_t frame_bytes = kFrameHeadBytes + payload.size();
  if (this->unsent_bytes() + frame_bytes >
      this->options.limits.max_unsent_bytes) {
    this->CloseLater(
        Error(ResultCode::kConnectionLost, "the peer does not read"));
    this->state = State::kClosed;
    return false;
  }
  const auto head = FrameHead(payload.size());
  http::WriteInTurn(*this->socket, {head.data(), head.size()});
  http::WriteInTurn(*this->socket, payload);
  this->sent += frame_bytes;
  return true;
}

std::size_t SocketChannel::unsent_bytes() const {
  return this->socket ? http::UnsentBytes(*this->socket) : 0;
}

void SocketChannel::OnSocketError() {
  if (this->state != State::kConnecting) {
    return;  // OnSocketClosed follows
  }
  const QAbstractSocket::SocketError code = this->socket->error();
  const bool handshake =
      code == QAbstractSocket::SslHandshakeFailedError ||
      (this->secure && code == QAbstractSocket::RemoteHostClosedError);
  this->CloseLater(Error(handshake ? ResultCode::kUnauthenticatedPeer
                                   : ResultCode::kConnectionLost,
                         this->socket->errorString().toStdString()));
}

void SocketChannel::OnSocketClosed() {
  const std::shared_ptr<SocketChannel> alive = this->shared_from_this();
  if (this->state == State::kConnecting) {
    return;  // OnSocketError told
  }
  this->OnReadyRead();  // what came before the end
  this->Finish(Error(ResultCode::kConnectionLost,
                     this->socket ? this->socket->errorString().toStdString()
                                  : std::string()));
}

void SocketChannel::Finish(const Error& error) {
  if (!this->socket) {
    return;
  }
  const std::shared_ptr<SocketChannel> alive = this->shared_from_this();
  this->FreeSocket();
  const std::shared_ptr<Hooks> current =
      std::exchange(this->hooks, std::make_shared<Hooks>());
  if (current->on_closed) {
    current->on_closed(error);
  }
}

void SocketChannel::Close() {
  const std::shared_ptr<SocketChannel> alive = this->shared_from_this();
  this->hooks = std::make_shared<Hooks>();
  if (this->state == State::kOpen && this->unsent_bytes() > 0) {
    this->LetGoAfterFlush();
  }
  this->FreeSocket();
}

void SocketChannel::CloseAtOnce() {
  this->hooks = std::make_shared<Hooks>();
  this->FreeSocket();
}

FrameChannelPtr SocketChannel::HandOut(std::shared_ptr<SocketChannel> channel) {
  FrameChannel* const face = channel.get();
  return {face, [owned = std::move(channel)](FrameChannel* /*face*/) {
            owned->CloseAtOnce();
          }};
}

// The socket lives on without the channel until what was queued is sent.
void SocketChannel::LetGoAfterFlush() {
  QTcpSocket* const last = this->socket.release();
  last->disconnect(this->context.get());
  QObject::connect(last, &QTcpSocket::disconnected, last,
                   &QObject::deleteLater);
  QTimer::singleShot(kFlushTimeout, last, [last] {
    last->abort();
    last->deleteLater();
  });
  last->disconnectFromHost();
}

// The call may come from within a signal of the socket or of the context, so
// both are only deleted later; their signals end now.
void SocketChannel::FreeSocket() {
  this->state = State::kClosed;
  this->connect_timer.stop();
  this->ready = nullptr;
  this->counted.reset();
  if (this->socket) {
    this->socket->disconnect(this->context.get());
    this->socket->abort();
    this->socket.release()->deleteLater();
  }
  if (this->context) {
    // Its queued calls end now, though its deletion comes later.
    QCoreApplication::removePostedEvents(this->context.get(), QEvent::MetaCall);
    this->context.release()->deleteLater();
  }
}

FrameChannelPtr ConnectFrameChannel(const http::Address& address,
                                    const ChannelOptions& options,
                                    FrameChannel::Hooks hooks) {
  const Result<http::TlsConfiguration> tls = http::LoadTls(options.tls);
  auto channel = std::make_shared<SocketChannel>(
      options, tls ? tls.value() : http::TlsConfiguration());
  channel->SetHooks(std::move(hooks));
  if (tls) {
    channel->Connect(address);
  } else {
    channel->CloseLater(tls.error());
  }
  return SocketChannel::HandOut(std::move(channel));
}

}  // namespace acacialug::net
