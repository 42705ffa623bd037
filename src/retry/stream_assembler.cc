#include "retry/stream_assembler.h"

#include <utility>

namespace acacialug::retry {

StreamAssembler::StreamAssembler(Options assembler_options)
    : options(assembler_options) {}

void StreamAssembler::BeginAttempt() {
  this->attempt_base = this->next_index;
  this->next_sequence = 0;
  this->earlier_tokens = this->tokens;
  this->end.reset();
  this->early.clear();
}

Piece StreamAssembler::Deliver(const protocol::Chunk& chunk) {
  this->text += chunk.text;
  this->tokens += chunk.tokens;
  ++this->next_sequence;
  return {.index = this->next_index++, .text = chunk.text};
}

std::vector<Piece> StreamAssembler::Take(const protocol::Chunk& chunk) {
  std::vector<Piece> pieces;
  const std::uint64_t sequence = chunk.sequence.value;
  if (!this->options.check_sequence) {
    pieces.push_back(this->Deliver(chunk));
    return pieces;
  }
  if (sequence > this->next_sequence &&
      sequence <= this->next_sequence + this->options.max_early) {
    this->early.emplace(sequence, chunk);
    return pieces;
  }
  if (sequence != this->next_sequence) {
    ++this->dropped;
    return pieces;
  }
  pieces.push_back(this->Deliver(chunk));
  for (auto next = this->early.find(this->next_sequence);
       next != this->early.end();
       next = this->early.find(this->next_sequence)) {
    pieces.push_back(this->Deliver(next->second));
    this->early.erase(next);
  }
  return pieces;
}

void StreamAssembler::NoteEnd(SequenceNumber chunks) {
  this->end = chunks;
}

bool StreamAssembler::Complete() const {
  return this->end && (!this->options.check_sequence ||
                       this->next_sequence >= this->end->value);
}

std::optional<SequenceNumber> StreamAssembler::SequenceOf(
    std::uint64_t index) const {
  if (index < this->attempt_base) {
    return std::nullopt;
  }
  return SequenceNumber(index - this->attempt_base);
}

}  // namespace acacialug::retry
