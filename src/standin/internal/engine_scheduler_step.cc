#include <algorithm>
#include <cmath>

#include "standin/internal/engine_scheduler.h"

namespace acacialug::standin {

void EngineScheduler::StartStep(Instant now) {
  if (this->step || (this->streaming.empty() && this->prefilling.empty())) {
    return;
  }
  Step next{.begin = now, .batch = this->streaming};
  Duration length = this->IterationTime(next.batch);
  if (!this->prefilling.empty()) {
    next.prefill = this->prefilling.front();
    length += this->ChunkTime(*this->Find(next.prefill), next.chunk);
  }
  const double slowed =
      static_cast<double>(length.count()) * this->faults.slow_factor;
  next.end = now + std::max(Duration(std::llround(slowed)), Duration(1));
  this->step = std::move(next);
}

void EngineScheduler::EndStep() {
  const Step ended = *std::move(this->step);
  this->step.reset();
  ++this->stats.iterations;
  this->stats.busy += ended.end - ended.begin;
  for (const Serial serial : ended.batch) {
    this->EmitToken(serial);
  }
  if (ended.prefill == 0) {
    return;
  }
  this->stats.prefill_computed += ended.chunk;
  Job* job = this->Find(ended.prefill);
  if (job == nullptr) {
    this->Waste(ended.chunk);
    return;
  }
  job->computed += ended.chunk;
  job->prefill_left -= ended.chunk;
  std::erase(this->prefilling, ended.prefill);
  if (job->prefill_left > 0) {
    this->prefilling.push_back(ended.prefill);
  } else {
    this->FinishPrefill(*job, ended.end);
  }
}

void EngineScheduler::FinishPrefill(Job& job, Instant now) {
  if (job.fails && job.work.export_kv) {
    this->Fail(job.serial, EngineError::kFailed);
    return;
  }
  this->cache.Store(job.chain);
  this->stats.prefill_cached += job.cached;
  if (!job.work.export_kv) {
    job.phase = Phase::kStreaming;
    this->streaming.push_back(job.serial);
    return;
  }
  ++this->stats.prefills_done;
  this->outputs.push_back(PrefillReady{.request_id = job.work.request_id,
                                       .prompt_tokens = job.plan.prompt_tokens,
                                       .cached_tokens = job.cached});
  this->exports.Add({.request_id = job.work.request_id,
                     .tokens = job.plan.prompt_tokens,
                     .computed = job.computed,
                     .expires = now + this->options.export_lifetime});
  this->Remove(job.serial);
}

void EngineScheduler::EmitToken(Serial serial) {
  Job* job = this->Find(serial);
  if (job == nullptr) {
    return;  // aborted during the iteration
  }
  if (job->made < job->plan.output_tokens) {
    ++job->made;
    ++this->stats.output;
    this->outputs.push_back(TokensMade{.request_id = job->work.request_id,
                                       .text = job->generator->Next(),
                                       .tokens = 1});
  }
  if (job->fails && 2 * job->made >= job->plan.output_tokens) {
    this->Fail(serial, EngineError::kFailed);
  } else if (job->made >= job->plan.output_tokens) {
    ++this->stats.streams_done;
    this->outputs.push_back(
        WorkDone{.request_id = job->work.request_id,
                 .reason = job->plan.reason,
                 .usage = {.prompt_tokens = job->plan.prompt_tokens,
                           .cached_tokens = job->cached,
                           .output_tokens = job->made}});
    this->Remove(serial);
  }
}

Duration EngineScheduler::IterationTime(
    const std::vector<Serial>& batch) const {
  if (batch.empty()) {
    return Duration::zero();
  }
  double tokens = 0;
  for (const Serial serial : batch) {
    const Job& job = this->jobs.at(serial);
    tokens += job.plan.prompt_tokens + job.made;
  }
  // W + H * mean_seq / calibration_context * n_active, where mean_seq *
  // n_active is the sum of the lengths.
  return this->options.base_iteration +
         FromSeconds(Seconds(this->options.stream_iteration) * tokens /
                     this->options.calibration_context);
}

Duration EngineScheduler::ChunkTime(Job& job, std::uint32_t& chunk) {
  Duration length{};
  if (!job.prefill_begun) {
    job.prefill_begun = true;
    length += this->options.prefill_fixed;
    const std::uint64_t found =
        this->cache.Find(job.chain) * this->options.block_tokens;
    // The last token of a prompt is always computed, since the answer follows
    // from
    // it.
    job.cached = static_cast<std::uint32_t>(std::min<std::uint64_t>(
        found, job.plan.prompt_tokens - std::min(job.plan.prompt_tokens, 1U)));
    job.prefill_left = job.plan.prompt_tokens - job.cached;
  }
  chunk = std::min(job.prefill_left, this->options.prefill_chunk_tokens);
  return length + FromSeconds(chunk / this->options.prefill_tokens_per_second);
}

}  // namespace acacialug::standin
