#ifndef FRAMEWORK_NET_TESTS_CHANNEL_END_H_
#define FRAMEWORK_NET_TESTS_CHANNEL_END_H_

#include <optional>
#include <string>
#include <vector>

#include "framework/http/tests/socket_support.h"
#include "framework/net/frame_channel.h"

namespace acacialug::testing {

// One end of a channel, and what it was told.
struct ChannelEnd {
  net::FrameChannelPtr channel;
  bool opened = false;
  std::vector<std::string> frames;
  std::optional<Error> closed;
  int closes = 0;

  net::FrameChannel::Hooks Hooks() {
    return {.on_open = [this] { this->opened = true; },
            .on_frame =
                [this](std::string payload) {
                  this->frames.push_back(std::move(payload));
                },
            .on_closed =
                [this](const Error& error) {
                  this->closed = error;
                  ++this->closes;
                }};
  }
  void AwaitClosed() {
    WaitUntil("closed", [this] { return this->closes > 0; });
  }
};

// A server, and the last channel it took.
struct ChannelFixture {
  ChannelEnd taken;
  std::size_t channels = 0;
  std::unique_ptr<net::FrameServer> server;

  explicit ChannelFixture(const net::ChannelOptions& options,
                          std::size_t max_channels = 10) {
    this->server = std::make_unique<net::FrameServer>(net::FrameServer::Options{
        .listen = {.ip = "127.0.0.1"},
        .channel = options,
        .max_channels = max_channels,
        .on_channel = [this](const net::FrameChannelPtr& channel) {
          ++this->channels;
          this->taken.channel = channel;
          channel->SetHooks(this->taken.Hooks());
        }});
    const Status started = this->server->Start();
    CPPUNIT_ASSERT(started.ok());
  }
  std::uint16_t port() const { return this->server->port(); }
};

inline http::Address Local(std::uint16_t port) {
  return {.ip = "127.0.0.1", .port = port};
}

}  // namespace acacialug::testing

#endif  // FRAMEWORK_NET_TESTS_CHANNEL_END_H_
