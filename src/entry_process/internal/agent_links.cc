#include "entry_process/internal/agent_links.h"

#include <QTimer>
#include <utility>

#include "protocol/message_codec.h"

namespace acacialug::entry_process {
namespace {

// A channel is often dropped from inside one of its own hooks; destroying it
// there would destroy the function that runs.
void DestroyLater(const net::FrameChannelPtr& channel) {
  channel->Close();
  QTimer::singleShot(0, [kept = channel] {});
}

}  // namespace

AgentLinks::AgentLinks(Options link_options)
    : options(std::move(link_options)) {}

AgentLinks::~AgentLinks() {
  for (auto& [endpoint, link] : this->links) {
    link.channel->Close();
  }
}

void AgentLinks::Connect(const EndpointId& endpoint,
                         const http::Address& address) {
  this->Drop(endpoint);
  const std::uint64_t serial = ++this->last_serial;
  net::FrameChannel::Hooks hooks{
      .on_open =
          [this, endpoint, serial] {
            if (this->Find(endpoint, serial) != nullptr) {
              this->options.on_connected(endpoint);
            }
          },
      .on_frame =
          [this, endpoint, serial](const std::string& payload) {
            this->OnFrame(endpoint, serial, payload);
          },
      .on_closed =
          [this, endpoint, serial](const Error& error) {
            this->OnClosed(endpoint, serial, error);
          }};
  this->links[endpoint] = {
      .serial = serial,
      .channel = this->options.connect(address, this->options.channels,
                                       std::move(hooks))};
}

void AgentLinks::Drop(const EndpointId& endpoint) {
  const auto found = this->links.find(endpoint);
  if (found != this->links.end()) {
    // What was sent last still goes out: the destructor would drop it.
    found->second.channel->Close();
    DestroyLater(found->second.channel);
    this->links.erase(found);
  }
}

void AgentLinks::Send(const EndpointId& endpoint,
                      const protocol::EntryToAgent& message) {
  const auto found = this->links.find(endpoint);
  if (found != this->links.end()) {
    found->second.channel->Send(protocol::Encode(message));
  }
}

AgentLinks::Link* AgentLinks::Find(const EndpointId& endpoint,
                                   std::uint64_t serial) {
  const auto found = this->links.find(endpoint);
  return found == this->links.end() || found->second.serial != serial
             ? nullptr
             : &found->second;
}

void AgentLinks::OnFrame(const EndpointId& endpoint,
                         std::uint64_t serial,
                         const std::string& payload) {
  if (this->Find(endpoint, serial) == nullptr) {
    return;
  }
  const Result<protocol::AgentToEntry> message =
      protocol::DecodeAgentToEntry(payload);
  if (!message.ok()) {
    this->OnClosed(endpoint, serial, message.error());
    return;
  }
  this->options.on_message(endpoint, message.value());
}

void AgentLinks::OnClosed(const EndpointId& endpoint,
                          std::uint64_t serial,
                          const Error& error) {
  if (this->Find(endpoint, serial) == nullptr) {
    return;
  }
  // The hook that holds `endpoint` is destroyed with its channel.
  const auto lost = this->links.extract(endpoint);
  DestroyLater(lost.mapped().channel);
  this->options.on_closed(lost.key(), error);
}

}  // namespace acacialug::entry_process
