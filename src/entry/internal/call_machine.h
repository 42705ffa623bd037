#ifndef ENTRY_INTERNAL_CALL_MACHINE_H_
#define ENTRY_INTERNAL_CALL_MACHINE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "entry/i_once_coordinator.h"
#include "entry/internal/request_machine.h"

namespace acacialug::entry {

enum class CallStage : std::uint8_t {
  kPlacing,
  kClaiming,      // the coordinator's verdict is pending
  kAwaitingHome,  // the ticket's home has no session now
  kRunning,       // StartCall sent
  kLookingUp,     // queries the home for the result
};
inline constexpr EnumNames<CallStage, 5> kCallStageNames = {{
    {CallStage::kPlacing, "placing"},
    {CallStage::kClaiming, "claiming"},
    {CallStage::kAwaitingHome, "awaiting_home"},
    {CallStage::kRunning, "running"},
    {CallStage::kLookingUp, "looking_up"},
}};

// A call of a plain service. An idempotent call may be retried within the retry
// budget. A call that is not idempotent goes to one home under a key. When its
// answer is lost, the home is queried for the result; if the result cannot be
// found out, the caller gets an unknown outcome.
class CallMachine : public RequestMachine {
 public:
  CallMachine(RequestContext shared,
              RequestTerms fixed,
              ServiceState& service_state,
              const CallArrived& arrived,
              bool idempotent_call);

  void Dispatch(Instant now) override;
  void OnMessage(const EndpointId& endpoint,
                 const protocol::AgentToEntry& message,
                 Instant now) override;
  void OnEndpointLost(const EndpointId& endpoint, Instant now) override;
  void OnDelivered(std::uint64_t, Instant) override {}
  void OnTimer(Instant now) override;
  Instant WakeAt() const override;
  Instant LatestStart() const override { return this->terms.first_token_by; }
  void Abandon(Instant now) override;

  // The coordinator's decision.
  void OnVerdict(const OnceVerdict& verdict, Instant now);

 private:
  void Take(const protocol::CallAnswered& answered, Instant now);
  void Take(const protocol::Refused& refused, Instant now);
  void Take(const protocol::Failed& failed, Instant now);
  bool Matches(const EndpointId& where, const AttemptId& which) const;

  placement::EndpointView* Pick(Instant now);
  placement::EndpointView* PickHome() const;
  bool Feasible(const placement::EndpointView& view, Instant now) const;
  void Activate();
  bool HasTicket() const { return !this->work.ticket.empty(); }
  OnceSubmission Submission(const EndpointId& home) const;
  void Claim(const EndpointId& home, Instant now);
  void Start(const EndpointId& home, const protocol::Once& bound, Instant now);
  bool AcceptsHome(const EndpointId& home, Instant now);
  Instant HomeWaitDeadline() const;
  void AwaitHome(const EndpointId& home,
                 const protocol::Once& bound,
                 Instant now);
  void LookUp(Instant now);
  void LookUpLater(Instant now);
  void OnRunLost(ResultCode code, Instant now);
  // Nothing ran. The call tries another endpoint if it may, else it ends.
  void OnNotRun(ResultCode code, Instant now);
  void TryAnother(Instant now);
  void Leave(Instant now, bool cancel);
  void GiveUp(ResultCode code, Instant now);

  CallArrived work;
  bool idempotent = true;
  CallStage stage = CallStage::kPlacing;
  EndpointId endpoint;
  AttemptId attempt;
  AttemptNumber number;
  protocol::Once once;
  std::optional<OnceSubmission> submission;  // held by the coordinator
  std::vector<std::uint64_t> tried;
  bool lost_run = false;   // an earlier run of an idempotent call
  bool maybe_run = false;  // a lost run, or one in progress
  std::uint32_t repeats = 0;
  Instant started_at{};
  Instant look_up_at = kNever;
  Instant look_up_until = kNever;  // also of kAwaitingHome
  bool counted = false;            // in the concurrency limit
};

}  // namespace acacialug::entry

#endif  // ENTRY_INTERNAL_CALL_MACHINE_H_
