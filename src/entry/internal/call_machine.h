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
  kClaiming,      // the coordinator has not decided yet
  kAwaitingHome,  // a ticket's home has no session at the moment
  kRunning,       // StartCall sent
  kLookingUp,     // asks the home what became of it
};
inline constexpr EnumNames<CallStage, 5> kCallStageNames = {{
    {CallStage::kPlacing, "placing"},
    {CallStage::kClaiming, "claiming"},
    {CallStage::kAwaitingHome, "awaiting_home"},
    {CallStage::kRunning, "running"},
    {CallStage::kLookingUp, "looking_up"},
}};

// A call of a plain service. An idempotent one may be tried again, under the
// retry budget. One that is not idempotent goes to one home under a key; when
// its answer is lost, the home is asked what became of it, and where nobody
// can tell, the caller is told that the outcome is unknown.
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
  // Nothing ran. A call that may go elsewhere does so; else it ends here.
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
  std::optional<OnceSubmission> submission;  // the coordinator knows of it
  std::vector<std::uint64_t> tried;
  bool lost_run = false;   // an earlier one of an idempotent call
  bool maybe_run = false;  // that, or one under way
  std::uint32_t repeats = 0;
  Instant started_at{};
  Instant look_up_at = kNever;
  Instant look_up_until = kNever;  // also of kAwaitingHome
  bool counted = false;            // in the concurrency limit
};

}  // namespace acacialug::entry

#endif  // ENTRY_INTERNAL_CALL_MACHINE_H_
