#include "agent_process/internal/session_table.h"

#include <QTimer>
#include <chrono>
#include <utility>
#include <variant>

#include "framework/log/log.h"
#include "protocol/message_codec.h"

namespace acacialug::agent_process {
namespace {

constexpr std::chrono::seconds kRetireAfter{3};

// Keeps a peer that sends only invalid messages from filling the log.
log::RepeatLimiter& Limiter() {
  static log::RepeatLimiter limiter({});
  return limiter;
}

// Replaces an answer that is too large for a frame. The call did run.
std::optional<protocol::AgentToEntry> TooLargeFailure(
    const protocol::AgentToEntry& message) {
  const auto* answered = std::get_if<protocol::CallAnswered>(&message);
  if (answered == nullptr) {
    return std::nullopt;
  }
  return protocol::Failed{.attempt = answered->attempt,
                          .phase = protocol::Phase::kCall,
                          .code = ResultCode::kFrameTooLarge,
                          .outcome = protocol::Outcome::kUnknown,
                          .load = answered->load};
}

}  // namespace

SessionTable::SessionTable(Hooks table_hooks, ProcessCounters& process_counters)
    : hooks(std::move(table_hooks)), counters(process_counters) {}

void SessionTable::Add(const net::FrameChannelPtr& channel) {
  const agent::SessionId session(++this->last_session);
  this->sessions[session].channel = channel;
  ++this->counters.sessions_opened;
  this->hooks.on_opened(session);
  channel->SetHooks({.on_frame =
                         [this, session](const std::string& payload) {
                           this->OnFrame(session, payload);
                         },
                     .on_closed =
                         [this, session](const Error& error) {
                           this->OnClosed(session, error);
                         }});
}

void SessionTable::Send(agent::SessionId session,
                        const protocol::AgentToEntry& message) {
  const auto found = this->sessions.find(session);
  if (found == this->sessions.end()) {
    ++this->counters.frames_not_sent;
    return;
  }
  net::FrameChannel& channel = *found->second.channel;
  if (channel.Send(protocol::Encode(message))) {
    ++this->counters.frames_sent;
    return;
  }
  const auto failure = TooLargeFailure(message);
  if (channel.open() && failure && channel.Send(protocol::Encode(*failure))) {
    ++this->counters.frames_too_large;
    return;
  }
  ++this->counters.frames_not_sent;
}

void SessionTable::Close(agent::SessionId session, ResultCode code) {
  const auto found = this->sessions.find(session);
  if (found == this->sessions.end()) {
    return;
  }
  log::WriteLimited(
      Limiter(), MonotonicNow(), log::Level::kInfo, "session_ended",
      {.code = code,
       .fields = {{"session", session}, {"entry", found->second.entry}}});
  this->Retire(found->second.channel);
  this->sessions.erase(found);
  ++this->counters.sessions_closed;
}

void SessionTable::CloseAll() {
  for (auto& [session, state] : this->sessions) {
    state.channel->Close();
    ++this->counters.sessions_closed;
  }
}

std::size_t SessionTable::unsent_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [session, state] : this->sessions) {
    bytes += state.channel->open() ? state.channel->unsent_bytes() : 0;
  }
  return bytes;
}

std::vector<SessionStatus> SessionTable::List() const {
  std::vector<SessionStatus> list;
  for (const auto& [session, state] : this->sessions) {
    list.push_back({.session = session,
                    .entry = state.entry,
                    .bytes_sent = state.channel->bytes_sent(),
                    .bytes_received = state.channel->bytes_received(),
                    .unsent_bytes = state.channel->unsent_bytes()});
  }
  return list;
}

void SessionTable::OnFrame(agent::SessionId session,
                           const std::string& payload) {
  ++this->counters.frames_received;
  const Result<protocol::EntryToAgent> message =
      protocol::DecodeEntryToAgent(payload);
  if (!message.ok()) {
    this->EndForBadFrame(session, message.error());
    return;
  }
  if (const auto* hello = std::get_if<protocol::Hello>(&*message)) {
    this->sessions[session].entry = hello->entry;
  }
  this->hooks.on_message(session, *message);
}

void SessionTable::OnClosed(agent::SessionId session, const Error& error) {
  const auto found = this->sessions.find(session);
  if (found == this->sessions.end()) {
    return;
  }
  const ResultCode code = error.result_code();
  const bool orderly = code == ResultCode::kConnectionLost;
  if (!orderly) {
    ++this->counters.bad_frames;
  }
  log::WriteLimited(Limiter(), MonotonicNow(),
                    orderly ? log::Level::kInfo : log::Level::kWarning,
                    "session_lost",
                    {.code = code,
                     .fields = {{"session", session},
                                {"entry", found->second.entry},
                                {"detail", error.detail}}});
  this->Retire(std::move(found->second.channel));
  this->sessions.erase(found);
  ++this->counters.sessions_closed;
  this->hooks.on_closed(session);
}

void SessionTable::EndForBadFrame(agent::SessionId session,
                                  const Error& error) {
  ++this->counters.bad_frames;
  log::WriteLimited(
      Limiter(), MonotonicNow(), log::Level::kWarning, "bad_frame",
      {.code = error.result_code(),
       .fields = {{"session", session}, {"detail", error.detail}}});
  const auto found = this->sessions.find(session);
  if (found != this->sessions.end()) {
    this->Retire(found->second.channel);
    this->sessions.erase(found);
    ++this->counters.sessions_closed;
    this->hooks.on_closed(session);
  }
}

void SessionTable::Retire(net::FrameChannelPtr channel) {
  channel->Close();
  QTimer::singleShot(kRetireAfter, &this->context,
                     [channel = std::move(channel)] {});
}

}  // namespace acacialug::agent_process
