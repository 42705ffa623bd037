#include "scenario/simulation.h"

#include <algorithm>
#include <utility>

#include "configuration/types/configuration_record.h"
#include "scenario/internal/manifest_text.h"
#include "scenario/internal/process_name.h"

namespace acacialug::scenario {
namespace {

// More steps at one instant mean that processes send each other messages
// without end.
constexpr std::uint64_t kMaxStepsPerInstant = 200000;

}  // namespace

Simulation::Simulation(const SimulationOptions& simulation_options)
    : settings(simulation_options),
      random(this->settings.seed),
      rules(this->queue),
      platform_log(this->queue,
                   {.retain_age = this->settings.retention},
                   this->settings.log_delay,
                   this->settings.seed),
      wires(
          this->queue,
          this->settings.network_delay,
          [this](const std::string& name) { return this->FindAgent(name); },
          this->settings.seed),
      all_callers(
          this->queue,
          this->rules,
          [this](const std::string& name) { return this->FindEntry(name); }),
      weights({.permits = this->settings.permits, .lease = 60s}),
      parts{this->settings,
            this->queue,
            this->platform_log,
            this->wires,
            this->all_callers,
            this->rules,
            [this](LogOffset offset) { return this->FindManifest(offset); },
            this->settings.permits > 0 ? &this->weights : nullptr} {
  this->Publish("v1", {}, {});
  this->Run(this->settings.log_delay * 3);
  this->AddEndpoints();
  for (std::uint32_t number = 1; number <= this->settings.entries; ++number) {
    this->StartEntry("e" + std::to_string(number));
  }
  this->SchedulePeriodicChecks();
}

Simulation::~Simulation() = default;

void Simulation::AddEndpoints() {
  struct Pool {
    char prefix;
    protocol::EndpointRole role;
    std::uint32_t count;
  };
  for (const Pool& pool :
       {Pool{'p', protocol::EndpointRole::kPrefill, this->settings.prefill},
        Pool{'d', protocol::EndpointRole::kDecode, this->settings.decode},
        Pool{'s', protocol::EndpointRole::kPlain, this->settings.plain}}) {
    for (std::uint32_t number = 1; number <= pool.count; ++number) {
      const std::string id = pool.prefix + std::to_string(number);
      this->engines[id] = std::make_unique<EngineHost>(
          id, pool.role, this->settings, this->queue, this->random,
          this->kv_network, [this, id](const engine::EngineEvent& event) {
            if (const auto agent = this->FindAgent(id)) {
              agent->OnEngineEvent(event);
            }
          });
      this->StartAgent(id);
    }
  }
}

void Simulation::StartEntry(const std::string& name) {
  const auto host =
      std::make_shared<EntryHost>(name, this->random.Next(), this->parts);
  this->entries[name] = host;
  this->started["entry " + name] = this->queue.now();
  host->Start();
}

void Simulation::StartAgent(const std::string& name) {
  const auto host = std::make_shared<AgentHost>(
      *this->engines.at(name), this->random.Next(), this->parts);
  this->agents[name] = host;
  this->started["agent " + name] = this->queue.now();
  host->Start();
}

// ---- time ----

void Simulation::At(Duration age, std::function<void()> task) {
  this->queue.At(kBegin + age, std::move(task));
}

void Simulation::Run(Duration length) {
  const Instant end = this->queue.now() + length;
  while (this->Step(end)) {
  }
  this->queue.AdvanceTo(end);
}

// Runs the next event that is due by `end`. At one instant messages come first,
// then engines, then the timers of processes.
bool Simulation::Step(Instant end) {
  Instant next = this->queue.next();
  EngineHost* engine = nullptr;
  Process* process = nullptr;
  for (const auto& [id, host] : this->engines) {
    if (host->next_event() < next) {
      next = host->next_event();
      engine = host.get();
    }
  }
  const auto consider = [&](Process& host) {
    if (host.NextTimer() < next) {
      next = host.NextTimer();
      process = &host;
    }
  };
  for (const auto& [name, host] : this->agents) {
    consider(*host);
  }
  for (const auto& [name, host] : this->entries) {
    consider(*host);
  }
  if (next > end) {
    return false;
  }
  this->steps_at_once = next > this->queue.now() ? 0 : this->steps_at_once + 1;
  if (this->steps_at_once > kMaxStepsPerInstant) {
    this->rules.Report("the processes never come to rest");
    return false;
  }
  this->queue.AdvanceTo(next);
  if (process != nullptr) {
    process->RunTimers();
  } else if (engine != nullptr) {
    engine->Deliver();
  } else {
    this->queue.RunNext();
  }
  this->EndDrained();
  this->CheckPools();
  return true;
}

void Simulation::EndDrained() {
  for (const std::string& name : std::set<std::string>(this->draining)) {
    const auto entry = this->FindEntry(name);
    if (entry != nullptr && !entry->paused() && entry->core().drained()) {
      this->stopped.insert(name);
      this->Kill("entry " + name);
    }
  }
}

// ---- processes ----

std::shared_ptr<EntryHost> Simulation::FindEntry(
    const std::string& name) const {
  const auto found = this->entries.find(name);
  return found == this->entries.end() ? nullptr : found->second;
}

std::shared_ptr<AgentHost> Simulation::FindAgent(
    const std::string& name) const {
  const auto found = this->agents.find(name);
  return found == this->agents.end() ? nullptr : found->second;
}

std::shared_ptr<Process> Simulation::Find(const std::string& process) const {
  const auto [kind, name] = SplitName(process);
  if (kind == "entry") {
    return this->FindEntry(name);
  }
  return kind == "agent" ? std::shared_ptr<Process>(this->FindAgent(name))
                         : nullptr;
}

// ---- callers and configuration ----

Result<std::string> Simulation::Ticket(const std::string& entry) {
  const auto host = this->FindEntry(entry);
  if (host == nullptr || host->paused()) {
    return Error(ResultCode::kEndpointLost, entry);
  }
  return host->core().IssueTicket(
      ServiceName("app"), WallClock(this->queue.now()), this->queue.now());
}

void Simulation::Publish(const std::string& version,
                         LogOffset replaces,
                         const std::set<std::string>& leaving) {
  this->platform_log.Append(
      kConfigurationStream,
      configuration::EncodeRecord(
          {.kind = configuration::RecordKind::kPublish,
           .manifest_text =
               ManifestText(this->settings, version, replaces, leaving),
           .publisher = "pipeline",
           .publication = {.high = 3, .low = ++this->last_publication}}),
      [](const Result<LogOffset>&) {});
}

PeerManifest Simulation::FindManifest(LogOffset offset) const {
  for (const auto& [name, entry] : this->entries) {
    const auto* held = entry->feed().follower().active();
    if (!entry->paused() && held != nullptr &&
        held->manifest->offset >= offset) {
      return {held->manifest->offset, held->text};
    }
  }
  return {};
}

LogOffset Simulation::OffsetOf(const std::string& process) const {
  const auto [kind, name] = SplitName(process);
  if (const auto entry = this->FindEntry(name)) {
    return entry->feed().follower().offset();
  }
  const auto agent = this->FindAgent(name);
  return agent == nullptr ? LogOffset() : agent->feed().follower().offset();
}

std::string Simulation::VersionOf(const std::string& process) const {
  const auto [kind, name] = SplitName(process);
  const configuration::AcceptedManifest* held = nullptr;
  if (const auto entry = this->FindEntry(name)) {
    held = entry->feed().follower().active();
  } else if (const auto agent = this->FindAgent(name)) {
    held = agent->feed().follower().active();
  }
  return held == nullptr ? "" : held->manifest->version;
}

entry::EntryCounters Simulation::entry_counters() const {
  entry::EntryCounters sum;
  for (const auto& [name, entry] : this->entries) {
    const entry::EntryCounters one = entry->core().counters();
    sum.dropped_frames += one.dropped_frames;
    sum.runs_repeated += one.runs_repeated;
    sum.streams_resumed += one.streams_resumed;
    sum.prefills_reused += one.prefills_reused;
    sum.prefills_lost += one.prefills_lost;
    sum.look_ups += one.look_ups;
    sum.sessions_lost += one.sessions_lost;
  }
  return sum;
}

std::uint64_t Simulation::Executions(const std::string& marker) const {
  std::uint64_t sum = 0;
  for (const auto& [id, engine] : this->engines) {
    sum += engine->executions(marker);
  }
  return sum;
}

std::string Simulation::EngineVersion(const std::string& endpoint) const {
  const auto found = this->engines.find(endpoint);
  return found == this->engines.end() ? "" : found->second->version();
}

agent::OrderStatus Simulation::OrdersAt(const std::string& endpoint) const {
  const auto agent = this->FindAgent(endpoint);
  return agent == nullptr ? agent::OrderStatus{} : agent->core().order_status();
}

std::size_t Simulation::HeldBy(const std::string& endpoint) const {
  const auto found = this->engines.find(endpoint);
  return found == this->engines.end() ? 0 : found->second->held().size();
}

std::string Simulation::DecodesAt(std::uint64_t number) const {
  for (const auto& [id, engine] : this->engines) {
    for (const standin::HeldRequest& item : engine->held()) {
      const auto attempt = ParseAttemptId(item.request_id);
      if (item.kind == standin::HeldKind::kStream && attempt &&
          attempt->request == this->all_callers.Get(number).id) {
        return id;
      }
    }
  }
  return "";
}

}  // namespace acacialug::scenario
