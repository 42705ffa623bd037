#ifndef GATEWAY_INTERNAL_CALL_RELAY_H_
#define GATEWAY_INTERNAL_CALL_RELAY_H_

#include <string>

#include "gateway/internal/relay.h"

namespace acacialug::gateway {

// A plain request: the whole request is sent, and the whole answer is returned.
// It goes to a second endpoint only after a proof that it did not run, or if it
// may run again.
class CallRelay : public Relay {
 public:
  using Relay::Relay;

  bool TryPlace() override;
  void EndUnanswered() override;

 protected:
  void OnDeadline() override;
  void OnAnswerTooLong() override;
  void Release() override;

 private:
  // Null when every endpoint is full. Endpoints that are avoided or were tried
  // are chosen last.
  const EndpointRecord* FindEndpoint(std::vector<EndpointId> avoided);
  void Send(const EndpointRecord& endpoint);
  void OnHead(int status, const http::Headers& headers);
  void OnBodyData(std::string_view data);
  void OnBodyComplete();
  // `took`: from the sending to the end of the answer.
  void OnEndConfirmed(const EndConfirmation::Outcome& confirmed, Duration took);
  void EndWhole(Duration took);
  void DropBody();
  void OnLost(const Error& error, bool sent);
  // Time after which the request goes to another endpoint if it may.
  Duration ResponseTimeout() const;
  void StartResponseTimer();
  void OnResponseTimeout();
  // The attempt ended and did not run.
  void AfterNotRun(ResultCode code);
  // The attempt may have run, or has run and failed, and is abandoned.
  void AfterRun(ResultCode code);
  // Whether the request may run again at another endpoint. If so, takes a
  // repeat from the budget.
  bool TakeRepeat();
  void EndAttempt();
  void ReleaseLoad();

  EndpointRecord endpoint;
  EndpointLoad load;  // empty: no attempt is under way
  AnswerNature nature = AnswerNature::kUnproven;
  int status = 0;
  http::Headers headers;
  std::string body;
  Instant sent_at;
  std::uint32_t runs = 0;  // attempts without a proof that they did not run
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_CALL_RELAY_H_
