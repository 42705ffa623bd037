#ifndef GATEWAY_ENDPOINT_PACES_H_
#define GATEWAY_ENDPOINT_PACES_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "framework/global/types/instant.h"

namespace acacialug::gateway {

// By how much longer than usual each endpoint takes for its work, as this
// process and its peers observe it. Usual is what the service's forecast
// expects of any endpoint; 1.5 stands for half as long again.
//
// Load pattern: endpoints of one service differ in speed by a factor of two and
// more, and change it. Prompts that a slow one computes are late, memory there
// is held longer, and its longest answers end after their deadline, so that all
// that was computed for them is lost. A process sends an endpoint one request
// in several seconds, so that it needs its peers' observations. Not thread
// safe.
class EndpointPaces {
 public:
  // Weight of one observation here, or of one peer's report.
  static constexpr double kNewestWeight = 0.1;
  // An own observation is reported to peers for this long.
  static constexpr Duration kReportedTime = 1s;
  // An endpoint without observation for this long counts as unknown: it may
  // have changed since.
  static constexpr Duration kMemory = 30s;
  // Fewer observations are no evidence of a pace.
  static constexpr std::uint32_t kMinObservations = 5;

  // A piece of work took `ratio` times the usual time. Ignored unless it is a
  // positive number. `endpoint_key`: LoadTable::KeyOf of its id.
  void Note(std::uint64_t endpoint_key, double ratio, Instant now);

  // What this process observed there lately, in a byte: 0 for nothing, else 16
  // steps for a factor of two.
  std::uint8_t Report(std::uint64_t endpoint_key, Instant now) const;
  // The endpoints with such a report.
  std::vector<std::uint64_t> Reported(Instant now) const;
  void NotePeer(std::uint64_t endpoint_key, std::uint8_t report, Instant now);

  // Empty if unknown.
  std::optional<double> RatioOf(std::uint64_t endpoint_key, Instant now) const;

  // The endpoint restarted under its id.
  void Forget(std::uint64_t endpoint_key);
  // Drops endpoints without an observation within kMemory.
  void Sweep(Instant now);
  std::size_t size() const { return this->states.size(); }

 private:
  struct Own {
    double ratio = 0;
    Instant at{};
  };
  struct State {
    double ratio = 0;  // as all processes see it
    std::uint32_t observations = 0;
    Instant at{};
  };

  static void Blend(double& mean, double observed);
  static bool IsReported(const Own& seen, Instant now);
  void Learn(std::uint64_t endpoint_key, double ratio, Instant now);

  std::unordered_map<std::uint64_t, State> states;
  // What this process itself observed; few of all endpoints, since older
  // observations are dropped.
  std::unordered_map<std::uint64_t, Own> owns;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_ENDPOINT_PACES_H_
