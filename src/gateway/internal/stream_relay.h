#ifndef GATEWAY_INTERNAL_STREAM_RELAY_H_
#define GATEWAY_INTERNAL_STREAM_RELAY_H_

#include <optional>
#include <string>
#include <string_view>

#include "gateway/event_splitter.h"
#include "gateway/internal/relay.h"
#include "gateway/internal/reservation_ask.h"

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
  bool late() const { return this->work.returned; }

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
  static constexpr std::uint32_t kMostSends = 4;

  std::shared_ptr<StreamRelay> Self();
  GenerationSize Size() const;

  void Take(const StreamPlacement::Place& chosen);
  // How much of a prompt its decode endpoint has to compute yet: others are
  // held up meanwhile.
  void CountOwnPrompt(std::uint64_t tokens);
  void GivePrefillBack();
  void GiveDecodeBack();
  void GiveExportBack();
  void GiveReservationBack();
  // An empty name is none.
  void GiveBack(const EndpointRecord& decode, const std::string& name);

  // Sets decode memory aside before anything is computed for it.
  void Reserve();
  void OnReserveRefused(ReservationAnswer answer);
  void AfterReserve();
  // Empty: no endpoint has room but those avoided, tried, or found full.
  std::optional<StreamPlacement::Place> FindPlace(
      std::vector<EndpointId> avoided);
  // `on_done` runs while this relay lives.
  void Ask(const StreamPlacement::Place& at, ReservationAsk::Done on_done);
  void StopAsking();
  // The endpoint asked last refused; false: enough were asked in this round.
  bool NoteRefused(ReservationAnswer answer);
  void EndRound();
  void StartPrefill();
  void OnPrefillWhole(AnswerNature nature, const std::string& body);
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
  Duration SilencePatience() const;
  void OnDecodeEnd();
  void OnDecodeLost(const Error& error, bool sent);
  void WatchForSilence();
  void OnSilent();
  // Its route and the budget of repeats allow it to go on elsewhere.
  bool MayMove();
  // Asks other endpoints for memory while the stream stays where it is.
  void AskElsewhere();
  void OnAskedElsewhere(ReservationAnswer answer, const std::string& name);
  void EndMove();
  // Stops the stream where it is, and goes on where memory was granted.
  void MoveTo(const StreamPlacement::Place& granted, const std::string& name);

  // Ends it if its request is quarantined; true: it is over.
  bool EndIfQuarantined();
  void AfterNotRun();
  void AfterRun(ResultCode code);
  // Takes another decode, and another prefill if there was one, from the
  // budget: both arrive at endpoints beyond the first time.
  std::uint32_t RepeatsOfAMove() const;
  bool TakeRepeat();
  // Takes another place, now or when there is one.
  void GoOn();
  void GiveUp(ResultCode code);

  std::optional<StreamPlacement::Place> place;
  std::optional<PrefillExport> prefilled;
  std::string reservation;  // at the decode endpoint, not used yet
  std::shared_ptr<ReservationAsk> asking;  // the latest; may be over
  bool was_prefilled = false;
  std::vector<EndpointId> full;  // refused a reservation in this round
  std::uint32_t found_full = 0;  // in this round
  Instant placed_at;
  Instant step_at;
  bool prefill_held = false;  // its load is in the book
  bool decode_held = false;
  EventSplitter splitter;
  AnswerNature nature = AnswerNature::kUnproven;
  int status = 0;
  http::Headers headers;
  std::string failure_body;
  bool reserved_here = false;       // the attempt had memory set aside for it
  bool decode_open = false;         // asked, and not over
  bool heard_since_silent = false;  // of the attempt that was taken for silent
  bool begun = false;               // the caller has the head
  std::optional<std::uint64_t> last_event;
  Instant event_at{};             // when it came
  bool prompt_there = false;      // a prompt was computed there at that time
  std::uint32_t events_here = 0;  // of the attempt under way
  std::uint32_t runs = 0;  // attempts without a proof that they did not run
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_STREAM_RELAY_H_
