#ifndef ENTRY_PROCESS_TESTS_FAKE_AGENT_H_
#define ENTRY_PROCESS_TESTS_FAKE_AGENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "framework/net/datagram_socket.h"
#include "framework/net/frame_channel.h"
#include "manifest/types/manifest.h"
#include "protocol/types/heartbeat.h"
#include "protocol/types/messages.h"

namespace acacialug::entry_process {

// An agent on a real socket that grants every request. Lives on the test's
// thread, with its event loop.
class FakeAgent {
 public:
  struct Options {
    manifest::Endpoint endpoint;  // `agent` is filled in
    Incarnation incarnation{77};
    // Handles heartbeats; empty: the agent takes none.
    std::function<bool(const protocol::Heartbeat& heartbeat)> answers;
    std::vector<std::string> chunks = {"one ", "two ", "three"};
    // False: the test sends the answers itself.
    std::function<bool(const protocol::EntryToAgent& message)> takes;
  };

  explicit FakeAgent(Options options);

  // The manifest's record, with the address on which this agent listens.
  const manifest::Endpoint& endpoint() const { return this->options.endpoint; }

  // Sends to the shard that sent the last message.
  void Send(const protocol::AgentToEntry& message);
  void SendRaw(std::string_view payload);
  void CloseChannels();

  // The messages that entries sent, in order.
  std::vector<protocol::EntryToAgent> received;

  // Chunks that the entry has acknowledged, of the last stream.
  std::uint64_t acknowledged = 0;

  template <typename Message>
  std::size_t CountReceived() const {
    std::size_t count = 0;
    for (const protocol::EntryToAgent& message : this->received) {
      count += std::holds_alternative<Message>(message) ? 1 : 0;
    }
    return count;
  }

 private:
  void OnFrame(const net::FrameChannelPtr& channel, const std::string& frame);
  void Answer(const protocol::Hello& hello);
  void Answer(const protocol::Renew& renew);
  void Answer(const protocol::Reserve& reserve);
  void Answer(const protocol::StartPrefill& start);
  void Answer(const protocol::StartDecode& start);
  void Answer(const protocol::StartCall& start);
  void Answer(const protocol::Acknowledge& message) {
    this->acknowledged = message.through.value + 1;
  }
  template <typename Other>
  void Answer(const Other& /*message*/) {}

  void OnDatagram(std::string_view datagram, const http::Address& from);

  Options options;
  protocol::EndpointLoad load;
  std::uint32_t last_session = 0;
  std::vector<net::FrameChannelPtr> channels;
  net::FrameChannelPtr last_channel;
  std::unique_ptr<net::FrameServer> server;
  net::DatagramSocket datagrams;
};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_TESTS_FAKE_AGENT_H_
