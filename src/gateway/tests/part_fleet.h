#ifndef GATEWAY_TESTS_PART_FLEET_H_
#define GATEWAY_TESTS_PART_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "framework/global/random_source.h"
#include "gateway/tests/gateway_simulation.h"
#include "gateway/tests/timeline.h"

namespace acacialug::gateway::testing {

// Endpoints that end by themselves, at one time.
struct Wave {
  Duration at{};
  double share = 0;
};

// The requests, and the faults of endpoints and gateways.
struct PartCase {
  std::string name;
  std::size_t processes = 5;
  Duration duration = 24s;
  double sound_per_second = 2;   // at each gateway
  double deadly_per_second = 2;  // at all gateways together
  // Parts that end each endpoint that begins an answer on them, from
  // `deadly_from` on; before, requests with them are sound.
  std::vector<std::string> deadly_parts = {"deadly"};
  Duration deadly_from = 6s;
  // The position of the deadly part in its requests' prompts.
  std::size_t position = 1;
  // Requests that come as many at once as there are gateways, one at each.
  bool in_bursts = false;
  std::vector<Wave> waves;
  // Gateways that are all killed at this time, and start half a second later.
  std::optional<Duration> kill_all_at;
  double loss_share = 0;  // of heartbeats
  // Gateways that are cut off from the others and from the store.
  std::size_t cut_off = 0;
  std::uint64_t seed = 1;
};

// Gateways in virtual time that share endpoints and report to each other the
// requests during which endpoints ended.
class PartFleet {
 public:
  explicit PartFleet(const PartCase& part_case);

  void Run();

  // The largest number of requests with one deadly part that endpoints received
  // later than the users' bound after the fifth end under it.
  std::size_t late_sends() const;
  std::size_t ends() const { return this->crashes; }
  // Sound requests that were refused as quarantined.
  std::size_t wrongly_refused() const;
  // Of the sound requests, those that share the first part of the deadly ones,
  // how many began an answer before the first end, and from twice the users'
  // bound after the fifth (or last) end.
  double begun_before() const;
  double begun_after() const;

 private:
  struct Process {
    std::shared_ptr<GatewaySimulation> gateway;
    Instant started_at{};
  };
  struct Request {
    std::vector<std::string> parts;
    Instant at{};
    bool deadly = false;
    std::string deadly_part;
    std::shared_ptr<testing::Answer> answer;
  };
  struct OpenCall {
    std::weak_ptr<GatewaySimulation> at;
    std::shared_ptr<Call> call;
  };

  void Start(std::size_t number);
  void AddEndpoint(EndpointRole role);
  void SendSound();
  void SendDeadly();
  void Send(std::size_t number, Request request);
  void SendHeartbeats(std::size_t number);
  void OnCall(std::size_t number, const std::shared_ptr<Call>& call);
  void Answer(std::size_t number,
              const std::string& endpoint,
              const std::shared_ptr<Call>& call);
  void Decode(const std::string& endpoint, const OpenCall& open);
  void End(const std::string& endpoint);
  void StrikeWave(const Wave& wave);
  void KillAll();
  std::string EndpointOf(std::size_t number,
                         const std::shared_ptr<Call>& call) const;
  const Request& RequestOf(const std::shared_ptr<Call>& call) const;
  double BegunShare(Instant from, Instant to) const;

  const PartCase options;
  Timeline time{Instant(1h)};
  RandomSource random;
  std::vector<Process> all;
  std::map<std::string, EndpointRole> endpoints;
  std::map<std::string, std::vector<OpenCall>> open_calls;  // by endpoint
  std::map<std::string, Request> requests;
  // Of quarantines, with the time of the last end.
  std::map<retry::RequestKey, std::pair<retry::CrashRecord, Instant>> stored;
  std::map<std::string, std::vector<Instant>> ends_at;  // by deadly part
  // When an endpoint last received each request, by deadly part and request.
  std::map<std::string, std::map<std::string, Instant>> sends_at;
  std::size_t crashes = 0;

  std::size_t endpoint_number = 0;
};

}  // namespace acacialug::gateway::testing

#endif  // GATEWAY_TESTS_PART_FLEET_H_
