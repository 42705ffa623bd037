#include "standin/internal/engine_scheduler.h"

#include <algorithm>

namespace acacialug::standin {

EngineScheduler::EngineScheduler(const EngineOptions& engine_options,
                                 RandomSource& random_source,
                                 PrefixCache::Options cache_options)
    : options(engine_options),
      random(random_source),
      cache(std::move(cache_options)),
      link(static_cast<double>(engine_options.link_bytes_per_second)) {}

void EngineScheduler::Submit(EngineWork work, Instant now) {
  Job job;
  job.serial = ++this->last_serial;
  job.plan = PlanAnswer(work.prompt, work.max_tokens);
  job.fails = this->random.Unit() < this->faults.fail_share;
  job.reserved = job.plan.prompt_tokens;
  if (!work.export_kv) {
    job.reserved += work.max_tokens;
    job.generator.emplace(work.prompt);
  }
  if (!work.import_kv) {
    job.chain = PrefixHashes(work.prompt, this->options.block_tokens);
    job.prefill_left = job.plan.prompt_tokens;
  }
  work.prompt.clear();  // the generator and the chain contain it
  job.work = std::move(work);
  const Serial serial = job.serial;
  this->serials[job.work.request_id] = serial;
  this->waiting[{job.work.priority, serial}] = serial;
  this->jobs.emplace(serial, std::move(job));
  this->Admit();
  this->RefuseIfOverfull(serial);
  this->StartStep(now);
}

void EngineScheduler::Abort(const std::string& request_id, Instant now) {
  std::erase_if(this->outputs, [&request_id](const EngineOutput& output) {
    return std::visit(
        [&request_id](const auto& output) {
          return output.request_id == request_id;
        },
        output);
  });
  if (const std::optional<Export> taken = this->exports.Take(request_id)) {
    this->Waste(taken->computed);
    ++this->stats.aborted;
  }
  if (const Job* job = this->FindById(request_id)) {
    this->CountUnfinished(*job);
    ++this->stats.aborted;
    this->link.Cancel(job->serial, now);
    this->Remove(job->serial);
  }
  this->Admit();
  this->StartStep(now);
}

void EngineScheduler::OnPullAnswered(const std::string& request_id,
                                     bool found,
                                     Instant now) {
  Job* job = this->FindById(request_id);
  if (job == nullptr ||
      (job->phase != Phase::kPulling && job->phase != Phase::kConfirming)) {
    return;
  }
  if (!found) {
    this->Fail(job->serial, EngineError::kKvExpired);
    this->Admit();
  } else if (job->phase == Phase::kPulling) {
    const double setup =
        Seconds(this->options.transfer_setup) *
        static_cast<double>(this->options.link_bytes_per_second);
    job->phase = Phase::kImporting;
    this->link.Start(
        job->serial,
        setup + static_cast<double>(job->plan.prompt_tokens) *
                    static_cast<double>(this->options.kv_bytes_per_token),
        now);
  } else {
    job->phase = Phase::kStreaming;
    this->streaming.push_back(job->serial);
  }
  this->StartStep(now);
}

std::optional<std::uint32_t> EngineScheduler::BeginPull(
    const std::string& request_id,
    Instant now) {
  const Export* kept = this->exports.Find(request_id);
  if (kept == nullptr) {
    return std::nullopt;
  }
  const std::uint32_t tokens = kept->tokens;
  if (this->options.pinned_lifetime > Duration::zero()) {
    this->exports.SetExpiry(request_id, now + this->options.pinned_lifetime);
  }
  return tokens;
}

bool EngineScheduler::EndPull(const std::string& request_id, Instant now) {
  const bool found = this->exports.Take(request_id).has_value();
  this->stats.exports_fetched += found ? 1 : 0;
  this->Admit();
  this->StartStep(now);
  return found;
}

Instant EngineScheduler::next_event() const {
  return std::min({this->step ? this->step->end : kNever, this->link.next_end(),
                   this->exports.next_expiry()});
}

void EngineScheduler::AdvanceTo(Instant now) {
  for (Instant due = this->next_event(); due <= now; due = this->next_event()) {
    this->DropExpired(due);
    this->EndTransfers(due);
    if (this->step && this->step->end <= due) {
      this->EndStep();
    }
    this->Admit();
    this->StartStep(due);
  }
}

bool EngineScheduler::Holds(const EngineWork& work) const {
  return this->serials.contains(work.request_id) ||
         (work.export_kv && this->exports.Find(work.request_id) != nullptr);
}

EngineLoad EngineScheduler::load() const {
  EngineLoad load;
  load.waiting = static_cast<std::uint32_t>(this->waiting.size());
  load.running = static_cast<std::uint32_t>(this->jobs.size()) - load.waiting;
  load.total_kv_tokens = this->options.kv_tokens;
  const std::uint64_t used = this->jobs_tokens + this->exports.held_tokens();
  load.free_kv_tokens =
      load.total_kv_tokens - std::min(load.total_kv_tokens, used);
  return load;
}

std::vector<HeldRequest> EngineScheduler::held() const {
  std::vector<HeldRequest> held;
  for (const auto& [serial, job] : this->jobs) {
    held.push_back(
        {.request_id = job.work.request_id,
         .kind = job.work.export_kv ? HeldKind::kPrefill : HeldKind::kStream,
         .kv_tokens = job.phase == Phase::kWaiting ? 0 : job.reserved});
  }
  for (const auto& [id, kept] : this->exports.all()) {
    held.push_back({.request_id = id,
                    .kind = HeldKind::kExport,
                    .kv_tokens = kept.tokens});
  }
  return held;
}

void EngineScheduler::SetFaults(const EngineFaults& new_faults, Instant now) {
  this->faults = new_faults;
  this->link.SetRate(static_cast<double>(this->options.link_bytes_per_second) *
                         new_faults.link_factor,
                     now);
}

void EngineScheduler::EvictExports(Instant now) {
  for (const auto& [id, kept] : this->exports.all()) {
    this->exports.SetExpiry(id, now);
  }
  this->DropExpired(now);
}

void EngineScheduler::FailAll(EngineError error) {
  while (!this->jobs.empty()) {
    this->Fail(this->jobs.begin()->first, error);
  }
  this->DropExpired(kNever);
  this->cache.Clear();
  this->step.reset();
}

bool EngineScheduler::HasCapacity(const Job& job) const {
  if (job.work.export_kv) {
    if (this->prefilling.size() >= this->options.prefill_slots) {
      return false;
    }
  } else if (this->streams_held >= this->options.slots) {
    return false;
  }
  const std::uint64_t used = this->jobs_tokens + this->exports.held_tokens();
  return this->options.kv_tokens == 0 ||
         used + job.reserved <= this->options.kv_tokens;
}

void EngineScheduler::Admit() {
  // The first job without capacity blocks those behind it. Otherwise a long
  // request would starve.
  while (!this->waiting.empty()) {
    const auto first = this->waiting.begin();
    Job& job = this->jobs.at(first->second);
    if (!this->HasCapacity(job)) {
      return;
    }
    this->waiting.erase(first);
    this->Begin(job);
  }
}

void EngineScheduler::Begin(Job& job) {
  this->jobs_tokens += job.reserved;
  this->streams_held += job.work.export_kv ? 0 : 1;
  if (job.work.import_kv) {
    job.phase = Phase::kPulling;
    this->outputs.push_back(PullKv{.request_id = job.work.request_id,
                                   .kv = *job.work.import_kv,
                                   .done = false});
    return;
  }
  job.phase = Phase::kPrefilling;
  this->prefilling.push_back(job.serial);
}

void EngineScheduler::RefuseIfOverfull(Serial serial) {
  const Job* job = this->Find(serial);
  if (job == nullptr || job->phase != Phase::kWaiting ||
      this->waiting.size() <= this->options.waiting_limit) {
    return;
  }
  ++this->stats.refused;
  this->outputs.push_back(WorkFailed{.request_id = job->work.request_id,
                                     .error = job->work.export_kv
                                                  ? EngineError::kQueueFull
                                                  : EngineError::kMemoryFull});
  this->Remove(serial);
}

void EngineScheduler::EndTransfers(Instant now) {
  for (const Serial serial : this->link.TakeEnded(now)) {
    if (Job* job = this->Find(serial)) {
      job->phase = Phase::kConfirming;
      this->outputs.push_back(PullKv{.request_id = job->work.request_id,
                                     .kv = *job->work.import_kv,
                                     .done = true});
    }
  }
}

void EngineScheduler::DropExpired(Instant now) {
  for (const Export& expired : this->exports.TakeExpired(now)) {
    this->Waste(expired.computed);
    ++this->stats.exports_evicted;
  }
}

void EngineScheduler::Waste(std::uint64_t tokens) {
  this->stats.prefill_wasted += tokens;
}

void EngineScheduler::CountUnfinished(const Job& job) {
  if (job.work.export_kv) {
    this->Waste(job.computed);
  } else if (job.phase == Phase::kStreaming) {
    this->stats.prompt_discarded += job.plan.prompt_tokens;
  }
}

EngineScheduler::Job* EngineScheduler::Find(Serial serial) {
  const auto found = this->jobs.find(serial);
  return found == this->jobs.end() ? nullptr : &found->second;
}

EngineScheduler::Job* EngineScheduler::FindById(const std::string& request_id) {
  const auto found = this->serials.find(request_id);
  return found == this->serials.end() ? nullptr : this->Find(found->second);
}

void EngineScheduler::Remove(Serial serial) {
  const auto found = this->jobs.find(serial);
  const Job& job = found->second;
  if (job.phase == Phase::kWaiting) {
    this->waiting.erase({job.work.priority, serial});
  } else {
    this->jobs_tokens -= job.reserved;
    this->streams_held -= job.work.export_kv ? 0 : 1;
  }
  std::erase(this->prefilling, serial);
  std::erase(this->streaming, serial);
  this->serials.erase(job.work.request_id);
  this->jobs.erase(found);
}

void EngineScheduler::Fail(Serial serial, EngineError error) {
  const Job& job = *this->Find(serial);
  this->CountUnfinished(job);
  ++this->stats.failed;
  this->outputs.push_back(
      WorkFailed{.request_id = job.work.request_id, .error = error});
  this->Remove(serial);
}

}  // namespace acacialug::standin
