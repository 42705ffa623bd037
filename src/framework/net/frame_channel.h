#ifndef FRAMEWORK_NET_FRAME_CHANNEL_H_
#define FRAMEWORK_NET_FRAME_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "framework/global/types/result.h"
#include "framework/http/http_types.h"

namespace acacialug::net {

// A frame on the wire: 4 bytes length of the rest (little endian), 1 byte
// protocol version, then the payload (a cereal portable binary archive).
inline constexpr std::uint8_t kProtocolVersion = 3;
inline constexpr std::size_t kFrameHeadBytes = 5;

struct FrameLimits {
  std::size_t max_frame_bytes = std::size_t{16} * 1024 * 1024;
  std::size_t max_unsent_bytes = std::size_t{64} * 1024 * 1024;
};

// One end of a connection between two of our processes. Lives on one thread
// with a Qt event loop; not thread safe. A frame that is too large or of
// another version ends this connection only, with a numbered error.
class FrameChannel {
 public:
  struct Hooks {
    std::function<void()> on_open;
    std::function<void(std::string payload)> on_frame;
    // Runs once, never from inside Send. kConnectionLost, kFrameTooLarge,
    // kProtocolVersion, kUnauthenticatedPeer.
    std::function<void(const Error& error)> on_closed;
  };

  virtual ~FrameChannel() = default;

  virtual void SetHooks(Hooks hooks) = 0;

  // Queues one frame. Returns false, sending nothing, when the channel is
  // closed or its unsent bytes are over the limit (the channel is then closed
  // as lost: a peer that does not read must not take this process's memory).
  // A payload over max_frame_bytes is refused as well; the channel stays open.
  virtual bool Send(std::string_view payload) = 0;

  // Closes in order: what was queued is still sent, within seconds. The hooks
  // stay silent from here on. Letting the last reference go closes at once.
  virtual void Close() = 0;

  virtual bool open() const = 0;
  virtual std::size_t unsent_bytes() const = 0;
  virtual std::uint64_t bytes_sent() const = 0;
  virtual std::uint64_t bytes_received() const = 0;
};
using FrameChannelPtr = std::shared_ptr<FrameChannel>;

struct ChannelOptions {
  FrameLimits limits;
  http::TlsFiles tls;  // between processes both sides show a certificate
  Duration connect_timeout = 2s;
};

// Connects at once; on_open or on_closed follows.
FrameChannelPtr ConnectFrameChannel(const http::Address& address,
                                    const ChannelOptions& options,
                                    FrameChannel::Hooks hooks);

// Accepts channels on the thread that calls Start.
class FrameServer {
 public:
  struct Options {
    http::Address listen;
    ChannelOptions channel;
    std::size_t max_channels = 8192;
    // A channel whose peer is authenticated; it is open. Frames wait until
    // SetHooks gives an on_frame; on_open runs next if it was set in here.
    std::function<void(FrameChannelPtr channel)> on_channel;
  };

  explicit FrameServer(Options options);
  ~FrameServer();

  // Errors: kAddressInUse, kCertificateInvalid.
  Status Start();
  std::uint16_t port() const;
  void StopAccepting();
  Status ReloadTls();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::net

#endif  // FRAMEWORK_NET_FRAME_CHANNEL_H_
