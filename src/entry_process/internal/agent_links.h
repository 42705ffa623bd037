#ifndef ENTRY_PROCESS_INTERNAL_AGENT_LINKS_H_
#define ENTRY_PROCESS_INTERNAL_AGENT_LINKS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/result.h"
#include "framework/net/frame_channel.h"
#include "protocol/types/messages.h"

namespace acacialug::entry_process {

// A shard's connections to agents, each shared by many requests. Lives on its
// shard's thread, with a Qt event loop; hooks run there, never from inside a
// call.
class AgentLinks {
 public:
  using ConnectFunction =
      std::function<net::FrameChannelPtr(const http::Address& address,
                                         const net::ChannelOptions& options,
                                         net::FrameChannel::Hooks hooks)>;

  struct Options {
    net::ChannelOptions channels;
    ConnectFunction connect = net::ConnectFrameChannel;
    std::function<void(const EndpointId& endpoint)> on_connected;
    // Once for each Connect that was not ended by Drop. kBadFrame and the
    // errors of FrameChannel.
    std::function<void(const EndpointId& endpoint, const Error& error)>
        on_closed;
    std::function<void(const EndpointId& endpoint,
                       const protocol::AgentToEntry& message)>
        on_message;
  };

  explicit AgentLinks(Options options);
  ~AgentLinks();

  // Replaces an existing connection.
  void Connect(const EndpointId& endpoint, const http::Address& address);
  // Ends the connection without calling its hooks. An unknown endpoint is no
  // error.
  void Drop(const EndpointId& endpoint);
  // A message to an endpoint that is not connected is dropped: on_closed has
  // reported the loss, or is about to.
  void Send(const EndpointId& endpoint, const protocol::EntryToAgent& message);

 private:
  struct Link {
    std::uint64_t serial = 0;
    net::FrameChannelPtr channel;
  };

  Link* Find(const EndpointId& endpoint, std::uint64_t serial);
  void OnFrame(const EndpointId& endpoint,
               std::uint64_t serial,
               const std::string& payload);
  void OnClosed(const EndpointId& endpoint,
                std::uint64_t serial,
                const Error& error);

  const Options options;
  std::map<EndpointId, Link> links;
  std::uint64_t last_serial = 0;
};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_AGENT_LINKS_H_
