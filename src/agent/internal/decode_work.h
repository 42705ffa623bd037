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

// Reservations and streams of a decode endpoint. Attempts were admitted by
// the attempt table before they come here. Not thread safe.
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

  // Gives back all that the attempt holds; unknown is no error.
  void Release(const AttemptId& attempt, Instant now);
  void Expire(Instant now);
  // The drain's grace is over: nothing stays.
  void EndAll(Instant now);

  // A bound of 0 leaves the one from the settings.
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
    Instant progress;       // the engine's latest, or when it was told to go on
    bool measured = false;  // a second text in a row gives an interval
    std::optional<protocol::Ended> end;  // the engine is done
  };

  // By streams that had a token, or also by starts that wait for their first.
  enum class StreamScope : std::uint8_t { kStreaming, kAll };

  // Since when the engine owes its streams the next token, and this process
  // would have heard it; kNever: it owes none.
  Instant AwaitingTokenSince(StreamScope scope) const;
  // How long it has owed it; zero while it keeps its pace, or owes none.
  Duration UnresponsiveFor(Instant now, StreamScope scope) const;
  // Finds out whether this process itself stood still.
  void CheckForProcessStall(Instant now);
  // Refuses the attempt as not run while the engine stands still.
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
  // Started in an engine that stands still; `due` is when it was to be judged.
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
  Instant last_stall_ended_at{};  // after the latest standstill of this process
  bool process_stalled = false;   // by the latest check
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_DECODE_WORK_H_
