#ifndef FRAMEWORK_NET_INTERNAL_SOCKET_CHANNEL_H_
#define FRAMEWORK_NET_INTERNAL_SOCKET_CHANNEL_H_

#include <QObject>
#include <QTcpSocket>
#include <QTimer>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>

#include "framework/global/types/instant.h"
#include "framework/http/tls_configuration.h"
#include "framework/net/frame_channel.h"
#include "framework/net/internal/frame_reader.h"

namespace acacialug::net {

// A frame channel over one TCP connection. Owned by a shared
// pointer; owners outside get HandOut's.
class SocketChannel : public FrameChannel,
                      public std::enable_shared_from_this<SocketChannel> {
 public:
  SocketChannel(const ChannelOptions& options,
                const http::TlsConfiguration& tls);
  ~SocketChannel() override;

  void Connect(const http::Address& address);

  // Takes over an accepted descriptor. `on_ready` runs when the peer is
  // authenticated (at once without TLS, later with it), before on_open; it
  // does not run if that fails: on_closed does. False: the descriptor is of
  // no use and still the caller's to close.
  bool Accept(qintptr descriptor, std::function<void()> on_ready);

  // Keeps a reference for as long as the channel is open, so that whoever
  // gave it can count the open channels.
  void HoldCount(std::shared_ptr<const bool> reference) {
    this->counted = std::move(reference);
  }

  // The reference to hand out: when the last one goes, the channel is closed
  // at once, also in the middle of one of its own hooks.
  static FrameChannelPtr HandOut(std::shared_ptr<SocketChannel> channel);

  // Reports `error` by on_closed, later.
  void CloseLater(Error error);

  void SetHooks(Hooks hooks) override;
  bool Send(std::string_view payload) override;
  void Close() override;
  bool open() const override { return this->state == State::kOpen; }
  std::size_t unsent_bytes() const override;
  std::uint64_t bytes_sent() const override { return this->sent; }
  std::uint64_t bytes_received() const override { return this->received; }

 private:
  enum class State { kConnecting, kOpen, kClosed };

  void ConnectSignals();
  void StartConnectTimer(Duration wait);
  void OnConnectTimer();
  void OnOpen();
  void OnReadyRead();
  bool DeliverFrames(std::string_view bytes);
  void OnSocketError();
  void OnSocketClosed();
  void Finish(const Error& error);
  void CloseAtOnce();
  void LetGoAfterFlush();
  void FreeSocket();

  const ChannelOptions options;
  const bool secure;
  std::unique_ptr<QTcpSocket> socket;
  // The receiver of all signals and queued calls: they end with it.
  std::unique_ptr<QObject> context;
  QTimer connect_timer;
  Instant connect_by{};       // when connect_timer is due
  bool looked_again = false;  // connect_timer was late, and set once more
  FrameReader reader;
  // Shared, so that a hook may set other hooks while it runs.
  std::shared_ptr<Hooks> hooks;
  std::function<void()> ready;
  std::shared_ptr<const bool> counted;
  State state = State::kConnecting;
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

}  // namespace acacialug::net

#endif  // FRAMEWORK_NET_INTERNAL_SOCKET_CHANNEL_H_
