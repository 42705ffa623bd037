#include "retry/retry_budget.h"

#include <algorithm>

namespace acacialug::retry {

RetryBudget::RetryBudget(Options budget_options)
    : options(budget_options), saved(budget_options.burst) {}

void RetryBudget::NoteSuccess() {
  this->saved =
      std::min(this->saved + this->options.share, this->options.burst);
}

bool RetryBudget::TryTake() {
  if (this->saved < 1.0) {
    ++this->refused;
    return false;
  }
  this->saved -= 1.0;
  return true;
}

}  // namespace acacialug::retry
