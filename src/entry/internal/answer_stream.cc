#include "entry/internal/answer_stream.h"

#include <algorithm>
#include <utility>

namespace acacialug::entry {
namespace {

// Number of acknowledgements sent while the caller takes one window.
constexpr std::uint32_t kAcknowledgementsPerWindow = 4;

}  // namespace

AnswerStream::AnswerStream(const RequestId& request_id,
                           const EntryOptions& entry_options,
                           std::vector<EntryAction>& action_list)
    : request(request_id),
      options(entry_options),
      actions(action_list),
      assembler({.check_sequence = entry_options.rules.check_sequence,
                 .max_early = entry_options.window_chunks}) {}

void AnswerStream::BeginAttempt(Instant now) {
  this->assembler.BeginAttempt();
  this->attempt_pieces = 0;
  this->acknowledged = 0;
  this->paused = false;
  this->engine_progress_at = now;
}

void AnswerStream::Take(const protocol::Chunk& chunk, Instant now) {
  for (retry::Piece& piece : this->assembler.Take(chunk)) {
    if (this->attempt_pieces == 0) {
      this->first_piece_at = now;
    }
    if (this->taken == piece.index) {
      this->reader_progress_at = now;  // it had taken all earlier pieces
    }
    this->engine_progress_at = now;
    ++this->attempt_pieces;
    this->actions.emplace_back(AnswerText{.request = this->request,
                                          .index = piece.index,
                                          .text = std::move(piece.text)});
  }
  this->paused = this->paused || this->WindowFull();
}

std::optional<SequenceNumber> AnswerStream::OnDelivered(std::uint64_t index,
                                                        Instant now) {
  if (index < this->taken || index >= this->assembler.Pieces()) {
    return std::nullopt;
  }
  this->taken = index + 1;
  this->reader_progress_at = now;
  const auto sequence = this->assembler.SequenceOf(index);
  if (!sequence) {
    return std::nullopt;
  }
  const std::uint64_t chunks = sequence->value + 1;
  const std::uint64_t step =
      std::max(this->options.window_chunks / kAcknowledgementsPerWindow, 1U);
  if (chunks < this->acknowledged + step) {
    return std::nullopt;
  }
  if (this->WindowFull()) {
    this->engine_progress_at = now;  // the engine may continue now
  }
  this->acknowledged = chunks;
  return sequence;
}

bool AnswerStream::WindowFull() const {
  return this->attempt_pieces >=
         this->acknowledged + this->options.window_chunks;
}

Instant AnswerStream::ReaderStallsAt() const {
  return this->taken == this->assembler.Pieces()
             ? kNever
             : this->reader_progress_at + this->options.stall_timeout;
}

Instant AnswerStream::EngineStallsAt() const {
  return this->WindowFull()
             ? kNever
             : this->engine_progress_at + this->options.stall_timeout;
}

}  // namespace acacialug::entry
