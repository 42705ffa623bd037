#ifndef AGENT_PROCESS_INTERNAL_SESSION_TABLE_H_
#define AGENT_PROCESS_INTERNAL_SESSION_TABLE_H_

#include <QObject>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "agent/types/agent_messages.h"
#include "agent_process/types/agent_status.h"
#include "framework/net/frame_channel.h"

namespace acacialug::agent_process {

// The connections from entries: numbers them, decodes their messages, and ends
// those that send an invalid message. Runs on the agent's thread.
class SessionTable {
 public:
  struct Hooks {
    std::function<void(agent::SessionId)> on_opened;
    std::function<void(agent::SessionId, const protocol::EntryToAgent&)>
        on_message;
    // Doesn't run for sessions ended by Close.
    std::function<void(agent::SessionId)> on_closed;
  };

  SessionTable(Hooks table_hooks, ProcessCounters& process_counters);

  void Add(const net::FrameChannelPtr& channel);

  // Sends the message, or drops and counts it when the session has ended. The
  // answer of a call that is larger than a frame may be is replaced by a
  // failure with the same attempt.
  void Send(agent::SessionId session, const protocol::AgentToEntry& message);

  void Close(agent::SessionId session, ResultCode code);
  void CloseAll();

  // Bytes that the operating system has not yet accepted, in all sessions.
  std::size_t unsent_bytes() const;
  std::vector<SessionStatus> List() const;

 private:
  struct Session {
    net::FrameChannelPtr channel;
    EntryId entry;
  };

  void OnFrame(agent::SessionId session, const std::string& payload);
  void OnClosed(agent::SessionId session, const Error& error);
  void EndForBadFrame(agent::SessionId session, const Error& error);
  // Closes a channel cleanly and destroys it later: this may run inside one of
  // the channel's own hooks, and its queued frames have still to be sent.
  void Retire(net::FrameChannelPtr channel);

  Hooks hooks;
  ProcessCounters& counters;
  std::uint64_t last_session = 0;
  std::map<agent::SessionId, Session> sessions;
  QObject context;  // cancels the timers of retired channels on destruction
};

}  // namespace acacialug::agent_process

#endif  // AGENT_PROCESS_INTERNAL_SESSION_TABLE_H_
