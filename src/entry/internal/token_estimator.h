#ifndef ENTRY_INTERNAL_TOKEN_ESTIMATOR_H_
#define ENTRY_INTERNAL_TOKEN_ESTIMATOR_H_

#include <cstdint>

namespace acacialug::entry {

// Guesses how many tokens a prompt has before any engine saw it: bytes / 4,
// corrected by the ratio that the engines' own counts have shown. Not thread
// safe.
class TokenEstimator {
 public:
  std::uint64_t Estimate(std::uint64_t bytes) const;

  // An engine counted `tokens` for a prompt of that many bytes.
  void Learn(std::uint64_t bytes, std::uint64_t tokens);

 private:
  double ratio = 1.0;
};

}  // namespace acacialug::entry

#endif  // ENTRY_INTERNAL_TOKEN_ESTIMATOR_H_
