#ifndef GATEWAY_TESTS_LIMIT_FLEET_H_
#define GATEWAY_TESTS_LIMIT_FLEET_H_

#include <cstddef>
#include <map>
#include <memory>
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
};

// The users' bound: requests that the endpoint may get in a window.
inline constexpr Duration kLimitWindow = 4s;
inline constexpr double kLimitFactor = 1.5;
inline constexpr double kLimitSpare = 5;

// Gateways in virtual time whose requests go to three endpoints, one of which
// names a limit in its answers from kLimitBegin on.
class LimitFleet {
 public:
  static constexpr Duration kLimitBegin = 5s;

  explicit LimitFleet(const LimitCase& limit_case);

  void Run(Duration duration);

  // The largest number of requests that the endpoint got in a window from
  // gateways that knew its limit, as a share of what the users allow.
  double fullest_window() const;
  // Requests that the limited endpoint got since `from`, of any gateway.
  std::size_t sent_since(Duration from) const;
  std::size_t refused() const;

 private:
  struct Process {
    std::unique_ptr<GatewaySimulation> gateway;
    Instant limit_known_at = kNever;  // by an answer that it passed on
    std::map<http::Client::ExchangeId, Instant> answers_due;
  };
  struct Arrival {
    Instant at;
    std::size_t process = 0;
  };

  void Start(std::size_t number);
  void SendHeartbeats();
  void SendRequests();
  void Answer(std::size_t number);
  http::Headers AnswerOf(const Process& process, const Call& call) const;
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
