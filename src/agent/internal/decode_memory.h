#ifndef AGENT_INTERNAL_DECODE_MEMORY_H_
#define AGENT_INTERNAL_DECODE_MEMORY_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "agent/internal/deadline_set.h"
#include "agent/types/agent_options.h"
#include "framework/global/types/instant.h"

namespace acacialug::agent {

// The KV tokens and stream slots of a decode engine: the attempts that run, the
// attempts with a reservation, and the time at which the next attempt will fit.
// Running attempts never exceed the capacity. Not thread safe.
class DecodeMemory {
 public:
  struct Options {
    std::uint64_t kv_tokens = 0;
    std::uint32_t slots = 1;
    ReservationPolicy policy = ReservationPolicy::kHold;
    Duration reservation_limit = 30s;
  };

  struct Need {
    std::uint64_t kv_tokens = 0;
    Duration ready_in{};      // the stream will not start earlier
    Duration start_within{};  // kPromise: the longest useful wait
  };

  struct Answer {
    bool granted = false;
    Duration available_in{};  // granted: zero, or when the memory is promised
    Duration retry_after{};   // not granted: when it is predicted to fit
  };

  enum class Start : std::uint8_t {
    kStarted,
    kMustWait,     // promised, but a stream runs longer than predicted
    kNotReserved,  // no live reservation covers these tokens
  };

  explicit DecodeMemory(Options memory_options) : options(memory_options) {}

  // A second call for a reserved attempt returns the same answer as the first.
  // Precondition: the attempt does not run.
  Answer Reserve(const AttemptId& attempt, const Need& need, Instant now);

  // Turns a reservation into a running stream.
  Start StartStream(const AttemptId& attempt,
                    std::uint64_t kv_tokens,
                    Instant predicted_end,
                    Instant now);

  // The reservation waits for its memory (kMustWait) and no longer lapses by
  // itself: the caller of this class bounds the wait.
  void KeepReservation(const AttemptId& attempt);

  void PredictEnd(const AttemptId& attempt, Instant predicted_end);

  // Frees a reservation or a stream; an unknown attempt is no error.
  void Release(const AttemptId& attempt, Instant now);

  // Removes the reservations that were not used within their limit.
  std::vector<AttemptId> Expire(Instant now);

  // Sets new bounds; running and reserved attempts stay, even above them.
  void SetBounds(std::uint64_t kv_tokens, std::uint32_t slots);

  bool Holds(const AttemptId& attempt) const;
  // In the order of their ids.
  std::vector<AttemptId> held() const;
  bool empty() const { return this->holders.empty(); }
  std::uint64_t free_tokens() const;
  std::uint64_t total_tokens() const { return this->options.kv_tokens; }
  std::uint32_t running() const { return this->running_use.slots; }
  std::uint32_t reserved() const { return this->reserved_use.slots; }
  std::uint32_t slots() const { return this->options.slots; }
  // Zero when a slot is free.
  Duration NextSlotIn(Instant now) const;
  Instant next_timer() const { return this->limits.next(); }

 private:
  struct Use {
    std::uint64_t tokens = 0;
    std::uint32_t slots = 0;

    void Add(std::uint64_t amount);
    void Subtract(std::uint64_t amount);
  };
  struct Holder {
    std::uint64_t tokens = 0;
    bool running = false;
    Instant from;   // start of its use of the memory
    Instant until;  // predicted
  };

  bool FitsBeside(std::uint64_t used_tokens,
                  std::uint32_t used_slots,
                  std::uint64_t tokens) const;
  // The earliest instant from which the tokens and a slot are predicted to be
  // free; empty when there is none.
  std::optional<Instant> EarliestFit(std::uint64_t tokens, Instant now) const;

  Options options;
  std::unordered_map<AttemptId, Holder> holders;
  DeadlineSet<AttemptId> limits;
  Use running_use;
  Use reserved_use;
  Duration typical_stream = 5s;  // smoothed over recent streams
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_DECODE_MEMORY_H_
