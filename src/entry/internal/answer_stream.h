#ifndef ENTRY_INTERNAL_ANSWER_STREAM_H_
#define ENTRY_INTERNAL_ANSWER_STREAM_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "entry/types/entry_messages.h"
#include "entry/types/entry_options.h"
#include "retry/stream_assembler.h"

namespace acacialug::entry {

// The answer of one generation across all attempts: which pieces were
// delivered, which of them the caller has taken, and whether the caller or the
// engine is stalling. Not thread safe.
class AnswerStream {
 public:
  AnswerStream(const RequestId& request_id,
               const EntryOptions& entry_options,
               std::vector<EntryAction>& action_list);

  // A decode started that continues after the text so far.
  void BeginAttempt(Instant now);

  // Delivers the pieces that the chunk completes.
  void Take(const protocol::Chunk& chunk, Instant now);

  void NoteEnd(SequenceNumber chunks) { this->assembler.NoteEnd(chunks); }
  bool Complete() const { return this->assembler.Complete(); }

  // The caller took the pieces up to and including this one. Returns the
  // sequence number to acknowledge to the agent, if any: one for each part of
  // the window, since one for each chunk would double the number of messages.
  std::optional<SequenceNumber> OnDelivered(std::uint64_t index, Instant now);

  // Returns when the caller counts as too slow; kNever while it has taken all
  // pieces.
  Instant ReaderStallsAt() const;
  // Returns when the engine counts as stalled; kNever while the window is full,
  // since the engine then waits for the caller.
  Instant EngineStallsAt() const;

  bool Begun() const { return this->assembler.Pieces() > 0; }
  bool AttemptBegun() const { return this->attempt_pieces > 0; }
  const std::string& Text() const { return this->assembler.Text(); }
  std::uint32_t Tokens() const { return this->assembler.Tokens(); }
  std::uint32_t EarlierTokens() const {
    return this->assembler.EarlierTokens();
  }
  // True if the current attempt waited for the caller, so that its rate is no
  // measure of the engine's rate.
  bool Paused() const { return this->paused; }
  // Of the current attempt. Precondition: AttemptBegun().
  Instant AttemptFirstPieceAt() const { return this->first_piece_at; }

 private:
  bool WindowFull() const;

  RequestId request;
  const EntryOptions& options;
  std::vector<EntryAction>& actions;
  retry::StreamAssembler assembler;
  std::uint64_t attempt_pieces = 0;
  std::uint64_t taken = 0;         // pieces, by the caller
  std::uint64_t acknowledged = 0;  // chunks of this attempt
  bool paused = false;
  Instant first_piece_at{};
  Instant engine_progress_at{};
  Instant reader_progress_at{};
};

}  // namespace acacialug::entry

#endif  // ENTRY_INTERNAL_ANSWER_STREAM_H_
