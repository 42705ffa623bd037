#ifndef RETRY_OUTLIER_EJECTION_H_
#define RETRY_OUTLIER_EJECTION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"

namespace acacialug::retry {

// Takes endpoints of one pool out of use that fail, or are slow beside the
// others, for a while. Slowness is judged against the pool's median and the
// share ejected is capped, so that a pool which is slow as a whole (a hot
// day, a slow store) is not ejected: that would turn slow into down. An
// endpoint that comes back is on probation: the first failure ejects it again
// for longer, a success ends the probation. Not thread safe.
class OutlierEjection {
 public:
  struct Options {
    std::uint32_t failures = 5;        // one after the other
    double slow_factor = 3.0;          // times the pool's median latency
    std::uint32_t least_samples = 10;  // of latency, before it is judged
    double most_ejected = 0.3;         // share of the pool; one of two at least
    Duration base = 5s;                // doubles with each ejection in a row
    Duration longest = 60s;
  };

  explicit OutlierEjection(Options ejection_options);

  // The endpoints of the pool; what is known of others is forgotten.
  void SetMembers(const std::vector<EndpointId>& members);

  void NoteSuccess(const EndpointId& endpoint);
  // `latency`: time of a piece of work as a multiple of the expected, or in
  // any unit that is the same for the whole pool.
  void NoteLatency(const EndpointId& endpoint, double latency);
  void NoteFailure(const EndpointId& endpoint, Instant now);

  // Ends ejections that are over and judges slowness. Call now and then
  // (each second). O(members). True when any endpoint's state changed.
  bool Sweep(Instant now);

  bool Ejected(const EndpointId& endpoint) const;
  std::size_t EjectedCount() const { return this->ejected; }

 private:
  struct Health {
    std::uint32_t failures = 0;
    std::uint32_t ejections = 0;  // in a row
    std::uint32_t samples = 0;
    double latency = 0;
    bool ejected = false;
    bool probation = false;
    Instant until{};
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
