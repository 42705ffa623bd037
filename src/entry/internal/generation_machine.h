#ifndef ENTRY_INTERNAL_GENERATION_MACHINE_H_
#define ENTRY_INTERNAL_GENERATION_MACHINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "entry/internal/answer_stream.h"
#include "entry/internal/request_machine.h"

namespace acacialug::entry {

// Progress of one side of a generation.
enum class LegStage : std::uint8_t {
  kNone,
  kRequested,  // Reserve sent (decode); StartPrefill sent (prefill)
  kReady,      // reserved (decode); the result waits in the engine (prefill)
  kRunning,    // StartDecode sent (decode)
};
inline constexpr EnumNames<LegStage, 4> kLegStageNames = {{
    {LegStage::kNone, "none"},
    {LegStage::kRequested, "asked"},
    {LegStage::kReady, "ready"},
    {LegStage::kRunning, "running"},
}};

// One side of a generation: the endpoint and the attempt's id there.
struct Leg {
  LegStage stage = LegStage::kNone;
  EndpointId endpoint;
  AttemptId attempt;
  AttemptNumber last_number;  // including earlier tries
  Instant requested_at{};
  Instant timeout_at = kNever;
  std::vector<std::uint64_t> tried;  // keys of endpoints not to repeat

  bool Idle() const { return this->stage == LegStage::kNone; }
};

// A generation: reserves a decode slot, prefills, decodes, and delivers the
// answer.
//
// The two legs are independent, so that the loss of one never loses the other:
// a prefill result that still exists is used with another reservation, and a
// reservation outlives a failed prefill. Once the first chunk shows that the KV
// cache was imported, the prefill leg is released. After that, the loss of the
// decode endpoint causes a new run that continues after the delivered text.
class GenerationMachine : public RequestMachine {
 public:
  GenerationMachine(RequestContext shared,
                    RequestTerms fixed,
                    ServiceState& service_state,
                    const GenerationArrived& arrived);

  void Dispatch(Instant now) override;
  void OnMessage(const EndpointId& endpoint,
                 const protocol::AgentToEntry& message,
                 Instant now) override;
  void OnEndpointLost(const EndpointId& endpoint, Instant now) override;
  void OnDelivered(std::uint64_t index, Instant now) override;
  void OnTimer(Instant now) override;
  Instant WakeAt() const override;
  void Abandon(Instant now) override;
  admission::Waiting QueueRecord() const override;

  Instant LatestStart() const override;

 private:
  // ---- events (generation_events.cc) ----
  bool Take(const EndpointId& endpoint,
            const protocol::Reserved& reserved,
            Instant now);
  bool Take(const EndpointId& endpoint,
            const protocol::Prefilled& prefilled,
            Instant now);
  bool Take(const EndpointId& endpoint,
            const protocol::Chunk& chunk,
            Instant now);
  bool Take(const EndpointId& endpoint,
            const protocol::Ended& message,
            Instant now);
  bool Take(const EndpointId& endpoint,
            const protocol::Refused& refused,
            Instant now);
  bool Take(const EndpointId& endpoint,
            const protocol::Failed& failed,
            Instant now);
  void OnDecodeRefused(LegStage stage, Duration hint, Instant now);
  void OnPrefillRefused(Duration hint, Instant now);
  void OnWaitEnded(Instant now);
  void OnStartTimer(Instant now);
  void OnDecodeLost(ResultCode code, Instant now);
  void OnPrefillLost(ResultCode code, Instant now);
  bool Matches(const Leg& leg,
               LegStage stage,
               const EndpointId& endpoint,
               const AttemptId& attempt) const;
  // True if the attempt is in progress at that endpoint now.
  bool Holds(const EndpointId& endpoint, const AttemptId& attempt) const;
  Leg& LegOf(protocol::Phase phase);
  void OnFirstChunk(Instant now);

  // ---- steps (generation_machine.cc) ----
  // Takes the next step that the legs' stages allow.
  void Advance(Instant now);
  // Returns false when no endpoint can take the request now; `free_in` is then
  // the time until the next try.
  bool Reserve(Instant now);
  bool StartPrefill(Instant now);
  void StartDecode(Instant now);
  void ReserveAgainSoon(Duration hint, Instant now);
  void ReturnToQueue(Duration hint, Instant now);
  void PauseQueue(Duration hint, Instant now);
  bool MayRepeat(ResultCode code, Instant now);
  void Rerun(ResultCode code, Instant now);
  void Finish(protocol::FinishReason reason,
              const protocol::Usage& usage,
              Instant now);
  void GiveUp(ResultCode code, Instant now);

  // ---- sizes and predictions (generation_forecast.cc) ----
  bool Feasible(Instant now);
  bool ReservesFirst() const;
  bool ExportAlive(Instant now) const;
  placement::EndpointView* PickPrefill(Instant now);
  Duration SlotWait(const placement::EndpointView& view, Instant now) const;
  placement::PlacementNeed DecodeNeed(Instant now) const;
  placement::EndpointView* PickDecode(Instant now);
  placement::PlacementNeed PrefillNeed(Instant now) const;
  std::uint64_t CachedTokens(const placement::EndpointView& view,
                             Instant now) const;
  Duration Margin() const;
  Duration PrefillReadyIn(const placement::EndpointView& view,
                          Instant now) const;
  // Returns the predicted remaining time of a prefill in progress.
  Duration PrefillLeft(Instant now) const;
  Duration TimeToFirstToken(Instant now) const;
  protocol::GenerationRequest RemainingWork() const;
  std::uint32_t TokensLeft() const;
  std::uint64_t PromptTokens() const;
  std::uint64_t KvTokens() const;
  std::uint64_t TransferBytes() const;

  // ---- legs (generation_machine.cc) ----
  void BeginLeg(Leg& leg, const EndpointId& endpoint, Instant now);
  void EndLeg(Leg& leg, bool cancel, Instant now);
  void BeginStart(Instant now);
  void EndStart();

  GenerationArrived work;  // prompt_text is dropped after hashing
  std::uint64_t prompt_bytes = 0;
  bool splits_prefill = true;  // the service has a prefill pool
  protocol::PrefixChain prefix;
  AnswerStream stream;

  Leg decode;
  Leg prefill;
  AttemptNumber number;       // the highest assigned
  std::uint32_t running = 0;  // starts that are not provably undone
  std::uint32_t repeats = 0;  // repeated runs
  protocol::KvHandle kv;
  Instant export_until{};
  Duration free_in{};  // expected time until a decode slot is free
  Instant reserve_again_at = kNever;
  Instant prefill_at = kNever;  // not before this, for a promised slot
  std::uint32_t prompt_tokens_counted = 0;
  std::uint32_t cached_tokens = 0;
  std::uint64_t cached_expected = 0;
  bool starting = false;  // counted in the concurrency limit
  Instant start_began_at{};
  Instant first_token_predicted{};
  Duration rest_after_prefill{};  // transfer and the first token
  std::optional<protocol::Ended> ended;
  Duration start_expected{};  // excluding waits; for the concurrency limit
  Duration prefill_expected{};
};

}  // namespace acacialug::entry

#endif  // ENTRY_INTERNAL_GENERATION_MACHINE_H_
