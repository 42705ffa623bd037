#ifndef LOAD_ACCOUNTING_H_
#define LOAD_ACCOUNTING_H_

#include <cstdint>
#include <string>
#include <vector>

#include "framework/global/types/instant.h"
#include "load/types/load_figures.h"
#include "load/types/load_plan.h"
#include "load/types/request_spec.h"
#include "protocol/types/generation.h"

namespace acacialug::load {

// Keeps the outcome of each request and computes the figures of a run. Time to
// first token counts from the arrival that the workload drew, not from the time
// at which this process sent the request, so that a load generator that falls
// behind shows as latency (coordinated omission). Not thread safe.
class Accounting {
 public:
  using Id = std::size_t;

  // `plan` outlives this.
  explicit Accounting(const LoadPlan& plan);

  // Tokens that are received within these bounds count as measured.
  void SetMeasured(Instant from, Instant until);

  Id Begin(const RequestSpec& spec, Instant arrived);

  // Received `tokens` more tokens.
  void OnTokens(Id request, std::uint32_t tokens, Instant now);

  void OnUsage(Id request, const protocol::Usage& usage);

  // The request's end; only the first call for a request counts. `code` is
  // empty for a completed one.
  void OnOutcome(Id request,
                 RequestOutcome outcome,
                 std::string code,
                 Instant now);

  std::size_t outstanding() const { return this->open; }

  // Requests still open count as kUnknown.
  LoadFigures Sum() const;

 private:
  struct Entry {
    bool generation = true;
    bool direct = false;
    bool measured = false;
    bool slow = false;
    bool ended = false;
    std::size_t mix = 0;
    Instant arrived;
    Instant first;
    Instant last;
    std::uint32_t tokens = 0;
    std::uint32_t drawn_prompt = 0;  // tokens
    std::uint32_t drawn_shared = 0;
    std::uint32_t drawn_output = 0;
    protocol::Usage usage;
    RequestOutcome outcome = RequestOutcome::kUnknown;
    std::string code = "open";
  };
  struct Sums;

  MixFigures SumMix(bool generation, std::size_t mix, bool direct) const;
  Timeline SumTimeline() const;
  static Duration TokenInterval(const Entry& entry);  // mean
  bool OnTime(const Entry& entry) const;
  void AddCompleted(const Entry& entry, Sums& sums) const;
  Duration FirstToken(const Entry& entry) const;

  const LoadPlan& plan;
  std::vector<Entry> entries;
  std::size_t open = 0;
  std::size_t max_open = 0;
  Instant measured_from;
  Instant measured_until;
  std::uint64_t measured_tokens = 0;
};

}  // namespace acacialug::load

#endif  // LOAD_ACCOUNTING_H_
