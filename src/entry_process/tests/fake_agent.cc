#include "entry_process/tests/fake_agent.h"

#include <cppunit/TestAssert.h>

#include <utility>
#include <variant>

#include "protocol/message_codec.h"

namespace acacialug::entry_process {

FakeAgent::FakeAgent(Options agent_options)
    : options(std::move(agent_options)),
      load({.free_kv_tokens = 1'000'000,
            .total_kv_tokens = 1'000'000,
            .limit = 4096,
            .token_interval = 1ms,
            .prefill_tokens_per_second = 1e6}),
      datagrams({.on_datagram = [this](std::string_view datagram,
                                       const http::Address& from) {
        this->OnDatagram(datagram, from);
      }}) {
  CPPUNIT_ASSERT(this->datagrams.Bind({.ip = "127.0.0.1"}).ok());
  this->server = std::make_unique<net::FrameServer>(net::FrameServer::Options{
      .listen = {.ip = "127.0.0.1"},
      .on_channel = [this](const net::FrameChannelPtr& channel) {
        this->channels.push_back(channel);
        net::FrameChannel* const raw = channel.get();
        channel->SetHooks({.on_frame =
                               [this, raw](const std::string& frame) {
                                 for (const auto& open : this->channels) {
                                   if (open.get() == raw) {
                                     this->OnFrame(open, frame);
                                     return;
                                   }
                                 }
                               },
                           .on_closed = [](const Error&) {}});
      }});
  CPPUNIT_ASSERT(this->server->Start().ok());
  this->options.endpoint.agent = {.ip = "127.0.0.1",
                                  .port = this->server->port()};
}

void FakeAgent::Send(const protocol::AgentToEntry& message) {
  this->SendRaw(protocol::Encode(message));
}

void FakeAgent::SendRaw(std::string_view payload) {
  this->last_channel->Send(payload);
}

void FakeAgent::CloseChannels() {
  for (const net::FrameChannelPtr& channel : this->channels) {
    channel->Close();
  }
}

void FakeAgent::OnFrame(const net::FrameChannelPtr& channel,
                        const std::string& frame) {
  this->last_channel = channel;
  const auto message = protocol::DecodeEntryToAgent(frame);
  CPPUNIT_ASSERT(message.ok());
  this->received.push_back(message.value());
  if (!this->options.takes || this->options.takes(message.value())) {
    std::visit([this](const auto& kind) { this->Answer(kind); },
               message.value());
  }
}

void FakeAgent::OnDatagram(std::string_view datagram,
                           const http::Address& from) {
  const auto heartbeat = protocol::DecodeHeartbeat(datagram);
  CPPUNIT_ASSERT(heartbeat.ok());
  if (this->options.answers(*heartbeat)) {
    this->datagrams.Send(
        protocol::Encode(protocol::HeartbeatAnswer{
            .agent = this->options.incarnation,
            .sequence = heartbeat->sequence,
            .manifest = LogOffset(1),
            .lease = 3s,
            .renewed = (std::uint64_t{1} << heartbeat->sessions.size()) - 1}),
        from);
  }
}

void FakeAgent::Answer(const protocol::Hello& /*hello*/) {
  const std::uint16_t port =
      this->options.answers ? this->datagrams.port() : std::uint16_t{0};
  this->Send(protocol::Welcome{.endpoint = this->options.endpoint.id,
                               .incarnation = this->options.incarnation,
                               .role = this->options.endpoint.role,
                               .domain = this->options.endpoint.domain,
                               .manifest = LogOffset(1),
                               .lease = 3s,
                               .load = this->load,
                               .session = ++this->last_session,
                               .heartbeat_port = port});
}

void FakeAgent::Answer(const protocol::Renew& /*renew*/) {
  this->Send(protocol::Renewed{.manifest = LogOffset(1), .load = this->load});
}

void FakeAgent::Answer(const protocol::Reserve& reserve) {
  this->Send(
      protocol::Reserved{.attempt = reserve.attempt, .load = this->load});
}

void FakeAgent::Answer(const protocol::StartPrefill& start) {
  this->Send(protocol::Prefilled{
      .attempt = start.attempt,
      .kv = {.prefill_endpoint = this->options.endpoint.id,
             .transfer_params = "{}",
             .tokens = start.prompt_tokens,
             .bytes = 1},
      .usage = {.prompt_tokens =
                    static_cast<std::uint32_t>(start.prompt_tokens)},
      .lifetime = 800ms,
      .load = this->load});
}

void FakeAgent::Answer(const protocol::StartDecode& start) {
  std::uint64_t sequence = 0;
  for (const std::string& text : this->options.chunks) {
    this->Send(protocol::Chunk{.attempt = start.attempt,
                               .sequence = SequenceNumber(sequence++),
                               .tokens = 1,
                               .text = text});
  }
  this->Send(protocol::Ended{
      .attempt = start.attempt,
      .chunks = SequenceNumber(sequence),
      .usage = {.prompt_tokens = 9,
                .output_tokens = static_cast<std::uint32_t>(sequence)},
      .load = this->load});
}

void FakeAgent::Answer(const protocol::StartCall& start) {
  this->Send(protocol::CallAnswered{
      .attempt = start.attempt,
      .answer = {.status = 200,
                 .headers = {{"Content-Type", "text/plain"}},
                 .body = start.request.method + " " + start.request.target +
                         " " + start.request.body},
      .load = this->load});
}

}  // namespace acacialug::entry_process
