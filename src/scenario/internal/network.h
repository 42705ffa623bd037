#ifndef SCENARIO_INTERNAL_NETWORK_H_
#define SCENARIO_INTERNAL_NETWORK_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "agent/types/agent_messages.h"
#include "framework/global/random_source.h"
#include "framework/global/types/enum_names.h"
#include "protocol/types/heartbeat.h"
#include "protocol/types/messages.h"
#include "scenario/internal/event_queue.h"

namespace acacialug::scenario {

class AgentHost;
class EntryHost;

// A fault of a single message. A connection has no such faults; they test the
// processes' own rules.
enum class MessageFault : std::uint8_t { kLost, kLate, kDoubled };
inline constexpr EnumNames<MessageFault, 3> kMessageFaultNames = {{
    {MessageFault::kLost, "lost"},
    {MessageFault::kLate, "late"},  // later ones overtake it
    {MessageFault::kDoubled, "doubled"},
}};

struct MessageRule {
  std::string entry;     // empty: any
  std::string endpoint;  // empty: any
  std::string kind;      // the message's type, as in docs/PROTOCOL.md
  MessageFault fault = MessageFault::kLost;
  Duration by{};            // the delay, or the time between the two copies
  std::uint32_t first = 1;  // applies from the `first`-th such message on
  std::uint32_t count = 1;  // to this number of messages
};

// Ordered connections between entries and agents. Not thread safe.
class Network {
 public:
  using FindAgent =
      std::function<std::shared_ptr<AgentHost>(const std::string&)>;

  Network(EventQueue& event_queue,
          Duration one_way,
          FindAgent find_agent,
          std::uint64_t seed)
      : queue(event_queue),
        delay(one_way),
        agents(std::move(find_agent)),
        random(seed) {}

  // ---- for entries and agents ----
  void Connect(const std::shared_ptr<EntryHost>& entry,
               const EndpointId& endpoint);
  void Drop(const EntryHost& entry, const EndpointId& endpoint);
  void ToAgent(const EntryHost& entry,
               const EndpointId& endpoint,
               const protocol::EntryToAgent& message);
  void ToEntry(agent::SessionId session, const protocol::AgentToEntry& message);
  void Close(agent::SessionId session);

  // Datagrams have no order, and are lost in a partition. Their kinds for
  // faults of single messages are Heartbeat and HeartbeatAnswer.
  void Heartbeat(const std::shared_ptr<EntryHost>& entry,
                 const EndpointId& endpoint,
                 const protocol::Heartbeat& heartbeat);
  void AnswerHeartbeat(const std::shared_ptr<EntryHost>& entry,
                       const EndpointId& endpoint,
                       const protocol::HeartbeatAnswer& answer);

  // ---- faults ----

  // A process ended. Its peers see their connections closed, or nothing if the
  // host failed silently.
  void OnEntryEnded(const EntryHost& entry, bool silently);
  void OnAgentEnded(const AgentHost& agent, bool silently);
  // Both ends see the connection closed.
  void Cut(const std::string& entry, const std::string& endpoint);
  // Delays all messages until Heal, without any sign at either end.
  void Partition(const std::string& entry, const std::string& endpoint);
  void Heal(const std::string& entry, const std::string& endpoint);
  void HealAll();
  void Add(const MessageRule& rule) { this->rules.push_back(rule); }
  // Loses this share of all messages from now on.
  void Lose(double share) { this->lost_share = share; }
  double losing() const { return this->lost_share; }
  bool partitioned() const { return !this->partitions.empty(); }

 private:
  enum Direction : std::uint8_t { kToAgent, kToEntry };
  using Pair = std::pair<std::string, std::string>;  // entry, endpoint
  using Task = std::function<void()>;

  struct Link {
    agent::SessionId session;
    Pair ends;
    Incarnation entry_start;
    std::weak_ptr<EntryHost> entry;
    std::weak_ptr<AgentHost> agent;
    bool entry_open = false;
    bool agent_open = false;
    std::array<Instant, 2> last{};  // arrival of the newest message so far
    std::deque<Task> held;          // by a partition
  };
  using LinkPointer = std::shared_ptr<Link>;

  LinkPointer Current(Incarnation entry, const EndpointId& endpoint) const;
  void Arrive(const LinkPointer& link, Direction direction, Task task);
  void Deliver(const LinkPointer& link, const Task& task);
  // Sends a message, subject to the faults of single messages.
  void Send(const LinkPointer& link,
            Direction direction,
            const std::string& kind,
            const Task& task);
  // Draws whether this message is lost.
  bool Lost();
  void SendDatagram(const Pair& ends, const std::string& kind, Task task);
  // Applies the faults of single messages. Returns false if the message itself
  // must not be sent.
  bool ApplyRules(const Pair& ends, const std::string& kind, const Task& task);
  void CloseAtEntry(const LinkPointer& link);
  void CloseAtAgent(const LinkPointer& link);

  EventQueue& queue;
  Duration delay;
  FindAgent agents;
  std::uint64_t last_session = 0;
  std::map<std::pair<Incarnation, EndpointId>, LinkPointer> current;
  std::map<agent::SessionId, LinkPointer> links;
  std::set<Pair> partitions;
  std::vector<MessageRule> rules;
  RandomSource random;  // draws which messages are lost
  double lost_share = 0;
};

}  // namespace acacialug::scenario

#endif  // SCENARIO_INTERNAL_NETWORK_H_
