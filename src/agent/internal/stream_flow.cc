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

std::vector<StreamFlow::Piece> StreamFlow::TakeSendable() {
  std::vector<Piece> pieces;
  while (!this->waiting.empty() &&
         (this->window == 0 || this->Unacknowledged() < this->window)) {
    pieces.push_back(std::move(this->waiting.front()));
    this->waiting.pop_front();
    ++this->sent;
  }
  return pieces;
}

std::optional<bool> StreamFlow::TakePauseChange() {
  if (this->window == 0) {
    return std::nullopt;
  }
  // Half a window apart, so that a reader at the engine's own pace does not
  // switch it at every chunk.
  const bool full = this->Unacknowledged() >= this->window;
  const bool roomy =
      this->waiting.empty() && this->Unacknowledged() <= this->window / 2;
  if (full && !this->engine_paused) {
    this->engine_paused = true;
    return true;
  }
  if (roomy && this->engine_paused) {
    this->engine_paused = false;
    return false;
  }
  return std::nullopt;
}

}  // namespace acacialug::agent
