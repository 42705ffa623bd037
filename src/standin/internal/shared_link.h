#ifndef STANDIN_INTERNAL_SHARED_LINK_H_
#define STANDIN_INTERNAL_SHARED_LINK_H_

#include <cstdint>
#include <map>
#include <vector>

#include "framework/global/types/instant.h"

namespace acacialug::standin {

// A link of limited rate that its transfers share equally. Not thread safe.
class SharedLink {
 public:
  explicit SharedLink(double bytes_per_second) : rate(bytes_per_second) {}

  // Each first advances the transfers to `now`.
  void Start(std::uint64_t id, double bytes, Instant now);
  void Cancel(std::uint64_t id, Instant now);
  void SetRate(double bytes_per_second, Instant now);

  // When the first transfer ends if none is added; kNever if the rate is zero.
  Instant next_end() const;

  // Removes the transfers that are complete by `now`, and returns their ids.
  std::vector<std::uint64_t> TakeEnded(Instant now);

 private:
  void AdvanceClock(Instant now);

  double rate;
  Instant moved_to;
  std::map<std::uint64_t, double> remaining;  // bytes
};

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_SHARED_LINK_H_
