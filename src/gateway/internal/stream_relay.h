#ifndef GATEWAY_INTERNAL_STREAM_RELAY_H_
#define GATEWAY_INTERNAL_STREAM_RELAY_H_

#include <optional>
#include <string>
#include <string_view>

#include "gateway/event_splitter.h"
#include "gateway/internal/relay.h"
#include "gateway/internal/reservation_request.h"

namespace acacialug::gateway {

// A generation: prefilled at one endpoint, decoded at another, its events
// passed on as they come. Nothing runs before the decode endpoint is asked, so
// that all that fails before is refused as not run. A stream that breaks off is
// continued at another endpoint if its route allows it, and is cut off, so that
// it does not look whole, if not.
class StreamRelay : public Relay {
 public:
  using Relay::Relay;

  bool TryPlace() override;

  std::uint64_t kv_tokens() const;

  // It comes back after a refusal, and its answer is late whenever it begins.
  bool late() const { return this->work.is_retry; }

  // Something was computed or sent for it.
  bool resumed() const {
    return this->outcome.prefills > 0 || this->outcome.sends > 0;
  }

  // It has waited for another place for as long as it may.
  void GiveUpWaiting() { this->GiveUp(ResultCode::kNoDecodeMemory); }

 protected:
  void OnDeadline() override;
  void Release() override;

 private:
  // Requests of one generation to decode endpoints.
  static constexpr std::uint32_t kMaxSends = 4;

  std::shared_ptr<StreamRelay> Self();
  GenerationSize Size() const;

  void Take(const StreamPlacement::Placement& chosen);
  // How much of a prompt its decode endpoint has to compute yet: others are
  // held up meanwhile.
  void CountLocalPrefill(std::uint64_t tokens);
  void ReleasePrefill();
  void ReleaseDecode();
  void ReleaseExport();
  void ReleaseReservation();
  // An empty name is none.
  void ReleaseReservationAt(const EndpointRecord& decode,
                            const std::string& name);

  // Sets decode memory aside before anything is computed for it.
  void Reserve();
  void OnReserveRefused(ReservationAnswer answer);
  void AfterReserve();
  // Empty: no endpoint has room but those avoided, tried, or found full.
  std::optional<StreamPlacement::Placement> FindPlacement(
      std::vector<EndpointId> avoided);
  // `on_done` runs while this relay lives.
  void RequestReservation(const StreamPlacement::Placement& at,
                          ReservationRequest::Done on_done);
  void CancelReservationRequest();
  // The endpoint asked last refused; false: enough were asked in this round.
  bool NoteRefused(ReservationAnswer answer);
  void EndRound();
  void StartPrefill();
  void OnPrefillComplete(AnswerNature nature, const std::string& body);
  void LearnFromPrefill(Duration took);
  // The prefill came to nothing; the request has not run.
  void AfterPrefill(std::string_view why);

  void StartDecode(WorkStep step);
  void OnDecodeHead(int status, const http::Headers& head);
  void OnDecodeData(std::string_view data);
  bool DeliverEvent(const StreamEvent& event);
  void NoteProgress();
  // What the time of this event teaches of the service's engines.
  void LearnFromEvent();
  // Silence after which it is taken as lost.
  Duration ResponseTimeout() const;
  void OnDecodeEnd();
  void OnDecodeLost(const Error& error, bool sent);
  void StartResponseTimer();
  void OnResponseTimeout();
  // Its route and the budget of repeats allow it to go on elsewhere.
  bool MayMigrate();
  // Asks other endpoints for memory while the stream stays where it is.
  void RequestElsewhere();
  void OnElsewhereAnswer(ReservationAnswer answer, const std::string& name);
  void EndMigration();
  // Stops the stream where it is, and goes on where memory was granted.
  void MigrateTo(const StreamPlacement::Placement& granted,
                 const std::string& name);

  // Ends it if its request is quarantined; true: it is over.
  bool EndIfQuarantined();
  void AfterNotRun();
  void AfterRun(ResultCode code);
  // Takes another decode, and another prefill if there was one, from the
  // budget: both arrive at endpoints beyond the first time.
  std::uint32_t RepeatsOfMigration() const;
  bool TakeRepeat();
  // Takes another place, now or when there is one.
  void PlaceAgain();
  void GiveUp(ResultCode code);

  std::optional<StreamPlacement::Placement> placement;
  std::optional<PrefillExport> prefilled;
  std::string reservation;  // at the decode endpoint, not used yet
  std::shared_ptr<ReservationRequest>
      reservation_request;  // the latest; may be over
  bool was_prefilled = false;
  std::vector<EndpointId> full;    // refused a reservation in this round
  std::uint32_t full_answers = 0;  // in this round
  Instant placed_at;
  Instant step_at;
  bool prefill_held = false;  // its load is in the book
  bool decode_held = false;
  EventSplitter splitter;
  AnswerNature nature = AnswerNature::kUnproven;
  int status = 0;
  http::Headers headers;
  std::string failure_body;
  bool attempt_reserved = false;  // the attempt had memory set aside for it
  bool decode_open = false;       // asked, and not over
  bool received_since_timeout =
      false;           // of the attempt that was taken for silent
  bool begun = false;  // the caller has the head
  std::optional<std::uint64_t> last_event;
  Instant event_at{};  // when it came
  bool prefill_at_last_event =
      false;                         // a prompt was computed there at that time
  std::uint32_t attempt_events = 0;  // of the attempt under way
  std::uint32_t runs = 0;  // attempts without a proof that they did not run
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_STREAM_RELAY_H_
