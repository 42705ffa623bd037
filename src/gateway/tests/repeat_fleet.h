#ifndef GATEWAY_TESTS_REPEAT_FLEET_H_
#define GATEWAY_TESTS_REPEAT_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "framework/global/random_source.h"
#include "gateway/tests/gateway_simulation.h"
#include "gateway/tests/timeline.h"

namespace acacialug::gateway::testing {

// A span of a run, in time since its start.
struct Span {
  Duration from{};
  Duration to{};
};

// The faults of endpoints and gateways.
struct RepeatCase {
  std::string name;
  std::size_t processes = 5;
  Duration duration = 20s;
  double requests_per_second = 3.5;  // at each gateway
  double burst_factor = 1;           // on it, within `trouble`
  Span trouble{0s, 20s};
  double reject_share = 0;  // of prefills and runs
  double lose_share = 0;    // of runs, whose connections break
  Span busy{};              // endpoints refuse three of four reservations
  // Gateways that are killed at each of these times, and start half a second
  // later.
  double kill_share = 0;
  std::vector<Duration> kills;
  // Gateways that receive nothing from peers or the list of members.
  bool isolated = false;
  std::uint64_t seed = 1;
};

// The users' terms.
inline constexpr double kRepeatShare = 0.2;
inline constexpr double kRepeatExtra = 58;
inline constexpr Duration kRepeatWindow = 10s;

// Gateways in virtual time that share a service's endpoints and repeat budget.
// Counts repeats as endpoints do, message by message.
class RepeatFleet {
 public:
  explicit RepeatFleet(const RepeatCase& repeat_case);

  void Run();

  // The largest number of repeats in a window, as a share of what is allowed.
  double fullest_window() const;
  // Repeats by the message that was one: its step, and whether it was rejected.
  const std::map<std::string, std::size_t>& repeats_by_message() const {
    return this->repeat_messages;
  }
  double served_share() const;

 private:
  struct Request {
    std::size_t arrivals = 0;
    bool prefill_accepted = false;
  };

  void Start(std::size_t number);
  void KillSome();
  void Arrive();
  void Heartbeat();
  void OnCall(std::size_t number, const std::shared_ptr<Call>& call);
  void Answer(const std::weak_ptr<GatewaySimulation>& at,
              const std::shared_ptr<Call>& call,
              bool rejected);
  void Decode(const std::weak_ptr<GatewaySimulation>& at,
              const std::shared_ptr<Call>& call);
  void Count(const std::shared_ptr<Call>& call, bool rejected);
  bool Within(const Span& span) const;
  std::size_t RequestsIn(Instant from) const;

  const RepeatCase options;
  Timeline time{Instant(1h)};
  RandomSource random;
  std::vector<std::shared_ptr<GatewaySimulation>> all;
  std::vector<std::shared_ptr<testing::Answer>> answers;
  std::map<std::string, Request> requests;
  std::vector<Instant> sent_at;
  std::vector<Instant> repeats_at;
  std::map<std::string, std::size_t> repeat_messages;
};

}  // namespace acacialug::gateway::testing

#endif  // GATEWAY_TESTS_REPEAT_FLEET_H_
