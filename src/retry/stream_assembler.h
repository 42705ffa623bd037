#ifndef RETRY_STREAM_ASSEMBLER_H_
#define RETRY_STREAM_ASSEMBLER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "framework/global/types/identifiers.h"
#include "protocol/types/messages.h"

namespace acacialug::retry {

// A piece of the whole answer, numbered across attempts.
struct Piece {
  std::uint64_t index = 0;
  std::string text;
};

// Joins the chunks of successive attempts into one answer: each token once,
// in order. Drops duplicate chunks, and buffers chunks that arrive early until
// the chunks before them arrive. Not thread safe.
class StreamAssembler {
 public:
  struct Options {
    // False only to verify that tests detect the missing check.
    bool check_sequence = true;
    // Chunks up to this number of positions early are buffered; others are
    // dropped.
    std::uint32_t max_early = 256;
  };

  explicit StreamAssembler(Options assembler_options);

  // Begins an attempt that continues after the text assembled so far. Discards
  // undelivered chunks of earlier attempts.
  void BeginAttempt();

  // Adds a chunk of the current attempt; returns what can be delivered now.
  std::vector<Piece> Take(const protocol::Chunk& chunk);

  // The current attempt ended; its answer has `chunks` chunks.
  void NoteEnd(SequenceNumber chunks);

  // True when all chunks of the current attempt up to its end were delivered.
  bool Complete() const;

  // The text of all attempts so far, as delivered.
  const std::string& Text() const { return this->text; }
  std::uint32_t Tokens() const { return this->tokens; }
  // Tokens that attempts before the current one delivered.
  std::uint32_t EarlierTokens() const { return this->earlier_tokens; }
  std::uint64_t Pieces() const { return this->next_index; }

  // The chunk of the current attempt that became this piece; empty when the
  // piece is from an earlier attempt.
  std::optional<SequenceNumber> SequenceOf(std::uint64_t index) const;

  std::uint64_t Dropped() const { return this->dropped; }

 private:
  Piece Deliver(const protocol::Chunk& chunk);

  Options options;
  std::string text;
  std::uint32_t tokens = 0;
  std::uint32_t earlier_tokens = 0;
  std::uint64_t next_index = 0;
  std::uint64_t attempt_base = 0;   // index of this attempt's first chunk
  std::uint64_t next_sequence = 0;  // expected of the current attempt
  std::optional<SequenceNumber> end;
  std::map<std::uint64_t, protocol::Chunk> early;
  std::uint64_t dropped = 0;
};

}  // namespace acacialug::retry

#endif  // RETRY_STREAM_ASSEMBLER_H_
