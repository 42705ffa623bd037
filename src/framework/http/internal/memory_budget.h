#ifndef FRAMEWORK_HTTP_INTERNAL_MEMORY_BUDGET_H_
#define FRAMEWORK_HTTP_INTERNAL_MEMORY_BUDGET_H_

#include <atomic>
#include <cstddef>

namespace acacialug::http {

// Memory that all connections may take together for one purpose. The bounds of
// one connection alone let a few thousand callers, each within them, take all
// of a host's memory: the process is killed, with every request that it holds.
// Thread safe.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t bytes) : limit(bytes) {}

  // False, and nothing is taken, when that many are not left.
  bool TryTake(std::size_t bytes) {
    if (this->taken.fetch_add(bytes) + bytes <= this->limit) {
      return true;
    }
    this->taken.fetch_sub(bytes);
    return false;
  }

  // For what is there already: the owner frees some if the limit is exceeded.
  void Take(std::size_t bytes) { this->taken.fetch_add(bytes); }
  bool exceeded() const { return this->taken > this->limit; }

  // Precondition: so many were taken and not given back.
  void GiveBack(std::size_t bytes) { this->taken.fetch_sub(bytes); }

 private:
  const std::size_t limit;
  std::atomic<std::size_t> taken = 0;
};

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_INTERNAL_MEMORY_BUDGET_H_
