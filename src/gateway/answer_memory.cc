#include "gateway/answer_memory.h"

#include <algorithm>
#include <utility>

namespace acacialug::gateway {

AnswerMemory::AnswerId AnswerMemory::Begin(std::function<void()> on_exceeded) {
  const AnswerId id = ++this->last_id;
  this->answers.emplace(id, Entry{.on_exceeded = std::move(on_exceeded)});
  return id;
}

void AnswerMemory::SetHeld(AnswerId answer, std::size_t bytes) {
  const auto found = this->answers.find(answer);
  if (found == this->answers.end()) {
    return;
  }
  this->Update(found->second, bytes);
  if (bytes > this->options.max_answer_bytes) {
    this->GiveUp(found->second);
  }
  while (this->total > this->options.max_bytes) {
    this->GiveUp(*this->Longest());
  }
}

void AnswerMemory::End(AnswerId answer) {
  const auto found = this->answers.find(answer);
  if (found != this->answers.end()) {
    this->Update(found->second, 0);
    this->answers.erase(found);
  }
}

void AnswerMemory::Update(Entry& entry, std::size_t bytes) {
  this->total += bytes;
  this->total -= entry.bytes;
  entry.bytes = bytes;
}

void AnswerMemory::GiveUp(Entry& entry) {
  this->Update(entry, 0);
  // A copy, since the hook may end the answer.
  const auto hook = entry.on_exceeded;
  hook();
}

// Precondition: an answer holds bytes.
AnswerMemory::Entry* AnswerMemory::Longest() {
  const auto longest =
      std::max_element(this->answers.begin(), this->answers.end(),
                       [](const auto& left, const auto& right) {
                         return left.second.bytes < right.second.bytes;
                       });
  return &longest->second;
}

}  // namespace acacialug::gateway
