#include "framework/http/internal/server_connection.h"

#include <QSslSocket>
#include <algorithm>
#include <array>
#include <utility>

#include "framework/http/internal/message_writer.h"
#include "framework/http/internal/server_responder.h"
#include "framework/http/internal/turn_clock.h"
#include "framework/http/socket_setup.h"
#include "framework/http/turn_end.h"

namespace acacialug::http {
namespace {

// What a socket holds unread, and keeps as spare memory once it was read: of a
// body that is taken as it comes, and of all else.
constexpr std::size_t kReadBytes = std::size_t{64} * 1024;
constexpr std::size_t kHeadReadBytes = std::size_t{4} * 1024;
constexpr int kRequestTimeout = 408;
constexpr int kServiceUnavailable = 503;
// What is still read, and for how long, after an answer that closes.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{4} * 1024 * 1024;
constexpr Duration kLingerTimeout = 2s;
constexpr Duration kGrace = 10ms;
constexpr Duration kUnreadCallerInterval = 1s;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

std::string_view ReadInto(QTcpSocket& socket,
                          std::array<char, kReadBytes>& space) {
  const qint64 got = socket.read(space.data(), space.size());
  return {space.data(), static_cast<std::size_t>(got > 0 ? got : 0)};
}

// One for each thread in place of one for each connection.
std::array<char, kReadBytes>& ReadSpace() {
  thread_local std::array<char, kReadBytes> space;
  return space;
}

}  // namespace

ServerConnection::ServerConnection(ConnectionContext& shard_context,
                                   const TlsConfiguration& tls)
    : context(shard_context),
      socket(MakeSocket(tls, kHeadReadBytes)),
      secure(tls != nullptr),
      reader(shard_context.options.limits),
      timer([this](Duration) { this->OnExpired(); }) {}

ServerConnection::~ServerConnection() {
  this->state = State::kClosed;
  this->GiveRoomBack();
  this->CountUntaken(0);
  this->socket->disconnect(this);
  if (const auto open = this->responder.lock()) {
    open->ServerGone();
  }
}

bool ServerConnection::Open(qintptr descriptor) {
  if (!this->socket->setSocketDescriptor(descriptor)) {
    return false;
  }
  SetConnectedOptions(*this->socket);
  this->ConnectSignals(this->secure);
  if (this->secure) {
    static_cast<QSslSocket*>(this->socket.get())->startServerEncryption();
    this->timer.Set(this->context.options.limits.head_timeout);
  } else {
    this->WatchPhase();
  }
  return true;
}

void ServerConnection::ConnectSignals(bool with_tls) {
  QTcpSocket* const source = this->socket.get();
  connect(source, &QTcpSocket::readyRead, this,
          [this] { this->OnReadyRead(); });
  connect(source, &QTcpSocket::disconnected, this,
          [this] { this->OnDisconnected(); });
  connect(source, &QTcpSocket::bytesWritten, this,
          [this] { this->OnBytesWritten(); });
  if (with_tls) {
    connect(static_cast<QSslSocket*>(source),
            &QSslSocket::encryptedBytesWritten, this,
            [this] { this->OnBytesWritten(); });
    connect(static_cast<QSslSocket*>(source), &QSslSocket::encrypted, this,
            [this] { this->OnEncrypted(); });
  }
}

void ServerConnection::OnReadyRead() {
  if (this->state == State::kReading) {
    this->ReadRequests();
  } else if (this->state == State::kLingering) {
    this->Discard();
  }
  // While a request is answered the next one stays where it is, and the peer
  // is slowed down by the socket's bound.
  this->WatchUnreadCaller();
}

// Qt stops watching a socket whose read buffer is full, and would not notice
// that the caller is gone: its work would go on for nobody. So one that fills
// the buffer behind an unanswered request is looked at now and then. (If it
// fills the operating system's buffer too, its end cannot arrive, and is
// noticed with the first bytes written to it.)
void ServerConnection::WatchUnreadCaller() {
  if (this->state != State::kAnswering ||
      this->socket->bytesAvailable() < this->socket->readBufferSize()) {
    return;
  }
  if (HasPeerClosed(*this->socket)) {
    this->socket->abort();
    this->OnDisconnected();
    return;
  }
  this->timer.Set(kUnreadCallerInterval);
}

void ServerConnection::OnEncrypted() {
  this->timer.Clear();
  this->WatchPhase();
  if (this->context.draining) {
    this->CloseIfIdle();  // the drain found the handshake's bytes unread
  }
}

void ServerConnection::OnBytesWritten() {
  this->CountUntaken(std::min(this->untaken_bytes, this->unsent_bytes()));
  if (this->unsent_bytes() > 0) {
    if (this->state == State::kReading) {
      this->watched_phase = RequestReader::Phase::kDone;  // it still reads
      this->WatchPhase();
    }
    return;
  }
  if (const auto open = this->responder.lock()) {
    open->Drained();
  } else if (this->state == State::kReading) {
    this->ReadRequests();
  } else if (this->state == State::kLingering) {
    this->BeginLingering();
  } else if (this->state == State::kClosing && this->closes_with_reset) {
    this->CloseWhenSent();
  }
}

void ServerConnection::OnExpired() {
  if (this->state == State::kAnswering) {
    this->WatchUnreadCaller();
    return;
  }
  if (this->state == State::kReading && !this->grace_given &&
      !IsQuiet(*this->socket)) {
    // This process itself was late: what has come is read first. Once, or a
    // byte now and then would move the timeout for ever.
    this->grace_given = true;
    this->timer.Set(kGrace);
    return;
  }
  const bool mid_request =
      this->state == State::kReading &&
      this->reader.phase() != RequestReader::Phase::kBetween;
  if (mid_request) {
    this->Refuse(kRequestTimeout,
                 Error(ResultCode::kMalformedRequest,
                       "the request did not come whole in time"));
    return;
  }
  this->Cut();
}

void ServerConnection::ReadRequests() {
  // With the answers unread, further requests would only add to them.
  while (this->state == State::kReading &&
         this->unsent_bytes() <=
             this->context.options.limits.max_unsent_bytes) {
    const ReadStep step = this->reader.Advance();
    if (step != ReadStep::kFault && !this->CountHeld()) {
      return;
    }
    switch (step) {
      case ReadStep::kNeedMore:
        if (!this->ReadMore()) {
          this->WatchPhase();
          return;
        }
        break;
      case ReadStep::kHeadDone:
        this->OnHead();
        break;
      case ReadStep::kDone:
        this->Dispatch();
        break;
      case ReadStep::kFault:
        this->Refuse(this->reader.fault().status, this->reader.fault().error);
        return;
    }
  }
}

bool ServerConnection::CountHeld() {
  const std::size_t held = this->reader.held_bytes() + this->answered_bytes;
  const std::size_t counted =
      held - std::min(held, this->context.options.limits.uncounted_bytes);
  if (counted > this->room) {
    while (!this->context.requests.TryTake(counted - this->room)) {
      if (!this->context.yield_room(*this)) {
        this->Refuse(kServiceUnavailable, Error(ResultCode::kBodiesFull));
        return false;
      }
    }
  } else if (counted < this->room) {
    this->context.requests.GiveBack(this->room - counted);
  }
  this->room = counted;
  return true;
}

void ServerConnection::GiveRoomBack() {
  // A closed connection is deleted later, when its shard may be gone.
  if (this->room > 0) {
    this->context.requests.GiveBack(std::exchange(this->room, 0));
  }
}

void ServerConnection::CountUntaken(std::size_t bytes) {
  // A closed connection is deleted later, when its shard may be gone.
  if (bytes == this->untaken_bytes) {
    return;
  }
  this->context.untaken.GiveBack(this->untaken_bytes);
  this->context.untaken.Take(bytes);
  if (this->untaken_bytes == 0) {
    this->left_since = MonotonicNow();
  }
  this->untaken_bytes = bytes;
}

bool ServerConnection::FlushUntaken() {
  if (this->untaken_bytes > 0) {
    this->socket->flush();
    this->CountUntaken(std::min(this->untaken_bytes, this->unsent_bytes()));
  }
  return this->untaken_bytes > 0;
}

bool ServerConnection::ReadMore() {
  const std::string_view bytes = ReadInto(*this->socket, ReadSpace());
  if (bytes.empty()) {
    return false;
  }
  this->reader.Append(bytes);
  this->may_be_late =
      this->may_be_late || TurnClock::OfThisThread().MayReadLate();
  return true;
}

// Gives each phase of a request its own timeout, from the phase's beginning:
// a peer that sends a byte now and then does not move it.
void ServerConnection::WatchPhase() {
  const RequestReader::Phase phase = this->reader.phase();
  if (this->state != State::kReading || phase == this->watched_phase) {
    return;
  }
  this->watched_phase = phase;
  this->watched_since = MonotonicNow();
  this->grace_given = false;
  const ServerLimits& limits = this->context.options.limits;
  switch (phase) {
    case RequestReader::Phase::kBetween:
      this->timer.Set(limits.idle_timeout);
      break;
    case RequestReader::Phase::kHead:
      this->timer.Set(limits.head_timeout);
      break;
    case RequestReader::Phase::kBody:
      this->timer.Set(limits.body_timeout);
      break;
    case RequestReader::Phase::kDone:
      this->timer.Clear();
      break;
  }
}

void ServerConnection::OnHead() {
  if (!this->reader.whole()) {
    this->socket->setReadBufferSize(kReadBytes);
  }
  if (this->reader.expects_continue() && this->reader.pending_bytes() == 0) {
    this->Write(kContinue);
  }
}

// A caller that gives up closes; but while this process stood still its close
// waited behind its request, which would be read first and sent on, so that an
// endpoint worked for nobody. Like a caller whose request is being answered,
// one that has only closed its sending side counts as gone. What was read in
// time is not asked about: its close is heard in the next turn.
bool ServerConnection::HasLeftMeanwhile(Duration age) const {
  return age >= kLateRead && HasPeerClosed(*this->socket);
}

void ServerConnection::Dispatch() {
  Duration age = Duration::zero();
  if (std::exchange(this->may_be_late, false)) {
    age = SinceLastBytes(*this->socket);
    if (this->HasLeftMeanwhile(age)) {
      this->socket->abort();
      this->OnDisconnected();
      return;
    }
  }
  this->state = State::kAnswering;
  this->timer.Clear();
  this->socket->setReadBufferSize(kHeadReadBytes);
  const ServerResponder::Options answer{
      .answers_head = this->reader.head().method == "HEAD",
      .version_1_1 = this->reader.version_1_1(),
      .keep_alive = this->reader.keep_alive() && !this->context.draining};
  auto open = std::make_shared<ServerResponder>(this, answer);
  this->responder = open;
  const std::size_t held = this->reader.held_bytes();
  Request request = this->reader.TakeRequest();
  this->answered_bytes = held - this->reader.held_bytes();
  request.age = age;
  this->WatchUnreadCaller();
  this->context.handler(std::move(request), std::move(open));
}

void ServerConnection::Write(std::string_view bytes) {
  if (this->state != State::kClosed) {
    WriteInTurn(*this->socket, bytes);
  }
}

std::size_t ServerConnection::unsent_bytes() const {
  return UnsentBytes(*this->socket);
}

void ServerConnection::ResetUntilWhole() {
  this->closes_with_reset = true;
  SetResetOnClose(*this->socket, true);
}

void ServerConnection::PermitOrderlyClose() {
  if (std::exchange(this->closes_with_reset, false)) {
    SetResetOnClose(*this->socket, false);
  }
}

void ServerConnection::EndAnswer(bool keep_alive) {
  this->answered_bytes = 0;
  this->GiveRoomBack();
  this->responder.reset();
  if (this->state != State::kAnswering) {
    return;
  }
  this->CountUntaken(this->unsent_bytes());
  if (this->context.untaken.exceeded()) {
    this->context.on_untaken_exceeded();
  }
  if (!keep_alive || this->context.draining) {
    this->CloseInOrder();
    return;
  }
  this->state = State::kReading;
  this->reader.Restart();
  this->watched_phase = RequestReader::Phase::kDone;
  this->WatchPhase();
  if (this->reader.pending_bytes() > 0 || this->socket->bytesAvailable() > 0) {
    this->may_be_late = true;  // it waited for this answer
    // Later, and not from within the call that ended the answer: its owner
    // would find itself handling the next request in the middle of this one.
    QMetaObject::invokeMethod(
        this, [this] { this->OnReadyRead(); }, Qt::QueuedConnection);
  }
}

void ServerConnection::Cut() {
  this->responder.reset();
  AbortWithReset(*this->socket);
  this->OnDisconnected();
}

void ServerConnection::WriteRefusal(int status, const Error& error) {
  Response response{.status = status};
  if (this->context.options.render_error) {
    response = this->context.options.render_error(status, error);
  }
  this->Write(
      WriteResponseHead({.status = response.status,
                         .headers = response.headers,
                         .framing = {.content_length = response.body.size()},
                         .keep_alive = false}));
  this->Write(response.body);
}

void ServerConnection::Refuse(int status, const Error& error) {
  this->WriteRefusal(status, error);
  this->reader.Clear();
  this->GiveRoomBack();
  this->BeginLingering();
}

void ServerConnection::RefuseForLoad() {
  if (this->secure) {
    this->Cut();  // a handshake would cost more than the refusal spares
    return;
  }
  this->Refuse(kServiceUnavailable, Error(ResultCode::kTooManyConnections));
}

// Closing a socket with unread input makes the operating system reset the
// connection, and a reset can overtake the answer: the caller would see a
// broken connection in place of its 413. So the writing side is ended first,
// and what still comes is thrown away, within bounds.
void ServerConnection::BeginLingering() {
  if (this->state != State::kLingering) {
    this->state = State::kLingering;
    this->socket->setReadBufferSize(kHeadReadBytes);
    this->timer.Set(kLingerTimeout);
  }
  if (this->unsent_bytes() == 0 && !this->shut_down) {
    this->shut_down = true;
    this->PermitOrderlyClose();
    if (this->secure) {
      this->socket->disconnectFromHost();
      return;
    }
    ShutDownWriting(*this->socket);
  }
  this->Discard();
}

void ServerConnection::Discard() {
  while (this->state == State::kLingering) {
    const std::size_t got = ReadInto(*this->socket, ReadSpace()).size();
    this->discarded_bytes += got;
    if (got == 0) {
      return;
    }
    if (this->discarded_bytes > kMaxDiscardedBytes) {
      this->Cut();
    }
  }
}

void ServerConnection::CloseInOrder() {
  if (this->reader.pending_bytes() > 0 || this->socket->bytesAvailable() > 0) {
    this->BeginLingering();
    return;
  }
  this->state = State::kClosing;
  // A caller that never reads the rest must not keep the connection.
  this->timer.Set(this->context.options.limits.idle_timeout);
  this->CloseWhenSent();
}

void ServerConnection::CloseWhenSent() {
  if (this->closes_with_reset && this->unsent_bytes() > 0) {
    return;  // OnBytesWritten comes back here
  }
  this->PermitOrderlyClose();
  this->socket->disconnectFromHost();
}

// A request may lie in the socket that this process was too late to read.
// Closing on it would reset it; it is read, answered, and then the connection
// closes.
bool ServerConnection::idle() const {
  return this->state == State::kReading &&
         this->reader.phase() == RequestReader::Phase::kBetween &&
         IsQuiet(*this->socket);
}

bool ServerConnection::IsSlow(Instant since) const {
  return MonotonicNow() - since > this->context.options.limits.slow_after;
}

std::optional<ServerConnection::YieldOrder> ServerConnection::yield_order()
    const {
  using Reason = YieldOrder::Reason;
  const bool may_end =
      this->state == State::kReading || this->state == State::kClosing;
  if (may_end && this->untaken_bytes > 0) {
    return this->IsSlow(this->left_since)
               ? std::optional(
                     YieldOrder{Reason::kAnswerNotTaken, this->left_since})
               : std::nullopt;
  }
  if (this->state != State::kReading) {
    return std::nullopt;
  }
  switch (this->reader.phase()) {
    case RequestReader::Phase::kBetween:
      return YieldOrder{Reason::kIdle, this->watched_since};
    case RequestReader::Phase::kHead:
      return YieldOrder{Reason::kHead, this->watched_since};
    case RequestReader::Phase::kBody:
    case RequestReader::Phase::kDone:
      return this->IsSlow(this->watched_since)
                 ? std::optional(YieldOrder{Reason::kBody, this->watched_since})
                 : std::nullopt;
  }
  return std::nullopt;
}

bool ServerConnection::MayYieldRoom() const {
  return this->state == State::kReading && this->room > 0 &&
         this->reader.phase() != RequestReader::Phase::kBetween &&
         this->IsSlow(this->watched_since);
}

bool ServerConnection::Yield() {
  if (this->untaken_bytes > 0) {
    this->Cut();
    return true;
  }
  if (this->reader.phase() == RequestReader::Phase::kBetween) {
    const bool closes = this->idle();
    this->CloseIfIdle();
    return closes;
  }
  this->WriteRefusal(kRequestTimeout,
                     Error(ResultCode::kMalformedRequest,
                           "the request came slowly and others waited"));
  this->reader.Clear();
  this->GiveRoomBack();
  // Without lingering, which would keep the place for as long.
  this->state = State::kClosing;
  this->timer.Set(kLingerTimeout);
  this->socket->flush();
  this->CloseWhenSent();
  return true;
}

void ServerConnection::CloseIfIdle() {
  if (this->idle()) {
    this->CloseInOrder();
  }
}

void ServerConnection::OnDisconnected() {
  if (this->state == State::kClosed) {
    return;
  }
  this->state = State::kClosed;
  this->reader.Clear();
  this->GiveRoomBack();
  this->CountUntaken(0);
  this->timer.Clear();
  this->socket->disconnect(this);
  const std::shared_ptr<ServerResponder> open = this->responder.lock();
  this->responder.reset();
  this->context.on_closed(this);
  if (open) {
    open->ConnectionGone();
  }
}

}  // namespace acacialug::http
