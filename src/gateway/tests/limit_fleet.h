#ifndef GATEWAY_TESTS_LIMIT_FLEET_H_
#define GATEWAY_TESTS_LIMIT_FLEET_H_

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "framework/global/random_source.h"
#include "gateway/tests/gateway_simulation.h"

namespace acacialug::gateway::testing {

// An endpoint that names a limit, and the gateways that use it.
struct LimitCase {
  std::string name;
  std::size_t processes = 5;
  double limit = 2.3;                  // requests per second
  double demand = 25;                  // requests per second, at all gateways
  std::string path = "/idempotent/a";  // of the requests
  std::string limited = "p0";          // the endpoint
  bool all_limited = false;            // the others of its service name it too
  double loss_share = 0;               // share of the heartbeats
  // From 7 s to 17 s the first gateway has no request.
  bool late_learner = false;
  // At 12 s the first gateway restarts.
  bool restart = false;
  // From 8 s to 18 s the first gateway exchanges no heartbeats.
  bool cut = false;
  // From 4.9 s to 9 s the first gateway is stalled. It then reads the
  // heartbeats before the answers that were written meanwhile.
  bool stall = false;
};

// The users' bound: requests that the endpoint may get in a window.
inline constexpr Duration kLimitWindow = 4s;
inline constexpr double kLimitFactor = 1.5;
inline constexpr double kLimitSpare = 5;

// Gateways in virtual time whose requests go to three endpoints of a service,
// one of which names a limit in its answers from kLimitBegin until kLimitEnd.
class LimitFleet {
 public:
  static constexpr Duration kLimitBegin = 5s;
  static constexpr Duration kLimitEnd = 30s;

  explicit LimitFleet(const LimitCase& limit_case);

  void Run(Duration duration);

  // The largest number of requests that the endpoint got in a window from
  // gateways that knew its limit, as a share of what the users allow.
  double fullest_window() const;
  // Requests that the limited endpoint got in a time, of any gateway.
  std::size_t SentBetween(Duration from, Duration until) const;
  std::size_t refused() const;

 private:
  struct PendingAnswer {
    Instant due;
    std::optional<http::Headers> written;  // by the endpoint, when it was due
  };
  struct Process {
    std::unique_ptr<GatewaySimulation> gateway;
    Instant limit_known_at = kNever;  // by an answer that it passed on
    std::map<http::Client::ExchangeId, PendingAnswer> answers;
    std::size_t rounds = 0;
  };
  struct Arrival {
    Instant at;
    std::size_t process = 0;
    bool excused = false;  // by a fault of its gateway
  };

  void Start(std::size_t number);
  void SendHeartbeats();
  void SendRequests();
  bool FaultAt(std::size_t number) const;
  bool Stalled(std::size_t number) const;
  void AdvanceProcesses();
  void Answer(std::size_t number);
  bool Between(Duration from, Duration until) const;
  bool NamesLimit(const Process& process, const Call& call) const;
  http::Headers WriteAnswer(const Process& process, const Call& call) const;
  bool Limited() const;

  const LimitCase options;
  RandomSource random{11};
  Instant now;
  std::vector<Process> all;
  std::vector<Arrival> arrivals;  // at the limited endpoint
  std::vector<std::shared_ptr<testing::Answer>> answers;
  Instant heartbeat_at;
  std::size_t requests = 0;
};

}  // namespace acacialug::gateway::testing

#endif  // GATEWAY_TESTS_LIMIT_FLEET_H_
