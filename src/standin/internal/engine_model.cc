#include "standin/engine_model.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <utility>

#include "standin/internal/engine_scheduler.h"
#include "standin/internal/lagged_load.h"
#include "standin/internal/pausable_clock.h"

namespace acacialug::standin {
namespace {

constexpr std::size_t kMaximumEventsKept = 10'000;
constexpr std::size_t kMaxReportedEvents = 1000;

std::string NewEngineId(const std::string& name, RandomSource& random) {
  char text[20];
  std::snprintf(text, sizeof text, "-%08x",
                static_cast<unsigned>(random.Next() & 0xffffffffU));
  return name + text;
}

// An adapter may be given with its version, as NAME@VERSION or NAME:VERSION.
bool NamesAdapter(const std::string& adapter, const std::string& model) {
  return adapter.starts_with(model) &&
         (adapter.size() == model.size() || adapter[model.size()] == '@' ||
          adapter[model.size()] == ':');
}

}  // namespace

class EngineModel::Implementation {
 public:
  Implementation(EngineOptions engine_options, RandomSource& random_source)
      : options(std::move(engine_options)),
        random(random_source),
        scheduler(this->options,
                  random_source,
                  {.capacity = this->options.cache_blocks,
                   .on_event =
                       [this](CacheEventKind kind, std::uint64_t hash) {
                         this->AddCacheEvent(kind, hash);
                       }}),
        lagged_load(this->options.load_lag, this->scheduler.load()) {
    this->SetFirstState();
  }

  void SetFirstState() {
    this->id = NewEngineId(this->options.id, this->random);
    this->order = {.model = this->options.model,
                   .version = this->options.version,
                   .adapters = this->options.adapters,
                   .role = this->options.role};
    this->loading_until = Instant::min();
  }

  // Advances the engine to `now`; returns its own time.
  Instant AdvanceClock(Instant now) {
    this->clock.ResumeIfDue(now);
    const Instant inner = this->clock.Inner(now);
    this->inner_now = inner;
    this->scheduler.AdvanceTo(inner);
    this->Record(inner);
    return inner;
  }

  void Record(Instant inner) {
    const EngineLoad load = this->scheduler.load();
    if (load.running != this->last_load.running ||
        load.waiting != this->last_load.waiting ||
        load.free_kv_tokens != this->last_load.free_kv_tokens) {
      this->last_load = load;
      this->lagged_load.Record(load, inner);
    }
  }

  void Refuse(const EngineWork& work, EngineError error) {
    ++this->scheduler.stats.refused;
    this->scheduler.outputs.push_back(
        WorkFailed{.request_id = work.request_id, .error = error});
  }

  std::optional<EngineError> WhyNot(const EngineWork& work,
                                    Instant inner) const {
    const std::uint64_t tokens =
        PromptTokens(work.prompt) + (work.export_kv ? 0 : work.max_tokens);
    if (this->faults.refuse) {
      return EngineError::kRefused;
    }
    if (inner < this->loading_until) {
      return EngineError::kLoading;
    }
    if (this->order.role ==
        (work.export_kv ? EngineRole::kDecode : EngineRole::kPrefill)) {
      return EngineError::kWrongRole;
    }
    if (!this->Offers(work.model)) {
      return EngineError::kUnknownModel;
    }
    if (tokens > this->options.context_tokens ||
        (this->options.kv_tokens > 0 && tokens > this->options.kv_tokens)) {
      return EngineError::kContextTooLong;
    }
    if (this->scheduler.Holds(work)) {
      return EngineError::kDuplicate;
    }
    return std::nullopt;
  }

  bool Offers(const std::string& model) const {
    return this->order.model.empty() || model == this->order.model ||
           std::ranges::any_of(this->order.adapters,
                               [&](const std::string& adapter) {
                                 return NamesAdapter(adapter, model);
                               });
  }

  void AddCacheEvent(CacheEventKind kind, std::uint64_t hash) {
    const std::uint64_t event = ++this->last_event;
    if (this->random.Unit() < this->options.cache_event_gap) {
      return;
    }
    this->events.push_back(
        {.id = event,
         .kind = kind,
         .hash = hash,
         .visible_at = this->inner_now + this->options.cache_event_delay});
    if (this->events.size() > kMaximumEventsKept) {
      this->events.pop_front();
    }
  }

  EngineOptions options;
  RandomSource& random;
  std::string id;
  PausableClock clock;
  Instant inner_now;
  EngineOrder order;
  Instant loading_until;
  EngineFaults faults;
  std::deque<CacheEvent> events;
  std::uint64_t last_event = 0;
  EngineScheduler scheduler;
  LaggedLoad lagged_load;
  EngineLoad last_load = this->scheduler.load();
};

EngineModel::EngineModel(EngineOptions options, RandomSource& random)
    : implementation(
          std::make_unique<Implementation>(std::move(options), random)) {}

EngineModel::~EngineModel() = default;

void EngineModel::Submit(EngineWork work, Instant now) {
  Implementation& self = *this->implementation;
  const Instant inner = self.AdvanceClock(now);
  if (const std::optional<EngineError> error = self.WhyNot(work, inner)) {
    self.Refuse(work, *error);
    return;
  }
  self.scheduler.Submit(std::move(work), inner);
  self.Record(inner);
}

void EngineModel::Abort(const std::string& request_id, Instant now) {
  const Instant inner = this->implementation->AdvanceClock(now);
  this->implementation->scheduler.Abort(request_id, inner);
  this->implementation->Record(inner);
}

void EngineModel::OnPullAnswered(const std::string& request_id,
                                 bool found,
                                 Instant now) {
  const Instant inner = this->implementation->AdvanceClock(now);
  this->implementation->scheduler.OnPullAnswered(request_id, found, inner);
  this->implementation->Record(inner);
}

std::optional<std::uint32_t> EngineModel::BeginPull(
    const std::string& engine_id,
    const std::string& request_id,
    Instant now) {
  const Instant inner = this->implementation->AdvanceClock(now);
  if (engine_id != this->implementation->id) {
    return std::nullopt;
  }
  return this->implementation->scheduler.BeginPull(request_id, inner);
}

bool EngineModel::EndPull(const std::string& engine_id,
                          const std::string& request_id,
                          Instant now) {
  const Instant inner = this->implementation->AdvanceClock(now);
  const bool found = engine_id == this->implementation->id &&
                     this->implementation->scheduler.EndPull(request_id, inner);
  this->implementation->Record(inner);
  return found;
}

Instant EngineModel::next_event() const {
  const Implementation& self = *this->implementation;
  return self.clock.Outer(self.scheduler.next_event());
}

void EngineModel::Advance(Instant now) {
  this->implementation->AdvanceClock(now);
}

std::vector<EngineOutput> EngineModel::TakeOutputs() {
  return std::exchange(this->implementation->scheduler.outputs, {});
}

bool EngineModel::ApplyOrder(const EngineOrder& order, Instant now) {
  Implementation& self = *this->implementation;
  const Instant inner = self.AdvanceClock(now);
  if (self.options.checks_fencing &&
      order.fencing_token < self.order.fencing_token) {
    return false;
  }
  const bool replaced =
      order.model != self.order.model || order.version != self.order.version;
  if (replaced) {
    self.scheduler.FailAll(EngineError::kModelReplaced);
  }
  if (replaced || order.adapters != self.order.adapters) {
    self.loading_until = inner + self.options.load_time;
  }
  self.order = order;
  self.Record(inner);
  return true;
}

EngineState EngineModel::state(Instant now) {
  const Instant inner = this->implementation->AdvanceClock(now);
  return {.order = this->implementation->order,
          .loading = inner < this->implementation->loading_until};
}

EngineLoad EngineModel::load(Instant now) {
  const Instant inner = this->implementation->AdvanceClock(now);
  return this->implementation->lagged_load.Report(inner);
}

std::vector<HeldRequest> EngineModel::held() const {
  return this->implementation->scheduler.held();
}

std::vector<CacheEvent> EngineModel::CacheEventsAfter(std::uint64_t id,
                                                      Instant now) const {
  const Instant inner = this->implementation->clock.Inner(now);
  std::vector<CacheEvent> reported;
  for (const CacheEvent& event : this->implementation->events) {
    if (event.visible_at > inner || reported.size() == kMaxReportedEvents) {
      break;
    }
    if (event.id > id) {
      reported.push_back(event);
    }
  }
  return reported;
}

const EngineStats& EngineModel::stats() const {
  return this->implementation->scheduler.stats;
}

const std::string& EngineModel::engine_id() const {
  return this->implementation->id;
}

const EngineOptions& EngineModel::options() const {
  return this->implementation->options;
}

void EngineModel::SetFaults(const EngineFaults& faults, Instant now) {
  const Instant inner = this->implementation->AdvanceClock(now);
  this->implementation->faults = faults;
  this->implementation->scheduler.SetFaults(faults, inner);
}

void EngineModel::Stall(Instant until, Instant now) {
  this->implementation->AdvanceClock(now);
  this->implementation->clock.Stall(until, now);
}

void EngineModel::Resume(Instant now) {
  this->implementation->AdvanceClock(now);
  this->implementation->clock.Resume(now);
}

bool EngineModel::stalled(Instant now) const {
  this->implementation->clock.ResumeIfDue(now);
  return this->implementation->clock.stalled();
}

void EngineModel::EvictExports(Instant now) {
  const Instant inner = this->implementation->AdvanceClock(now);
  this->implementation->scheduler.EvictExports(inner);
  this->implementation->Record(inner);
}

void EngineModel::Restart(Instant now) {
  const Instant inner = this->implementation->AdvanceClock(now);
  this->implementation->scheduler.FailAll(EngineError::kRestarted);
  this->implementation->clock.Resume(now);
  this->implementation->SetFirstState();
  this->implementation->Record(inner);
}

}  // namespace acacialug::standin
