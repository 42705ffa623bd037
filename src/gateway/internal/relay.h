#ifndef GATEWAY_INTERNAL_RELAY_H_
#define GATEWAY_INTERNAL_RELAY_H_

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "gateway/internal/relay_context.h"

namespace acacialug::gateway {

// What relays of every kind have in common: a request, its deadline, at most
// one exchange with an endpoint, and one final answer. Keeps itself alive by
// the hooks that it waits on; `on_finished` runs once, at its end.
class Relay : public std::enable_shared_from_this<Relay> {
 public:
  Relay(RelayContext& relay_context, RelayJob relay_job);
  virtual ~Relay() = default;
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Watches the caller and the deadline. Call it once, first.
  void Begin(std::function<void(Relay&)> on_finished);

  // Tries to go on; false: there is no place now, and nothing was sent.
  virtual bool TryPlace() = 0;

  // Ends it with an answer of the gateway's own. Precondition: nothing of an
  // answer was sent.
  void Refuse(ResultCode code, Duration retry_after);

  const RelayJob& job() const { return this->work; }
  const RelayOutcome& result() const { return this->outcome; }
  bool finished() const { return this->is_finished; }
  Duration Age() const;
  // Until its caller, or its route, gives up.
  Duration TimeLeft() const;

 protected:
  // The deadline has passed, or the caller is gone.
  virtual void OnDeadline() = 0;
  // Gives back what the relay holds. Runs once, at the end.
  virtual void Release() = 0;

  Instant Now() const { return this->context.hooks.now(); }
  bool MayRunAgain() const {
    return gateway::MayRunAgain(this->work.route->kind);
  }

  void SendTo(const EndpointRecord& endpoint,
              const WorkOrder& order,
              http::ExchangeHooks hooks);
  // The exchange with this endpoint broke; `sent`: after something of the
  // request may have arrived; `nature`: of the head that came, if any.
  void NoteLost(const EndpointRecord& endpoint, bool sent, AnswerNature nature);
  // Endpoints ended under the request, here or at peers, so that it is sent to
  // none. Looked at before each sending: peers tell at any time.
  bool Quarantined() const;
  // Its quarantine began, or ended.
  void StoreQuarantine() const;
  // Ends the exchange under way; its hooks stay silent.
  void StopExchange();
  void ForgetExchange() { this->exchange = 0; }

  // Rings once; a later call replaces an earlier one.
  void SetPhaseTimer(Duration after, std::function<void()> on_timeout);
  void CancelPhaseTimer();

  void Finish(RelayEnd end, ResultCode code, int status);
  // Passes an endpoint's whole answer on, and ends.
  void ForwardAnswer(RelayEnd end,
                     int status,
                     const http::Headers& headers,
                     std::string body);
  // The headers of an endpoint's answer that its caller gets.
  http::Headers CallerHeaders(const http::Headers& headers) const;

  // A line of the log about this request.
  void Log(log::Level level,
           std::string_view event,
           const EndpointId& endpoint,
           std::vector<log::Field> fields,
           ResultCode code = ResultCode::kOk) const;

  RelayContext& context;
  RelayJob work;
  RelayOutcome outcome;
  std::vector<EndpointId> tried;

 private:
  void OnCallerGone();

  std::function<void(Relay&)> finished_hook;
  http::Client::ExchangeId exchange = 0;
  TimerId deadline_timer = 0;
  TimerId phase_timer = 0;
  Instant deadline;
  bool is_finished = false;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_RELAY_H_
