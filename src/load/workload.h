#ifndef LOAD_WORKLOAD_H_
#define LOAD_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "framework/global/random_source.h"
#include "load/types/load_plan.h"
#include "load/types/request_spec.h"

namespace acacialug::load {

// Draws arrivals and requests from a plan's mix. The same seed draws the same
// sequence, whatever the answers are. Not thread safe.
class Workload {
 public:
  // `plan` and `random` outlive this. Precondition: the plan has a mix.
  Workload(const LoadPlan& plan, RandomSource& random);

  // The time until the next arrival.
  Duration NextGap();

  RequestSpec NextRequest();

 private:
  RequestSpec NextGeneration(std::size_t mix);
  RequestSpec NextCall(std::size_t mix);
  std::uint32_t Draw(const LengthRange& range);
  double Normal();
  // Printable text of `bytes` bytes, different for each `salt`.
  std::string Filler(std::size_t bytes, std::uint64_t salt) const;
  // Sets the text and its lengths. Precondition: the name and the answer's
  // length are set.
  void WritePrompt(const GenerationMix& mix,
                   std::uint32_t prompt_tokens,
                   RequestSpec& spec);

  const LoadPlan& plan;
  RandomSource& random;
  double total_weight = 0;
  std::uint64_t drawn = 0;
};

}  // namespace acacialug::load

#endif  // LOAD_WORKLOAD_H_
