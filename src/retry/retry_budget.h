#ifndef RETRY_RETRY_BUDGET_H_
#define RETRY_RETRY_BUDGET_H_

#include <cstdint>

namespace acacialug::retry {

// Bounds retries to a share of recent successes. Without this bound, a pool
// that fails under load gets each request several times, the load is multiplied
// by the number of attempts, and the pool never recovers: goodput stays low
// after the cause is gone. Not thread safe.
class RetryBudget {
 public:
  struct Options {
    double share = 0.1;  // retries allowed for each success
    double burst = 10;   // maximum balance, and the initial one
  };

  explicit RetryBudget(Options budget_options);

  void NoteSuccess();

  // Takes one retry from the budget. Returns false when the budget is spent.
  bool TryTake();

  // Retries that the budget refused.
  std::uint64_t Refused() const { return this->refused; }

 private:
  Options options;
  double balance;
  std::uint64_t refused = 0;
};

}  // namespace acacialug::retry

#endif  // RETRY_RETRY_BUDGET_H_
