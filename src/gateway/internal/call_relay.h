#ifndef GATEWAY_INTERNAL_CALL_RELAY_H_
#define GATEWAY_INTERNAL_CALL_RELAY_H_

#include <string>

#include "gateway/internal/relay.h"

namespace acacialug::gateway {

// A plain request: whole request in, whole answer out. It goes to a second
// endpoint only after a proof that it did not run, or if it may run again.
class CallRelay : public Relay {
 public:
  using Relay::Relay;

  bool TryPlace() override;

 protected:
  void OnDeadline() override;
  void Release() override;

 private:
  // Null: every endpoint is full. Those avoided or tried come last.
  const EndpointRecord* FindEndpoint(std::vector<EndpointId> avoided);
  void Send(const EndpointRecord& endpoint);
  void OnHead(int status, const http::Headers& headers);
  void OnBodyComplete(std::string body);
  void OnLost(const Error& error, bool sent);
  void StartResponseTimer();
  void OnResponseTimeout();
  // The attempt is over and did not run.
  void AfterNotRun(ResultCode code);
  // The attempt may have run, or has run and failed, and is given up.
  void AfterRun(ResultCode code);
  // True when it may run again at another endpoint; takes that from the budget.
  bool TakeRepeat();
  void EndAttempt();
  void ReleaseLoad();

  EndpointRecord endpoint;
  EndpointLoad load;  // empty: no attempt is under way
  AnswerNature nature = AnswerNature::kUnproven;
  int status = 0;
  http::Headers headers;
  Instant sent_at;
  std::uint32_t runs = 0;  // attempts without a proof that they did not run
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_CALL_RELAY_H_
