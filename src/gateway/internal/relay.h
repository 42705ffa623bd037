#ifndef GATEWAY_INTERNAL_RELAY_H_
#define GATEWAY_INTERNAL_RELAY_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "gateway/arrival_count.h"
#include "gateway/internal/end_confirmation.h"
#include "gateway/internal/relay_context.h"

namespace acacialug::gateway {

// Why a request is not sent to the endpoint where it was placed.
enum class SendBar {
  kNone,
  kQuarantined,  // the request is, or a part of its prompt
  kLeaves,       // the endpoint has begun to leave, or has ended
  kReplaced,     // another process or software version runs under its id
  kRests,        // it has asked for rest
  kUncovered,    // the repeat budget does not allow it
};
inline constexpr EnumNames<SendBar, 6> kSendBarNames = {
    {{SendBar::kNone, "none"},
     {SendBar::kQuarantined, "quarantined"},
     {SendBar::kLeaves, "leaves"},
     {SendBar::kReplaced, "replaced"},
     {SendBar::kRests, "rests"},
     {SendBar::kUncovered, "uncovered"}}};

// The common part of all relays: a request, its deadline, at most one exchange
// with an endpoint, and one final answer. A relay is kept alive by the hooks
// that it waits for; `on_finished` runs once, at its end.
class Relay : public std::enable_shared_from_this<Relay> {
 public:
  Relay(RelayContext& relay_context, RelayJob relay_job);
  virtual ~Relay() = default;
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Starts to watch the caller and the deadline. Must be called once, before
  // all other methods.
  void Begin(std::function<void(Relay&)> on_finished);

  // Tries to place the request and to continue. Returns false when there is no
  // placement now; nothing was sent then.
  virtual bool TryPlace() = 0;

  // The stream that the request continues began at this version: it goes on at
  // endpoints of this version only.
  void SetVersion(origin::VersionKey began_at) { this->version = began_at; }
  // Whether the stream has a version, and no endpoint of this version takes
  // work that runs.
  bool VersionGone() const;
  // Places the request at another service of its route from now on.
  void SetService(const ServiceName& service,
                  const ServiceTraits& traits,
                  ServiceState& state);

  // Ends the request with the gateway's own answer. Precondition: no part of an
  // answer was sent.
  void Refuse(ResultCode code, Duration retry_after);

  // The process ends soon: answers the request, unless an answer has begun. It
  // may have run; then its outcome is unknown.
  virtual void EndUnanswered() = 0;

  const RelayJob& job() const { return this->work; }
  const RelayOutcome& result() const { return this->outcome; }
  bool finished() const { return this->is_finished; }
  Duration Age() const;
  // The time until the caller's deadline or the route's timeout, whichever is
  // earlier; never negative.
  Duration TimeLeft() const;
  // Whether the request is a stream whose next endpoint can only be one of a
  // version that is not introduced yet (StreamOrigins::Introduced).
  bool AwaitsIntroduction() const;

 protected:
  // The deadline has passed.
  virtual void OnDeadline() = 0;
  // Releases what the relay holds. Runs once, at the end.
  virtual void Release() = 0;

  // Response timeout after which a plain request that may run again is sent to
  // another endpoint, as a multiple of its objective. A healthy endpoint
  // answers in under twice the objective at the worst (work of at most 220 ms
  // for an objective of 150 ms).
  static constexpr double kResponseTimeoutObjectives = 2.5;
  // Retry-After when a service without an engine has no free capacity or no
  // endpoint.
  static constexpr Duration kRetrySoon = 300ms;

  Instant Now() const { return this->context.hooks.now(); }
  bool MayRunAgain() const {
    return gateway::MayRunAgain(this->work.route->kind);
  }

  // Those of the service's endpoints that take work, and of the stream's
  // version if it has one. A stream that begins, and may resume, has those of
  // versions that have been known for long enough (StreamOrigins::Introduced).
  std::vector<const EndpointRecord*> AvailableEndpoints() const;
  bool HasVersion(const EndpointRecord& endpoint) const;
  // Whether the next event is the first of a stream that may be continued.
  bool BeginsResumable() const {
    return this->work.route->kind == WorkKind::kResumableStream &&
           !this->version;
  }
  // Notes the endpoint as that of the stream's first event, before it is sent.
  void NoteOrigin(const EndpointRecord& endpoint);

  void SendTo(const EndpointRecord& endpoint,
              const WorkOrder& order,
              http::ExchangeHooks hooks);
  // What proves that the latest send did not run, for the log: the nature of
  // the endpoint's answer, or `unsent` if there is none.
  static std::string_view ProofName(AnswerNature nature) {
    return nature == AnswerNature::kUnproven
               ? "unsent"
               : NameOf(kAnswerNatureNames, nature);
  }
  // The exchange with this endpoint failed. `sent`: part of the request may
  // have arrived; `nature`: of the received head, if any; `answering`: an
  // answer had begun.
  void NoteLost(const EndpointRecord& endpoint,
                const Error& error,
                bool sent,
                AnswerNature nature,
                bool answering = false);
  // Whether the request must not be sent to any endpoint, because endpoints
  // ended under it or under a part of its prompt, here or at peers. Must be
  // checked before each send, since peers report at any time.
  bool Quarantined() const;
  // Zero: the request is not quarantined.
  Duration QuarantineLeft() const;
  // Why a request must not be sent to this endpoint, where it was placed
  // before. Takes the repeats that are not covered (CoverRepeats) if nothing
  // else is in the way. Must precede each send: the endpoint or the quarantine
  // may have changed since.
  SendBar BarBefore(const EndpointRecord& endpoint, std::uint32_t uncovered);
  // Takes as many repeats of this request from the budget of its service as
  // are not covered yet (ArrivalCount). Returns false, and takes none, if the
  // budget doesn't allow all of them. Must precede each send that may be a
  // repeat.
  bool CoverRepeats(std::uint32_t uncovered);
  // Cancels the exchange under way; none of its hooks runs after that.
  void StopExchange();
  void ForgetExchange() { this->exchange = 0; }
  // Ends what this process sends on the connection of the exchange under way.
  void EndSending() { this->context.hooks.end_sending(this->exchange); }
  // Sets the memory that the answer takes here. May run OnAnswerTooLong, of
  // this relay or of another one.
  void HoldAnswer(std::size_t bytes);
  // The answer takes too much memory and must be given up. Runs only while it
  // holds bytes.
  virtual void OnAnswerTooLong() = 0;

  // Fires once; a later call replaces an earlier one.
  void SetPhaseTimer(Duration after, std::function<void()> on_timeout);
  void CancelPhaseTimer();

  void Finish(RelayEnd end, ResultCode code, int status);
  // The head of an answer without length or chunks arrived, to a request that
  // was sent to the endpoint at `sent_at`.
  void NoteUnframed(const EndpointRecord& endpoint,
                    AnswerNature nature,
                    Instant sent_at);
  // Finds out whether such an answer, a success whose connection has ended in
  // order, is whole. `on_done` does not run once the relay sends again, ends,
  // or drops the question.
  void ConfirmEnd(Duration patience, EndConfirmation::Done on_done);
  void DropConfirmation();
  // Forwards an endpoint's whole answer, and ends the relay.
  void ForwardAnswer(RelayEnd end,
                     int status,
                     const http::Headers& headers,
                     std::string body);
  // Forwards an endpoint's own failure, and ends the relay. A status that would
  // promise that the request did not run is not forwarded if it may run only
  // once: the outcome is unknown to the caller then.
  void ForwardFailure(int status,
                      const http::Headers& headers,
                      std::string body);
  // The headers of an endpoint's answer that are forwarded to the caller.
  http::Headers CallerHeaders(const http::Headers& headers) const;

  // The parts of the prompt that others may share, and their keys, for the log.
  std::string PartsText() const;
  std::string PartKeysText() const;
  // Writes a log entry about this request.
  void Log(log::Level level,
           std::string_view event,
           const EndpointId& endpoint,
           std::vector<log::Field> fields,
           ResultCode code = ResultCode::kOk) const;

  RelayContext& context;
  RelayJob work;
  RelayOutcome outcome;
  ArrivalCount arrivals;
  std::vector<EndpointId> tried;
  std::vector<http::Address> sent_to;
  bool new_connection = false;  // of the latest send, which was a return
  // At which the stream began; empty before its first event.
  std::optional<origin::VersionKey> version;
  // The answer under way has neither a length nor chunks. What is forwarded of
  // it claims no more: it is unframed as well.
  bool unframed = false;

 private:
  void OnCallerGone();

  std::function<void(Relay&)> finished_hook;
  http::Client::ExchangeId exchange = 0;
  std::shared_ptr<EndConfirmation> confirmation;  // of the answer under way
  AnswerMemory::AnswerId held_answer = 0;
  TimerId deadline_timer = 0;
  TimerId phase_timer = 0;
  Instant deadline;
  bool is_finished = false;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_RELAY_H_
