#include <unistd.h>

#include <unordered_map>
#include <utility>

#include "framework/http/tcp_listener.h"
#include "framework/http/tls_configuration.h"
#include "framework/net/frame_channel.h"
#include "framework/net/internal/socket_channel.h"

namespace acacialug::net {

class FrameServer::Implementation {
 public:
  explicit Implementation(Options server_options)
      : options(std::move(server_options)),
        listener([this](qintptr descriptor) { this->OnAccepted(descriptor); }) {
  }

  Status Start();
  std::uint16_t port() const { return this->listener.serverPort(); }
  void StopAccepting();
  Status ReloadTls();

 private:
  void OnAccepted(qintptr descriptor);
  void OnReady(SocketChannel* channel);

  const Options options;
  http::TlsConfiguration tls;
  // Channels whose peer is not authenticated yet.
  std::unordered_map<SocketChannel*, std::shared_ptr<SocketChannel>> waiting;
  // Every channel holds one reference: their number is the channels'.
  std::shared_ptr<const bool> count = std::make_shared<const bool>(true);
  http::TcpListener listener;
};

Status FrameServer::Implementation::Start() {
  if (Status loaded = this->ReloadTls(); !loaded) {
    return loaded;
  }
  return this->listener.Listen(this->options.listen);
}

void FrameServer::Implementation::OnAccepted(qintptr descriptor) {
  const auto open = static_cast<std::size_t>(this->count.use_count() - 1);
  if (open >= this->options.max_channels) {
    ::close(static_cast<int>(descriptor));
    return;
  }
  auto channel =
      std::make_shared<SocketChannel>(this->options.channel, this->tls);
  SocketChannel* const key = channel.get();
  channel->HoldCount(this->count);
  channel->SetHooks({.on_closed = [this, key](const Error& /*error*/) {
    this->waiting.erase(key);
  }});
  this->waiting.emplace(key, channel);
  if (!channel->Accept(descriptor, [this, key] { this->OnReady(key); })) {
    ::close(static_cast<int>(descriptor));
    this->waiting.erase(key);
  }
}

void FrameServer::Implementation::OnReady(SocketChannel* channel) {
  const auto found = this->waiting.find(channel);
  const std::shared_ptr<SocketChannel> ready = std::move(found->second);
  this->waiting.erase(found);
  ready->SetHooks({});
  this->options.on_channel(SocketChannel::HandOut(ready));
}

void FrameServer::Implementation::StopAccepting() {
  this->listener.close();
  this->waiting.clear();
}

Status FrameServer::Implementation::ReloadTls() {
  Result<http::TlsConfiguration> loaded =
      http::LoadTls(this->options.channel.tls);
  if (!loaded) {
    return loaded.error();
  }
  this->tls = std::move(loaded.value());
  return Success();
}

FrameServer::FrameServer(Options options)
    : implementation(std::make_unique<Implementation>(std::move(options))) {}

FrameServer::~FrameServer() = default;

Status FrameServer::Start() {
  return this->implementation->Start();
}

std::uint16_t FrameServer::port() const {
  return this->implementation->port();
}

void FrameServer::StopAccepting() {
  this->implementation->StopAccepting();
}

Status FrameServer::ReloadTls() {
  return this->implementation->ReloadTls();
}

}  // namespace acacialug::net
