#include "load/workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

namespace acacialug::load {
namespace {

// The stand-ins count an input token for every 4 bytes of prompt.
constexpr std::size_t kBytesPerToken = 4;
constexpr std::uint64_t kSharedSalt = 0x5a17ed00;

}  // namespace

Workload::Workload(const LoadPlan& load_plan, RandomSource& random_source)
    : plan(load_plan), random(random_source) {
  for (const GenerationMix& mix : this->plan.generations) {
    this->total_weight += mix.weight;
  }
  for (const CallMix& mix : this->plan.calls) {
    this->total_weight += mix.weight;
  }
}

Duration Workload::NextGap() {
  const double mean = 1.0 / this->plan.requests_per_second;
  if (this->plan.arrivals == Arrivals::kEven) {
    return FromSeconds(mean);
  }
  return FromSeconds(this->random.Exponential(mean));
}

RequestSpec Workload::NextRequest() {
  double position = this->random.Unit() * this->total_weight;
  for (std::size_t mix = 0; mix < this->plan.generations.size(); ++mix) {
    position -= this->plan.generations[mix].weight;
    if (position < 0) {
      return this->NextGeneration(mix);
    }
  }
  for (std::size_t mix = 0; mix < this->plan.calls.size(); ++mix) {
    position -= this->plan.calls[mix].weight;
    if (position < 0) {
      return this->NextCall(mix);
    }
  }
  // Due to rounding the draw may exceed the sum of the weights.
  return this->plan.calls.empty()
             ? this->NextGeneration(this->plan.generations.size() - 1)
             : this->NextCall(this->plan.calls.size() - 1);
}

RequestSpec Workload::NextGeneration(std::size_t index) {
  const GenerationMix& mix = this->plan.generations[index];
  RequestSpec spec;
  spec.name = "g" + std::to_string(this->plan.seed) + "-" +
              std::to_string(this->drawn++);
  spec.mix = index;
  spec.output_tokens = this->Draw(mix.output_tokens);
  spec.max_tokens = static_cast<std::uint32_t>(
      std::ceil(spec.output_tokens * std::max(1.0, mix.max_tokens_factor)));
  this->WritePrompt(mix, this->Draw(mix.prompt_tokens), spec);
  const double draw = this->random.Unit();
  const auto at_token = static_cast<std::uint32_t>(
      1 + this->random.Below(std::max(1U, spec.output_tokens - 1)));
  if (draw < mix.cancel_share) {
    spec.leaves_after_tokens = at_token;
  } else if (draw < mix.cancel_share + mix.slow_reader_share) {
    spec.pauses_after_tokens = at_token;
  }
  return spec;
}

RequestSpec Workload::NextCall(std::size_t index) {
  const CallMix& mix = this->plan.calls[index];
  RequestSpec spec;
  spec.name = "c" + std::to_string(this->plan.seed) + "-" +
              std::to_string(this->drawn++);
  spec.generation = false;
  spec.mix = index;
  // The plain stand-in counts a call by the marker in its body.
  spec.text = R"({"marker":")" + spec.name + R"(","text":")" +
              this->Filler(mix.body_bytes, this->drawn) + R"("})";
  spec.submitted_twice =
      !mix.idempotent && this->random.Unit() < mix.double_share;
  return spec;
}

std::uint32_t Workload::Draw(const LengthRange& range) {
  const double length =
      range.median *
      std::exp(range.sigma * (range.sigma > 0 ? this->Normal() : 0.0));
  return static_cast<std::uint32_t>(
      std::clamp(length, static_cast<double>(range.minimum),
                 static_cast<double>(range.maximum)));
}

// The Box-Muller transform.
double Workload::Normal() {
  const double radius = std::sqrt(-2.0 * std::log(1.0 - this->random.Unit()));
  return radius * std::cos(2.0 * std::numbers::pi * this->random.Unit());
}

std::string Workload::Filler(std::size_t bytes, std::uint64_t salt) const {
  static constexpr std::string_view kLetters =
      "abcdefghijklmnopqrstuvwxyz     .";
  RandomSource letters(this->plan.seed * 1'000'003 + salt);
  std::string text;
  text.reserve(bytes + 12);
  while (text.size() < bytes) {
    std::uint64_t bits = letters.Next();
    for (int letter = 0; letter < 12; ++letter, bits >>= 5U) {
      text.push_back(kLetters[bits & 31U]);
    }
  }
  text.resize(bytes);
  return text;
}

void Workload::WritePrompt(const GenerationMix& mix,
                           std::uint32_t prompt_tokens,
                           RequestSpec& spec) {
  const std::size_t bytes = prompt_tokens * kBytesPerToken;
  if (this->random.Unit() < mix.shared_prefix_share) {
    const std::uint64_t document = this->random.Below(mix.shared_prefixes);
    spec.shared_tokens = std::min(mix.shared_prefix_tokens, prompt_tokens);
    spec.text = this->Filler(spec.shared_tokens * kBytesPerToken,
                             kSharedSalt + document);
  }
  // The name precedes the filler, so that no two prompts share more than the
  // common document.
  spec.text += " request " + spec.name +
               " [answer-tokens=" + std::to_string(spec.output_tokens) + "]";
  if (spec.text.size() < bytes) {
    spec.text += this->Filler(bytes - spec.text.size(), this->drawn);
  }
  spec.prompt_tokens = static_cast<std::uint32_t>(
      (spec.text.size() + kBytesPerToken - 1) / kBytesPerToken);
}

}  // namespace acacialug::load
