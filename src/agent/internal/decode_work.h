#ifndef AGENT_INTERNAL_DECODE_WORK_H_
#define AGENT_INTERNAL_DECODE_WORK_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "agent/internal/deadline_set.h"
#include "agent/internal/decode_memory.h"
#include "agent/internal/shared_parts.h"
#include "agent/internal/stream_flow.h"
#include "agent/internal/token_pace.h"
#include "agent/internal/transfer_link.h"

namespace acacialug::agent {

// Reservations and streams of a decode endpoint. The attempt table admits
// attempts before they reach this class. Not thread safe.
class DecodeWork {
 public:
  explicit DecodeWork(SharedParts& shared_parts);

  void OnReserve(const protocol::Reserve& reserve, Instant now);
  // With `may_reserve` false an attempt without a reservation is refused.
  void OnStartDecode(const protocol::StartDecode& start,
                     bool may_reserve,
                     Instant now);
  void OnAcknowledge(const protocol::Acknowledge& acknowledge, Instant now);

  // Engine events; false when the attempt is not one of these streams.
  bool OnText(const engine::Text& text, Instant now);
  bool OnStreamDone(const engine::StreamDone& done, Instant now);
  bool OnFailed(const engine::AttemptFailed& failed, Instant now);

  // Releases everything that the attempt holds; an unknown attempt is no error.
  void Release(const AttemptId& attempt, Instant now);
  void Expire(Instant now);
  // The drain's grace has ended: all remaining work is ended.
  void EndAll(Instant now);

  // A bound of 0 keeps the bound from the settings.
  void SetBounds(const manifest::Endpoint& endpoint);
  void FillLoad(protocol::EndpointLoad& load, Instant now) const;
  bool Holds(const AttemptId& attempt) const;
  std::vector<AttemptId> held() const;
  // What each attempt holds here.
  void ForEachHolding(const HoldingVisitor& visit) const;
  bool idle() const;
  Instant next_timer() const;

 private:
  struct Stream {
    StreamFlow flow;
    std::uint32_t requested = 0;
    std::uint32_t produced = 0;
    Instant progress;       // latest of the engine, or when it was resumed
    bool measured = false;  // the next text gives an interval
    std::optional<protocol::Ended> end;  // set when the engine has finished
  };

  // Covers streams that had a token, or also starts that wait for their first
  // token.
  enum class StreamScope : std::uint8_t { kStreaming, kAll };

  // The time since which the engine owes its streams the next token and this
  // process would have received it; kNever: it owes none.
  Instant AwaitingTokenSince(StreamScope scope) const;
  // The time for which the engine has owed a token; zero while it keeps its
  // pace, or owes none.
  Duration UnresponsiveFor(Instant now, StreamScope scope) const;
  // Checks whether this process itself was stalled.
  void CheckForProcessStall(Instant now);
  // Refuses the attempt as not run while the engine is stalled.
  bool RefuseWhileStalled(const AttemptId& attempt,
                          protocol::Phase phase,
                          Instant now);
  bool StartNow(const protocol::StartDecode& start, Instant now);
  void AddWaiting(const protocol::StartDecode& start, Instant now);
  void StartWaiting(Instant now);
  void Flush(const AttemptId& attempt, Stream& stream, Instant now);
  void Measure(Stream& stream, std::uint32_t tokens, Instant now);
  void FreeEngine(const AttemptId& attempt, Instant now);
  void ExpireWaiting(Instant now);
  void ExpireStalled(Instant now);
  // The stream was started in a stalled engine; `due` is the time at which it
  // was to be checked.
  bool StartsInStalledEngine(const Stream& stream,
                             Instant due,
                             Instant now) const;

  SharedParts& parts;
  DecodeMemory memory;
  TransferLink link;
  TokenPace pace;
  std::unordered_map<AttemptId, Stream> streams;
  std::deque<protocol::StartDecode> waiting;  // at most `slots`
  DeadlineSet<AttemptId> wait_limits;
  DeadlineSet<AttemptId> stalls;
  // While the engine owes a token.
  Instant next_stall_check = kNever;
  Instant last_stall_ended_at{};  // end of this process's latest stall
  bool process_stalled = false;   // by the latest check
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_DECODE_WORK_H_
