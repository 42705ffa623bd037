#ifndef ENTRY_INTERNAL_TOKEN_ESTIMATOR_H_
#define ENTRY_INTERNAL_TOKEN_ESTIMATOR_H_

#include <cstdint>

namespace acacialug::entry {

// Estimates the number of a prompt's tokens before an engine counts them:
// bytes / 4, corrected by the ratio observed in the engines' counts. Not thread
// safe.
class TokenEstimator {
 public:
  std::uint64_t Estimate(std::uint64_t bytes) const;

  // An engine counted `tokens` for a prompt of `bytes` bytes.
  void Learn(std::uint64_t bytes, std::uint64_t tokens);

 private:
  double ratio = 1.0;
};

}  // namespace acacialug::entry

#endif  // ENTRY_INTERNAL_TOKEN_ESTIMATOR_H_
