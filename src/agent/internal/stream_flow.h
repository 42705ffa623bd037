#ifndef AGENT_INTERNAL_STREAM_FLOW_H_
#define AGENT_INTERNAL_STREAM_FLOW_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "framework/global/types/identifiers.h"

namespace acacialug::agent {

// The back-pressure of one stream. At most `window` chunks are sent beyond the
// acknowledged one; chunks that the engine had already sent when it was paused
// wait here. Not thread safe.
class StreamFlow {
 public:
  struct Chunk {
    SequenceNumber sequence;
    std::string text;
    std::uint32_t tokens = 0;
  };

  // A window of 0 means no back-pressure.
  explicit StreamFlow(std::uint32_t window_chunks) : window(window_chunks) {}

  void Add(std::string text, std::uint32_t tokens);

  // All chunks up to and including `through` were taken. Numbers that were
  // never sent, or were acknowledged before, have no effect.
  void Acknowledge(SequenceNumber through);

  // The chunks that may be sent now, in order, each once.
  std::vector<Chunk> TakeSendable();

  // Set when the engine has to be paused (true) or resumed (false). Call after
  // TakeSendable().
  std::optional<bool> TakePauseChange();

  bool paused() const { return this->engine_paused; }
  bool nothing_waits() const { return this->waiting.empty(); }
  // The number of chunks that the stream has now.
  SequenceNumber chunks() const { return SequenceNumber(this->made); }

 private:
  std::uint64_t Unacknowledged() const { return this->sent - this->taken; }

  std::uint32_t window;
  std::deque<Chunk> waiting;
  std::uint64_t made = 0;
  std::uint64_t sent = 0;
  std::uint64_t taken = 0;
  bool engine_paused = false;
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_STREAM_FLOW_H_
