#ifndef GATEWAY_INTERNAL_STREAM_RELAY_H_
#define GATEWAY_INTERNAL_STREAM_RELAY_H_

#include <optional>
#include <string>
#include <string_view>

#include "gateway/event_splitter.h"
#include "gateway/internal/relay.h"
#include "gateway/internal/reservation_request.h"
#include "gateway/internal/run_query.h"

namespace acacialug::gateway {

// A stream, or any request to a service with an engine, which is prefilled at
// one endpoint and decoded at another. Nothing counts as run before the decode
// endpoint is sent the request, so that any failure before that is refused as
// not run.
//
// The route's kind and the answer's head decide what the answer is. Events are
// forwarded as they arrive; a stream that breaks off is continued at another
// endpoint if its route allows it, and is otherwise aborted, so that it does
// not look complete. Any other answer is forwarded unchanged once it is whole.
class StreamRelay : public Relay {
 public:
  using Relay::Relay;

  bool TryPlace() override;

  std::uint64_t kv_tokens() const;

  // Whether the service has an engine. Without one, a stream is placed as a
  // plain request is, and doesn't wait for capacity.
  bool has_engine() const { return this->work.Engine() != nullptr; }

  // A retry after a refusal, whose answer is late whenever it begins.
  bool late() const { return this->work.is_retry; }

  // Whether anything was computed or sent for the generation, by this attempt
  // or by the one that it continues.
  bool resumed() const {
    return this->outcome.prefills > 0 || this->outcome.sends > 0 ||
           this->version.has_value();
  }

  // The level at which it competes for places; a late one is the least urgent.
  std::uint32_t Urgency() const;

  // Places of the pool that it leaves to more urgent requests.
  std::size_t KeptPlaces() const;

  // Ends the relay if its request is quarantined, and returns whether it did.
  bool EndIfQuarantined();

  // Ends a generation whose wait for another placement has reached its maximum.
  void GiveUpWaiting() { this->GiveUp(ResultCode::kNoDecodeMemory); }
  // Ends a stream that no endpoint of a service without an engine can take now.
  void GiveUpUnplaced();

  void EndUnanswered() override;

 protected:
  void OnDeadline() override;
  void OnAnswerTooLong() override;
  void Release() override;

 private:
  // Maximum number of requests of one generation to decode endpoints.
  static constexpr std::uint32_t kMaxSends = 4;

  std::shared_ptr<StreamRelay> Self();
  GenerationSize Size() const;
  // 0 if the service has no engine.
  std::uint32_t TokensPerEvent() const;
  // Of the stream, from all attempts.
  std::uint64_t TokensMade() const;
  // Whether the prompt is computed, and no decode endpoint was sent it.
  bool has_prompt() const { return this->prefilled && !this->decode_open; }
  // Whether memory is reserved at an endpoint before it is sent the request.
  bool Reserves() const;

  void Take(const StreamPlacement::Placement& chosen);
  // Sets the number of prompt tokens that the decode endpoint still has to
  // compute, which delays other streams there meanwhile.
  void CountLocalPrefill(std::uint64_t tokens);
  void ReleasePrefill();
  void ReleaseDecode();
  void ReleaseExport();
  void ReleaseReservation();
  // An empty name means no reservation.
  void ReleaseReservationAt(const EndpointRecord& decode,
                            const std::string& name);

  // Reserves decode memory before anything is computed for the generation.
  void Reserve();
  void OnReserveRefused(ReservationAnswer answer);
  void AfterReserve();
  // Empty when no endpoint has capacity, other than those that are avoided,
  // were tried, or were found full. A computed prompt stays where it is, and
  // only endpoints of its version can decode it.
  std::optional<StreamPlacement::Placement> FindPlacement(
      std::vector<EndpointId> avoided);
  // The same at a service without an engine.
  std::optional<StreamPlacement::Placement> FindPlainPlacement(
      const std::vector<EndpointId>& avoided);
  // `on_done` runs only while this relay exists.
  void RequestReservation(const StreamPlacement::Placement& at,
                          ReservationRequest::Done on_done);
  void CancelReservationRequest();
  // Records that the endpoint of the latest request refused. Returns false when
  // this round may try no more endpoints.
  bool NoteRefused(ReservationAnswer answer);
  void EndRound();
  void StartPrefill();
  void OnPrefillComplete(AnswerNature nature, const std::string& body);
  void LearnFromPrefill(Duration took);
  // The prefill failed; the request has not run.
  void AfterPrefill(std::string_view why);

  void StartDecode(WorkStep step);
  void OnDecodeHead(int status, const http::Headers& head);
  void OnDecodeData(std::string_view data);
  // Data of an answer that is forwarded once it is whole.
  void OnCollectedData(std::string_view data);
  // The bytes that the endpoint sent and that no caller has received: of an
  // event that is not complete, or of an answer that is not whole.
  std::size_t incomplete_bytes() const;
  void DropIncomplete();
  bool DeliverEvent(const StreamEvent& event);
  void NoteProgress();
  void NoteVersion();
  // The stream takes the version of the endpoint that sends its first event.
  // Returns false, and ends the attempt, if another version may run there.
  bool TakeVersion(const StreamEvent& event);
  void LearnFromEvent();
  // Updates the forecast of the service's engines by the time of this event.
  void LearnOfEngine();
  // The same for the length of answers, when the stream has ended whole.
  void LearnFromLength();
  // Time without data after which the stream is considered lost.
  Duration ResponseTimeout() const;
  // Half of the gap between events after which callers abandon the stream.
  Duration HalfOfMaxGap() const;
  // For how long the endpoint's report on a stream that ended is awaited.
  Duration EndPatience() const;
  // Sends the head of the answer to the caller.
  void BeginAnswer();
  // Whether a stream that ended with its connection ended too early.
  bool BrokeOff() const;
  void OnDecodeEnd();
  void OnDecodeLost(const Error& error, bool sent);
  // Whether another endpoint may run or continue the generation.
  bool MayResume() const;
  void StartResponseTimer();
  void OnResponseTimeout();
  // Notes and logs that the attempt's answer broke off.
  void NoteAttemptLost(const Error& error, bool sent);
  // Whether the route and the repeat budget allow another run elsewhere.
  bool MayMigrate();
  // The same for an attempt that is over, and whether an endpoint is left.
  bool MayGoOn();
  // Requests memory at other endpoints while the stream stays at its own.
  void RequestElsewhere();
  void OnElsewhereAnswer(ReservationAnswer answer, const std::string& name);
  void EndMigration();
  // Asks the decode endpoint for the attempt. `on_done` runs only while this
  // relay exists; endpoint and request of `options` are set here.
  void QueryRun(RunQuery::Options options, RunQuery::Done on_done);
  // Leaves the stream's endpoint, to go on where memory was granted once the
  // endpoint has let go of the stream, says that it does not run there, or does
  // not answer. A stream that runs on stays.
  void LeaveFor(const StreamPlacement::Placement& granted,
                const std::string& name);
  // The endpoint that was left has ended its answer, or has broken it off.
  void OnLeft();
  void OnLeftLost();
  void OnRunQueried(const RunAnswer& answer);
  void LogRunQueried(const RunAnswer& answer) const;
  void OnEndConfirmed(const EndConfirmation::Outcome& confirmed);
  void EndWhole();
  // Forwards an answer that was collected.
  void ForwardCollected();
  // Stops the stream at its endpoint, and continues it where memory was
  // granted.
  void Migrate();

  // Whether the next step may be sent to its endpoint (BarBefore). If not, the
  // generation is placed elsewhere, or ends.
  bool MaySend(const EndpointRecord& endpoint, std::uint32_t uncovered);
  void MoveFrom(const EndpointRecord& endpoint, SendBar bar);
  // Whether the prompt may be computed, for the first time or again.
  bool MayComputePrompt();
  // Whether a computed prompt may be gone before an endpoint can fetch it.
  bool PromptMayLapse() const;
  // Releases a computed prompt that no endpoint decodes. Returns false, and
  // ends the relay, if the prompt may not be computed again.
  bool DropPrompt();
  // Hands the generation back, to wait for capacity.
  void WaitForPlace();
  void AfterNotRun();
  // The attempt was sent and is over here, and may go on at its endpoint. Every
  // further run of the request begins by one of these, or by Migrate: the first
  // waits until the endpoint has let go of the attempt, as the second knows.
  void AfterRun(ResultCode code);
  void AfterRunEnded(ResultCode code);
  void EndAttempt();
  void GoOnElsewhere(ResultCode code);
  // Covers what another placement sends beyond the first arrival.
  bool TakeRepeat();
  // Places the generation again, now or when capacity is free.
  void PlaceAgain();
  void GiveUp(ResultCode code);
  // Zero: retries are of no use.
  Duration RetryDelay(ResultCode code);

  std::optional<StreamPlacement::Placement> placement;
  std::optional<PrefillExport> prefilled;
  std::string reservation;  // at the decode endpoint, not used yet
  // The latest; may have ended.
  std::shared_ptr<ReservationRequest> reservation_request;

  std::vector<EndpointId> full;    // refused a reservation in this round
  std::uint32_t full_answers = 0;  // in this round
  Instant placed_at;
  Instant step_at;
  Instant prompt_at;          // when the prompt was computed
  bool prefill_held = false;  // its load is in the load table
  bool decode_held = false;
  EventSplitter splitter;
  AnswerNature nature = AnswerNature::kUnproven;
  int status = 0;
  http::Headers headers;
  // The attempt's answer is a series of events; any other one is collected.
  bool has_events = false;
  std::string collected;
  bool attempt_reserved = false;  // the attempt had a reservation
  bool decode_open = false;       // the request was sent and has not ended
  // Data of the attempt arrived after its response timeout.
  bool received_since_timeout = false;
  struct Departure {
    StreamPlacement::Placement to;
    std::string reservation;  // there; may be empty
  };
  std::optional<Departure> departure;
  std::shared_ptr<RunQuery> run_query;  // the latest; may have ended
  // The attempt's endpoint was told that its caller leaves.
  bool left = false;
  bool begun = false;                       // the head was sent to the caller
  std::optional<std::uint64_t> last_event;  // the greatest id
  // The event of an earlier attempt that the attempt under way goes on after.
  std::optional<std::uint64_t> continued_after;
  bool received_event = false;  // with content, from any attempt
  // An event with content had no id, or none that is greater than the last.
  bool unnumbered = false;
  Instant event_at{};  // when the last event arrived
  // The decode endpoint computed a prompt at that time.
  bool prefill_at_last_event = false;
  std::uint32_t attempt_events = 0;  // of the attempt under way
  bool answering = false;  // the attempt brought an event with content
  std::uint32_t runs = 0;  // attempts without a proof that they did not run
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_STREAM_RELAY_H_
