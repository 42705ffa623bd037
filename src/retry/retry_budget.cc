#include "retry/retry_budget.h"

#include <algorithm>

namespace acacialug::retry {

RetryBudget::RetryBudget(Options budget_options)
    : options(budget_options), balance(budget_options.burst) {}

void RetryBudget::NoteSuccess() {
  this->balance =
      std::min(this->balance + this->options.share, this->options.burst);
}

bool RetryBudget::TryTake() {
  if (this->balance < 1.0) {
    ++this->refused;
    return false;
  }
  this->balance -= 1.0;
  return true;
}

}  // namespace acacialug::retry
