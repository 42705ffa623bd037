#ifndef GATEWAY_INTERNAL_RESERVATION_ASK_H_
#define GATEWAY_INTERNAL_RESERVATION_ASK_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "framework/global/types/enum_names.h"
#include "gateway/internal/relay_context.h"

namespace acacialug::gateway {

// What a decode endpoint said to a request for memory.
enum class ReservationAnswer {
  kGranted,
  kFull,
  kUnwilling,  // though it cannot be full: it leaves, or changes its role
  kLost,
  kSilent,
};
inline constexpr EnumNames<ReservationAnswer, 5> kReservationAnswerNames = {
    {{ReservationAnswer::kGranted, "granted"},
     {ReservationAnswer::kFull, "full"},
     {ReservationAnswer::kUnwilling, "unwilling"},
     {ReservationAnswer::kLost, "lost"},
     {ReservationAnswer::kSilent, "silent"}}};

// Asks one decode endpoint to set memory aside, and notes what its answer tells
// of it. Lives on the core's thread; not thread safe.
class ReservationAsk : public std::enable_shared_from_this<ReservationAsk> {
 public:
  // `name` is the reservation's; empty unless granted.
  using Done = std::function<void(ReservationAnswer answer, std::string name)>;

  // `relay_context` outlives this object. Precondition: the dialect has
  // write_reserve.
  ReservationAsk(RelayContext& relay_context, StreamPlacement::Place asked);

  // Call it once. `on_done` runs once, unless Cancel comes first.
  void Begin(Done on_done);
  // What is granted later lapses at the endpoint. Safe to repeat.
  void Cancel();

  const StreamPlacement::Place& place() const { return this->asked_place; }
  Duration Age() const { return this->Now() - this->begun_at; }

 private:
  Instant Now() const { return this->context.hooks.now(); }
  void OnAnswer(int status, std::string_view body);
  void OnLost(bool sent);
  void OnSilent();
  void End(ReservationAnswer answer, std::string name = {});

  RelayContext& context;
  const StreamPlacement::Place asked_place;
  Done done;
  Instant begun_at;
  http::Client::ExchangeId exchange = 0;
  AlarmId alarm = 0;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_RESERVATION_ASK_H_
