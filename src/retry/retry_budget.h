#ifndef RETRY_RETRY_BUDGET_H_
#define RETRY_RETRY_BUDGET_H_

#include <cstdint>

namespace acacialug::retry {

// Bounds retries to a share of recent successes. Without it a pool that fails
// under load gets each request several times, the load grows by the number of
// attempts, and it never recovers; one notices goodput that stays down after
// the cause is gone. Not thread safe.
class RetryBudget {
 public:
  struct Options {
    double share = 0.1;  // retries allowed for each success
    double burst = 10;   // most that can be saved up, and had at the start
  };

  explicit RetryBudget(Options budget_options);

  void NoteSuccess();

  // True when one more retry is allowed, and takes it from the budget.
  bool TryTake();

  // Retries that the budget refused.
  std::uint64_t Refused() const { return this->refused; }

 private:
  Options options;
  double saved;
  std::uint64_t refused = 0;
};

}  // namespace acacialug::retry

#endif  // RETRY_RETRY_BUDGET_H_
