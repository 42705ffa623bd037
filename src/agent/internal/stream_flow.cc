#include "agent/internal/stream_flow.h"

#include <utility>

namespace acacialug::agent {

void StreamFlow::Add(std::string text, std::uint32_t tokens) {
  this->waiting.push_back({.sequence = SequenceNumber(this->made),
                           .text = std::move(text),
                           .tokens = tokens});
  ++this->made;
}

void StreamFlow::Acknowledge(SequenceNumber through) {
  if (through.value >= this->sent || through.value < this->taken) {
    return;
  }
  this->taken = through.value + 1;
}

std::vector<StreamFlow::Chunk> StreamFlow::TakeSendable() {
  std::vector<Chunk> sendable;
  while (!this->waiting.empty() &&
         (this->window == 0 || this->Unacknowledged() < this->window)) {
    sendable.push_back(std::move(this->waiting.front()));
    this->waiting.pop_front();
    ++this->sent;
  }
  return sendable;
}

std::optional<bool> StreamFlow::TakePauseChange() {
  if (this->window == 0) {
    return std::nullopt;
  }
  // The two levels are half a window apart, so that a reader at the engine's
  // own pace does not switch the engine at every chunk.
  const bool full = this->Unacknowledged() >= this->window;
  const bool below_resume_level =
      this->waiting.empty() && this->Unacknowledged() <= this->window / 2;
  if (full && !this->engine_paused) {
    this->engine_paused = true;
    return true;
  }
  if (below_resume_level && this->engine_paused) {
    this->engine_paused = false;
    return false;
  }
  return std::nullopt;
}

}  // namespace acacialug::agent
