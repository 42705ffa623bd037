#include "scenario/world.h"

#include <algorithm>
#include <utility>

#include "configuration/types/configuration_record.h"
#include "scenario/internal/manifest_text.h"

namespace acacialug::scenario {
namespace {

constexpr Duration kLookInterval = 100ms;
// More steps without any time passing: the processes keep each other busy.
constexpr std::uint64_t kMostStepsAtOnce = 200000;

// "entry e1" -> {"entry", "e1"}.
std::pair<std::string, std::string> Split(const std::string& process) {
  const std::size_t space = process.find(' ');
  return space == std::string::npos
             ? std::pair<std::string, std::string>()
             : std::pair(process.substr(0, space), process.substr(space + 1));
}

}  // namespace

World::World(const WorldOptions& world_options)
    : settings(world_options),
      random(this->settings.seed),
      rules(this->queue),
      platform_log(this->queue,
                   {.retain_age = this->settings.retention},
                   this->settings.log_delay),
      wires(this->queue,
            this->settings.network_delay,
            [this](const std::string& name) { return this->FindAgent(name); }),
      asking(this->queue,
             this->rules,
             [this](const std::string& name) { return this->FindEntry(name); }),
      parts{this->settings,
            this->queue,
            this->platform_log,
            this->wires,
            this->asking,
            this->rules,
            [this](LogOffset offset) { return this->FindManifest(offset); }} {
  this->Publish("v1", {}, {});
  this->Run(this->settings.log_delay * 3);
  this->AddEndpoints();
  for (std::uint32_t number = 1; number <= this->settings.entries; ++number) {
    this->StartEntry("e" + std::to_string(number));
  }
  this->LookEvery();
}

World::~World() = default;

void World::AddEndpoints() {
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

void World::StartEntry(const std::string& name) {
  const auto host =
      std::make_shared<EntryHost>(name, this->random.Next(), this->parts);
  this->entries[name] = host;
  host->Start();
}

void World::StartAgent(const std::string& name) {
  const auto host = std::make_shared<AgentHost>(
      *this->engines.at(name), this->random.Next(), this->parts);
  this->agents[name] = host;
  host->Start();
}

// ---- time ----

void World::At(Duration age, std::function<void()> task) {
  this->queue.At(kBegin + age, std::move(task));
}

void World::Run(Duration length) {
  const Instant end = this->queue.now() + length;
  while (this->Step(end)) {
  }
  this->queue.AdvanceTo(end);
}

// Does the next thing due by `end`: of one instant, first what was sent, then
// the engines, then the processes' timers.
bool World::Step(Instant end) {
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
  if (this->steps_at_once > kMostStepsAtOnce) {
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
  return true;
}

void World::EndDrained() {
  for (const std::string& name : std::set<std::string>(this->draining)) {
    const auto entry = this->FindEntry(name);
    if (entry != nullptr && !entry->paused() && entry->core().drained()) {
      this->stopped.insert(name);
      this->Kill("entry " + name);
    }
  }
}

// ---- processes ----

std::shared_ptr<EntryHost> World::FindEntry(const std::string& name) const {
  const auto found = this->entries.find(name);
  return found == this->entries.end() ? nullptr : found->second;
}

std::shared_ptr<AgentHost> World::FindAgent(const std::string& name) const {
  const auto found = this->agents.find(name);
  return found == this->agents.end() ? nullptr : found->second;
}

std::shared_ptr<Process> World::Find(const std::string& process) const {
  const auto [kind, name] = Split(process);
  if (kind == "entry") {
    return this->FindEntry(name);
  }
  return kind == "agent" ? std::shared_ptr<Process>(this->FindAgent(name))
                         : nullptr;
}

bool World::Kill(const std::string& process, bool silently) {
  const auto [kind, name] = Split(process);
  if (const auto entry = kind == "entry" ? this->FindEntry(name) : nullptr) {
    this->entries.erase(name);
    this->draining.erase(name);
    entry->End();
    this->wires.OnEntryEnded(*entry, silently);
    this->asking.OnEntryEnded(*entry);
    return true;
  }
  if (const auto agent = kind == "agent" ? this->FindAgent(name) : nullptr) {
    this->agents.erase(name);
    agent->End();
    this->wires.OnAgentEnded(*agent, silently);
    return true;
  }
  return false;
}

bool World::Restart(const std::string& process) {
  const auto [kind, name] = Split(process);
  this->Kill(process);
  if (kind == "entry") {
    this->StartEntry(name);
    return true;
  }
  if (kind == "agent" && this->engines.contains(name)) {
    this->rules.OnAgentStarted(EndpointId(name));
    this->StartAgent(name);
    return true;
  }
  return false;
}

bool World::Pause(const std::string& process) {
  const auto found = this->Find(process);
  if (found != nullptr) {
    found->Pause();
    this->rules.SetDisturbed(true);
  }
  return found != nullptr;
}

bool World::Resume(const std::string& process) {
  const auto found = this->Find(process);
  if (found != nullptr && found->paused()) {
    found->Resume();
    this->rules.SetDisturbed(this->Disturbed());
  }
  return found != nullptr;
}

bool World::Drain(const std::string& process) {
  const auto [kind, name] = Split(process);
  if (const auto entry = kind == "entry" ? this->FindEntry(name) : nullptr) {
    this->draining.insert(name);
    entry->Feed([this, host = entry.get()] {
      host->core().BeginDrain(this->queue.now());
    });
    return true;
  }
  if (const auto agent = kind == "agent" ? this->FindAgent(name) : nullptr) {
    agent->Drain();
    return true;
  }
  return false;
}

bool World::Stall(const std::string& endpoint, Duration length) {
  const auto found = this->engines.find(endpoint);
  if (found != this->engines.end()) {
    found->second->Stall(length);
  }
  return found != this->engines.end();
}

bool World::RestartEngine(const std::string& endpoint) {
  const auto found = this->engines.find(endpoint);
  if (found != this->engines.end()) {
    found->second->Restart();
  }
  return found != this->engines.end();
}

bool World::StallTransfers(const std::string& endpoint, bool is_out) {
  const auto found = this->engines.find(endpoint);
  if (found != this->engines.end()) {
    found->second->StallTransfers(is_out);
  }
  return found != this->engines.end();
}

void World::SetLog(const PlatformLog::Faults& faults) {
  this->platform_log.Set(faults);
  this->rules.SetDisturbed(this->Disturbed());
}

void World::Partition(const std::string& entry, const std::string& endpoint) {
  this->wires.Partition(entry, endpoint);
  this->rules.SetDisturbed(true);
}

void World::Heal(const std::string& entry, const std::string& endpoint) {
  this->wires.Heal(entry, endpoint);
  this->rules.SetDisturbed(this->Disturbed());
}

bool World::Disturbed() const {
  const PlatformLog::Faults& log_faults = this->platform_log.faults();
  const auto is_paused = [](const auto& item) { return item.second->paused(); };
  return this->wires.partitioned() || log_faults.outage ||
         log_faults.lose_answers || log_faults.delay > Duration::zero() ||
         std::any_of(this->entries.begin(), this->entries.end(), is_paused) ||
         std::any_of(this->agents.begin(), this->agents.end(), is_paused);
}

// ---- callers and configuration ----

Result<std::string> World::Ticket(const std::string& entry) {
  const auto host = this->FindEntry(entry);
  if (host == nullptr || host->paused()) {
    return Error(ResultCode::kEndpointLost, entry);
  }
  return host->core().IssueTicket(ServiceName("app"), this->queue.now());
}

void World::Publish(const std::string& version,
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

PeerManifest World::FindManifest(LogOffset offset) const {
  for (const auto& [name, entry] : this->entries) {
    const auto* held = entry->feed().follower().in_force();
    if (!entry->paused() && held != nullptr &&
        held->manifest->offset >= offset) {
      return {held->manifest->offset, held->text};
    }
  }
  return {};
}

LogOffset World::OffsetOf(const std::string& process) const {
  const auto [kind, name] = Split(process);
  if (const auto entry = this->FindEntry(name)) {
    return entry->feed().follower().offset();
  }
  const auto agent = this->FindAgent(name);
  return agent == nullptr ? LogOffset() : agent->feed().follower().offset();
}

std::string World::VersionOf(const std::string& process) const {
  const auto [kind, name] = Split(process);
  const configuration::AcceptedManifest* held = nullptr;
  if (const auto entry = this->FindEntry(name)) {
    held = entry->feed().follower().in_force();
  } else if (const auto agent = this->FindAgent(name)) {
    held = agent->feed().follower().in_force();
  }
  return held == nullptr ? "" : held->manifest->version;
}

entry::EntryCounters World::entry_counters() const {
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

std::uint64_t World::Executions(const std::string& marker) const {
  std::uint64_t sum = 0;
  for (const auto& [id, engine] : this->engines) {
    sum += engine->executions(marker);
  }
  return sum;
}

std::size_t World::HeldBy(const std::string& endpoint) const {
  const auto found = this->engines.find(endpoint);
  return found == this->engines.end() ? 0 : found->second->held().size();
}

std::string World::DecodesAt(std::uint64_t number) const {
  for (const auto& [id, engine] : this->engines) {
    for (const standin::HeldRequest& item : engine->held()) {
      const auto attempt = ParseAttemptId(item.request_id);
      if (item.kind == standin::HeldKind::kStream && attempt &&
          attempt->request == this->asking.Get(number).id) {
        return id;
      }
    }
  }
  return "";
}

// ---- checks ----

void World::LookEvery() {
  this->queue.After(kLookInterval, [this] {
    this->Look();
    this->LookEvery();
  });
}

void World::Look() {
  std::vector<Checker::HeldAttempt> held;
  for (const auto& [id, engine] : this->engines) {
    const auto agent = this->FindAgent(id);
    const bool absent = agent == nullptr || agent->paused();
    for (const standin::HeldRequest& item : engine->held()) {
      const AttemptId attempt =
          ParseAttemptId(item.request_id).value_or(AttemptId{});
      held.push_back({.endpoint = EndpointId(id),
                      .attempt = attempt,
                      .wanted = this->Wanted(attempt),
                      .excused = absent || engine->stalled()});
    }
    // A call that began cannot be taken back: only models free at once.
    if (agent == nullptr || engine->role() == protocol::EndpointRole::kPlain) {
      continue;
    }
    for (const AttemptId& attempt : agent->core().held_attempts()) {
      held.push_back({.endpoint = EndpointId(id),
                      .attempt = attempt,
                      .by_agent = true,
                      .wanted = this->Wanted(attempt),
                      .excused = absent});
    }
  }
  this->rules.LookAtHeld(held);
  this->rules.LookAtCalls(
      this->asking.requests(),
      [this](const std::string& marker) { return this->Executions(marker); });
}

bool World::Wanted(const AttemptId& attempt) const {
  const std::uint64_t number = attempt.request.low;
  return number >= 1 && number <= this->asking.requests().size() &&
         this->asking.Get(number).state == RequestState::kOpen &&
         std::any_of(this->entries.begin(), this->entries.end(),
                     [&attempt](const auto& item) {
                       return item.second->incarnation() == attempt.entry;
                     });
}

void World::Settle() {
  this->wires.HealAll();
  this->platform_log.Set({});
  for (const auto& [id, engine] : this->engines) {
    engine->StallTransfers(false);
    if (!this->agents.contains(id)) {
      this->StartAgent(id);
    }
  }
  for (std::uint32_t number = 1; number <= this->settings.entries; ++number) {
    const std::string name = "e" + std::to_string(number);
    if (!this->entries.contains(name) && !this->stopped.contains(name)) {
      this->StartEntry(name);
    }
  }
  for (const auto& [name, agent] : this->agents) {
    agent->Resume();
  }
  for (const auto& [name, entry] : this->entries) {
    entry->Resume();
  }
  this->rules.SetDisturbed(false);
}

void World::Quiet() {
  this->Settle();
  const Instant end = this->queue.now() + kQuietLimit;
  while (!this->Idle() && this->queue.now() < end) {
    this->Run(1s);
  }
  this->Look();
  this->CheckLeftOvers();
}

bool World::Idle() const {
  const auto& requests = this->asking.requests();
  return std::all_of(requests.begin(), requests.end(),
                     [](const Request& request) {
                       return request.state != RequestState::kOpen;
                     }) &&
         std::all_of(
             this->engines.begin(), this->engines.end(),
             [](const auto& item) { return item.second->held().empty(); }) &&
         std::all_of(this->agents.begin(), this->agents.end(),
                     [](const auto& item) {
                       return item.second->core().held_attempts().empty();
                     }) &&
         std::all_of(this->entries.begin(), this->entries.end(),
                     [](const auto& item) {
                       return item.second->core().alive_requests() == 0;
                     });
}

void World::CheckLeftOvers() {
  for (const Request& request : this->asking.requests()) {
    if (request.state == RequestState::kOpen) {
      this->rules.Report("request " + std::to_string(request.number) +
                         ": no final answer");
    }
  }
  for (const auto& [id, engine] : this->engines) {
    if (!engine->held().empty()) {
      this->rules.Report(id + ": engine memory left behind");
    }
  }
  for (const auto& [id, agent] : this->agents) {
    if (!agent->core().held_attempts().empty()) {
      this->rules.Report(id + ": a reservation left behind");
    }
  }
  for (const auto& [name, entry] : this->entries) {
    if (entry->core().alive_requests() != 0) {
      this->rules.Report(name + ": a request left behind");
    }
  }
}

}  // namespace acacialug::scenario
