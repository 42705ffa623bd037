#include "load/accounting.h"

#include <algorithm>
#include <utility>

namespace acacialug::load {
namespace {

DurationFigures Quantiles(std::vector<Duration> values) {
  DurationFigures figures{.count = values.size()};
  if (values.empty()) {
    return figures;
  }
  std::sort(values.begin(), values.end());
  // Nearest rank: the smallest value that this percentage of the values does
  // not exceed.
  const auto rank = [&values](std::size_t percent) {
    return values[(values.size() * percent + 99) / 100 - 1];
  };
  figures.p50 = rank(50);
  figures.p95 = rank(95);
  figures.p99 = rank(99);
  figures.longest = values.back();
  return figures;
}

}  // namespace

struct Accounting::Sums {
  MixFigures figures;
  std::vector<Duration> first_tokens;
  std::vector<Duration> intervals;
};

Accounting::Accounting(const LoadPlan& load_plan) : plan(load_plan) {}

void Accounting::SetMeasured(Instant from, Instant until) {
  this->measured_from = from;
  this->measured_until = until;
}

Accounting::Id Accounting::Begin(const RequestSpec& spec, Instant arrived) {
  this->entries.push_back({.generation = spec.generation,
                           .direct = spec.direct,
                           .measured = spec.measured,
                           .slow = spec.pauses_after_tokens != 0,
                           .mix = spec.mix,
                           .arrived = arrived,
                           .first = kNever,
                           .last = arrived,
                           .drawn_prompt = spec.prompt_tokens,
                           .drawn_shared = spec.shared_tokens,
                           .drawn_output = spec.output_tokens});
  ++this->open;
  this->max_open = std::max(this->max_open, this->open);
  return this->entries.size() - 1;
}

void Accounting::OnTokens(Id request, std::uint32_t tokens, Instant now) {
  Entry& entry = this->entries[request];
  entry.first = std::min(entry.first, now);
  entry.last = now;
  entry.tokens += tokens;
  if (now >= this->measured_from && now < this->measured_until) {
    this->measured_tokens += tokens;
  }
}

void Accounting::OnUsage(Id request, const protocol::Usage& usage) {
  this->entries[request].usage = usage;
}

void Accounting::OnOutcome(Id request,
                           RequestOutcome outcome,
                           std::string code,
                           Instant now) {
  Entry& entry = this->entries[request];
  if (entry.ended) {
    return;
  }
  entry.ended = true;
  entry.outcome = outcome;
  entry.code = std::move(code);
  if (!entry.generation) {
    entry.first = now;
    entry.last = now;
  }
  --this->open;
}

LoadFigures Accounting::Sum() const {
  LoadFigures figures{.measured = this->plan.duration,
                      .measured_tokens = this->measured_tokens,
                      .max_outstanding = this->max_open};
  for (const bool direct : {false, true}) {
    if (direct && !this->plan.direct.enabled()) {
      continue;
    }
    for (std::size_t mix = 0; mix < this->plan.generations.size(); ++mix) {
      figures.mixes.push_back(this->SumMix(true, mix, direct));
    }
    for (std::size_t mix = 0; mix < this->plan.calls.size(); ++mix) {
      figures.mixes.push_back(this->SumMix(false, mix, direct));
    }
  }
  for (const Entry& entry : this->entries) {
    ++figures.arrived;
    figures.tokens += entry.tokens;
    if (entry.outcome == RequestOutcome::kCompleted) {
      ++figures.completed;
      figures.completed_prefill_tokens +=
          entry.usage.prompt_tokens -
          std::min(entry.usage.cached_tokens, entry.usage.prompt_tokens);
    }
  }
  figures.timeline = this->SumTimeline();
  return figures;
}

Timeline Accounting::SumTimeline() const {
  Timeline timeline{.begun = this->measured_from - this->plan.warm_up};
  for (const Entry& entry : this->entries) {
    if (entry.direct || entry.arrived < timeline.begun) {
      continue;
    }
    const auto step = static_cast<std::size_t>(
        (entry.arrived - timeline.begun) / kTimelineStep);
    if (step >= timeline.offered.size()) {
      timeline.offered.resize(step + 1);
      timeline.on_time.resize(step + 1);
      timeline.failed.resize(step + 1);
      timeline.slowest.resize(step + 1);
    }
    ++timeline.offered[step];
    if (entry.outcome != RequestOutcome::kCompleted) {
      ++timeline.failed[step];
      continue;
    }
    timeline.on_time[step] += this->OnTime(entry) ? 1 : 0;
    timeline.slowest[step] =
        std::max(timeline.slowest[step], this->FirstToken(entry));
  }
  return timeline;
}

MixFigures Accounting::SumMix(bool generation,
                              std::size_t mix,
                              bool direct) const {
  Sums sums;
  sums.figures.name = generation ? this->plan.generations[mix].name
                                 : this->plan.calls[mix].name;
  sums.figures.generation = generation;
  sums.figures.direct = direct;
  for (const Entry& entry : this->entries) {
    if (!entry.measured || entry.generation != generation || entry.mix != mix ||
        entry.direct != direct) {
      continue;
    }
    ++sums.figures.offered;
    sums.figures.mean_prompt_tokens += entry.drawn_prompt;
    sums.figures.mean_shared_tokens += entry.drawn_shared;
    sums.figures.mean_output_tokens += entry.drawn_output;
    ++sums.figures.outcomes[entry.outcome];
    sums.figures.slow_readers += entry.slow ? 1 : 0;
    if (entry.outcome == RequestOutcome::kCompleted) {
      this->AddCompleted(entry, sums);
    } else {
      ++sums.figures.codes[entry.code];
    }
  }
  const double offered =
      std::max(1.0, static_cast<double>(sums.figures.offered));
  sums.figures.mean_prompt_tokens /= offered;
  sums.figures.mean_shared_tokens /= offered;
  sums.figures.mean_output_tokens /= offered;
  sums.figures.first_token = Quantiles(std::move(sums.first_tokens));
  sums.figures.token_interval = Quantiles(std::move(sums.intervals));
  return sums.figures;
}

Duration Accounting::FirstToken(const Entry& entry) const {
  return entry.first - entry.arrived + 2 * this->plan.client_one_way;
}

Duration Accounting::TokenInterval(const Entry& entry) {
  return entry.tokens > 1 ? (entry.last - entry.first) / (entry.tokens - 1)
                          : Duration::zero();
}

bool Accounting::OnTime(const Entry& entry) const {
  const Duration first_token = this->FirstToken(entry);
  if (!entry.generation) {
    return first_token <= this->plan.calls[entry.mix].answer_in;
  }
  // The pause of a slow reader is not latency of the router.
  if (entry.slow) {
    return false;
  }
  const GenerationMix& mix = this->plan.generations[entry.mix];
  if (!mix.stream) {
    return first_token <= mix.first_token + entry.tokens * mix.token_interval;
  }
  return first_token <= mix.first_token &&
         TokenInterval(entry) <= mix.token_interval;
}

void Accounting::AddCompleted(const Entry& entry, Sums& sums) const {
  sums.first_tokens.push_back(this->FirstToken(entry));
  sums.figures.on_time += this->OnTime(entry) ? 1 : 0;
  if (entry.generation && !entry.slow &&
      this->plan.generations[entry.mix].stream) {
    sums.intervals.push_back(TokenInterval(entry));
  }
}

}  // namespace acacialug::load
