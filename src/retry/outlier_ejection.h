#ifndef RETRY_OUTLIER_EJECTION_H_
#define RETRY_OUTLIER_EJECTION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"

namespace acacialug::retry {

// Temporarily ejects endpoints of one pool that fail, or that are slower than
// the others. Latency is compared with the pool's median and the ejected share
// is capped, so that a pool that is slow as a whole (a hot day, a slow store)
// stays in service: ejecting the pool would turn slow service into an outage.
// After an ejection an endpoint is on probation: the first failure ejects the
// endpoint again for longer, a success ends the probation. Not thread safe.
class OutlierEjection {
 public:
  struct Options {
    std::uint32_t failures = 5;      // consecutive
    double slow_factor = 3.0;        // times the pool's median latency
    std::uint32_t min_samples = 10;  // of latency, before latency is compared
    // Share of the pool; at least one endpoint of two or more.
    double max_ejected = 0.3;
    Duration base_duration = 5s;  // doubles with each consecutive ejection
    Duration max_duration = 60s;
  };

  explicit OutlierEjection(Options ejection_options);

  // Sets the endpoints of the pool and deletes the state of all others.
  void SetMembers(const std::vector<EndpointId>& members);

  void NoteSuccess(const EndpointId& endpoint);
  // `latency`: the time of an operation as a multiple of the expected time, or
  // in any unit that is the same for the whole pool.
  void NoteLatency(const EndpointId& endpoint, double latency);
  void NoteFailure(const EndpointId& endpoint, Instant now);

  // Ends expired ejections and ejects slow endpoints. Call periodically (each
  // second). O(members). Returns true when any endpoint's state changed.
  bool Sweep(Instant now);

  bool Ejected(const EndpointId& endpoint) const;
  std::size_t EjectedCount() const { return this->ejected; }

 private:
  struct Health {
    std::uint32_t failures = 0;
    std::uint32_t ejections = 0;  // consecutive
    std::uint32_t samples = 0;
    double latency = 0;
    bool ejected = false;
    bool probation = false;
    Instant ejected_until{};
  };

  void Eject(Health& health, Instant now);
  bool MayEject() const;
  double MedianLatency() const;

  Options options;
  std::map<EndpointId, Health> members;
  std::size_t ejected = 0;
};

}  // namespace acacialug::retry

#endif  // RETRY_OUTLIER_EJECTION_H_
