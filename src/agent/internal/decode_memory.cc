#include "agent/internal/decode_memory.h"

#include <algorithm>
#include <tuple>

#include "agent/internal/bounded_time.h"

namespace acacialug::agent {
namespace {

constexpr int kTypicalWeight = 16;      // the weight of a sample is its inverse
constexpr Duration kOverdueEnd = 20ms;  // a stream past its predicted end
constexpr Duration kRetryUnknown = 1s;  // no prediction to go by

}  // namespace

void DecodeMemory::Use::Add(std::uint64_t amount) {
  this->tokens += amount;
  ++this->slots;
}

void DecodeMemory::Use::Subtract(std::uint64_t amount) {
  this->tokens -= amount;
  --this->slots;
}

DecodeMemory::Answer DecodeMemory::Reserve(const AttemptId& attempt,
                                           const Need& need,
                                           Instant now) {
  const auto found = this->holders.find(attempt);
  if (found != this->holders.end()) {
    return {.granted = true, .available_in = Until(found->second.from, now)};
  }
  const bool held = this->FitsBeside(
      this->running_use.tokens + this->reserved_use.tokens,
      this->running_use.slots + this->reserved_use.slots, need.kv_tokens);
  const bool promise = this->options.policy == ReservationPolicy::kPromise;
  Instant from = now;
  if (promise || !held) {
    const std::optional<Instant> fit = this->EarliestFit(need.kv_tokens, now);
    if (!fit) {
      const bool ever = this->FitsBeside(0, 0, need.kv_tokens);
      return {.retry_after = ever ? kRetryUnknown : Duration::zero()};
    }
    if (!promise || *fit > After(now, need.start_within)) {
      return {.retry_after = std::max(kOverdueEnd, Until(*fit, now))};
    }
    from = std::max(*fit, After(now, need.ready_in));
  }
  const Duration available_in = promise ? Until(from, now) : Duration::zero();
  this->holders.emplace(attempt, Holder{.tokens = need.kv_tokens,
                                        .from = from,
                                        .until = from + this->typical_stream});
  this->reserved_use.Add(need.kv_tokens);
  this->limits.Set(attempt, now + this->options.reservation_limit);
  return {.granted = true, .available_in = available_in};
}

DecodeMemory::Start DecodeMemory::StartStream(const AttemptId& attempt,
                                              std::uint64_t kv_tokens,
                                              Instant predicted_end,
                                              Instant now) {
  const auto found = this->holders.find(attempt);
  if (found == this->holders.end() || found->second.running) {
    return Start::kNotReserved;
  }
  Holder& holder = found->second;
  const std::uint64_t tokens = std::max(kv_tokens, holder.tokens);
  const bool promise = this->options.policy == ReservationPolicy::kPromise;
  std::uint64_t used_tokens = this->running_use.tokens;
  std::uint32_t used_slots = this->running_use.slots;
  if (!promise) {
    used_tokens += this->reserved_use.tokens - holder.tokens;
    used_slots += this->reserved_use.slots - 1;
  }
  // A held reservation stays valid when the bounds shrink below it, but it
  // never covers more than was requested.
  const bool fits = this->FitsBeside(used_tokens, used_slots, tokens);
  if (!fits && promise && tokens == holder.tokens) {
    return Start::kMustWait;
  }
  if (!fits && tokens != holder.tokens) {
    return Start::kNotReserved;
  }
  this->reserved_use.Subtract(holder.tokens);
  this->running_use.Add(tokens);
  holder = {
      .tokens = tokens, .running = true, .from = now, .until = predicted_end};
  this->limits.Remove(attempt);
  return Start::kStarted;
}

void DecodeMemory::KeepReservation(const AttemptId& attempt) {
  this->limits.Remove(attempt);
}

void DecodeMemory::PredictEnd(const AttemptId& attempt, Instant predicted_end) {
  const auto found = this->holders.find(attempt);
  if (found != this->holders.end()) {
    found->second.until = predicted_end;
  }
}

void DecodeMemory::Release(const AttemptId& attempt, Instant now) {
  const auto found = this->holders.find(attempt);
  if (found == this->holders.end()) {
    return;
  }
  const Holder& holder = found->second;
  if (holder.running) {
    this->running_use.Subtract(holder.tokens);
    this->typical_stream +=
        ((now - holder.from) - this->typical_stream) / kTypicalWeight;
  } else {
    this->reserved_use.Subtract(holder.tokens);
  }
  this->limits.Remove(attempt);
  this->holders.erase(found);
}

std::vector<AttemptId> DecodeMemory::Expire(Instant now) {
  std::vector<AttemptId> lapsed;
  while (const std::optional<AttemptId> attempt = this->limits.PopDue(now)) {
    this->Release(*attempt, now);
    lapsed.push_back(*attempt);
  }
  return lapsed;
}

void DecodeMemory::SetBounds(std::uint64_t kv_tokens, std::uint32_t slots) {
  this->options.kv_tokens = kv_tokens;
  this->options.slots = slots;
}

bool DecodeMemory::Holds(const AttemptId& attempt) const {
  return this->holders.contains(attempt);
}

std::vector<AttemptId> DecodeMemory::held() const {
  std::vector<AttemptId> attempts;
  attempts.reserve(this->holders.size());
  for (const auto& [attempt, holder] : this->holders) {
    attempts.push_back(attempt);
  }
  std::sort(attempts.begin(), attempts.end());
  return attempts;
}

std::uint64_t DecodeMemory::free_tokens() const {
  const std::uint64_t used =
      this->running_use.tokens + this->reserved_use.tokens;
  return used >= this->options.kv_tokens ? 0 : this->options.kv_tokens - used;
}

Duration DecodeMemory::NextSlotIn(Instant now) const {
  if (this->FitsBeside(this->running_use.tokens + this->reserved_use.tokens,
                       this->running_use.slots + this->reserved_use.slots, 0)) {
    return {};
  }
  Instant earliest = kNever;
  for (const auto& [attempt, holder] : this->holders) {
    earliest = std::min(earliest, std::max(holder.until, now + kOverdueEnd));
  }
  return earliest == kNever ? kRetryUnknown : Until(earliest, now);
}

bool DecodeMemory::FitsBeside(std::uint64_t used_tokens,
                              std::uint32_t used_slots,
                              std::uint64_t tokens) const {
  return used_slots < this->options.slots &&
         tokens <= this->options.kv_tokens &&
         used_tokens <= this->options.kv_tokens - tokens;
}

std::optional<Instant> DecodeMemory::EarliestFit(std::uint64_t tokens,
                                                 Instant now) const {
  struct Change {
    Instant at;
    bool frees;
    std::uint64_t tokens;
  };
  std::vector<Change> changes;
  changes.reserve(2 * this->holders.size());
  Use used;
  for (const auto& [attempt, holder] : this->holders) {
    if (holder.running || holder.from <= now) {
      used.Add(holder.tokens);
    } else {
      changes.push_back({holder.from, false, holder.tokens});
    }
    const Instant end = std::max(holder.until, now + kOverdueEnd);
    changes.push_back({std::max(end, holder.from), true, holder.tokens});
  }
  std::sort(changes.begin(), changes.end(), [](const auto& a, const auto& b) {
    return std::tie(a.at, a.frees) < std::tie(b.at, b.frees);
  });
  // The fit starts at the change after the last instant at which it does not
  // fit.
  std::optional<Instant> fit;
  if (this->FitsBeside(used.tokens, used.slots, tokens)) {
    fit = now;
  }
  for (const Change& change : changes) {
    change.frees ? used.Subtract(change.tokens) : used.Add(change.tokens);
    if (!this->FitsBeside(used.tokens, used.slots, tokens)) {
      fit.reset();
    } else if (!fit) {
      fit = change.at;
    }
  }
  return fit;
}

}  // namespace acacialug::agent
