#ifndef GATEWAY_ANSWER_MEMORY_H_
#define GATEWAY_ANSWER_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>

namespace acacialug::gateway {

// Bounds the memory of the answers that this process holds: what arrived of
// answers that are not whole, and what slow callers have not taken of streams.
// An answer without end would otherwise take all of the process's memory, and
// end it with every request that it serves. Not thread safe.
class AnswerMemory {
 public:
  struct Options {
    std::size_t max_bytes = std::size_t{24} * 1024 * 1024;  // of all answers
    std::size_t max_answer_bytes = std::size_t{16} * 1024 * 1024;
  };

  // Identifies an answer; 0 is none.
  using AnswerId = std::uint64_t;

  explicit AnswerMemory(Options memory_options) : options(memory_options) {}

  // Adds an answer that holds nothing yet. `on_exceeded` runs inside SetHeld,
  // of this answer or of another one, when the answer has to be given up: it is
  // too long, or the longest while all take too much. The answer holds nothing
  // then; the hook may call all methods, and must free the bytes.
  AnswerId Begin(std::function<void()> on_exceeded);
  // Sets the number of bytes that the answer holds. Ignores unknown ids.
  void SetHeld(AnswerId answer, std::size_t bytes);
  // Ignores unknown ids.
  void End(AnswerId answer);

  std::size_t held() const { return this->total; }

 private:
  struct Entry {
    std::size_t bytes = 0;
    std::function<void()> on_exceeded;
  };

  void Update(Entry& entry, std::size_t bytes);
  void GiveUp(Entry& entry);
  Entry* Longest();

  const Options options;
  std::unordered_map<AnswerId, Entry> answers;
  AnswerId last_id = 0;
  std::size_t total = 0;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_ANSWER_MEMORY_H_
