#ifndef GATEWAY_INTERNAL_RESERVATION_REQUEST_H_
#define GATEWAY_INTERNAL_RESERVATION_REQUEST_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "framework/global/types/enum_names.h"
#include "gateway/internal/relay_context.h"

namespace acacialug::gateway {

// The result of a request for memory at a decode endpoint.
enum class ReservationAnswer {
  kGranted,
  kFull,
  // The endpoint cannot be full: it leaves, or changes its role.
  kUnexpectedRefusal,
  kLost,
  kTimedOut,
};
inline constexpr EnumNames<ReservationAnswer, 5> kReservationAnswerNames = {
    {{ReservationAnswer::kGranted, "granted"},
     {ReservationAnswer::kFull, "full"},
     {ReservationAnswer::kUnexpectedRefusal, "unwilling"},
     {ReservationAnswer::kLost, "lost"},
     {ReservationAnswer::kTimedOut, "silent"}}};

// Requests a reservation of memory from one decode endpoint, and records what
// the answer shows about the endpoint's health. Runs on the core's thread; not
// thread safe.
class ReservationRequest
    : public std::enable_shared_from_this<ReservationRequest> {
 public:
  // `name` identifies the reservation; empty unless granted.
  using Done = std::function<void(ReservationAnswer answer, std::string name)>;

  // `relay_context` outlives this object. Precondition: the dialect has
  // write_reserve.
  ReservationRequest(RelayContext& relay_context,
                     StreamPlacement::Placement requested);

  // Must be called once. `on_done` runs once, unless Cancel is called first.
  void Begin(Done on_done);
  // A reservation that is granted after this lapses at the endpoint. May be
  // called repeatedly.
  void Cancel();

  const StreamPlacement::Placement& placement() const {
    return this->requested_placement;
  }
  Duration Age() const { return this->Now() - this->begun_at; }

 private:
  Instant Now() const { return this->context.hooks.now(); }
  void OnAnswer(int status, std::string_view body);
  void OnLost(bool sent);
  void OnResponseTimeout();
  void End(ReservationAnswer answer, std::string name = {});

  RelayContext& context;
  const StreamPlacement::Placement requested_placement;
  Done done;
  Instant begun_at;
  http::Client::ExchangeId exchange = 0;
  TimerId timer = 0;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_RESERVATION_REQUEST_H_
