#include "scenario/explorer.h"

#include <array>
#include <cstdio>
#include <map>

#include "scenario/simulation.h"

namespace acacialug::scenario {
namespace {

constexpr Duration kEventsEnd = 12s;
constexpr std::uint64_t kMostFaults = 7;
// An entry is down for longer than other faults last. Otherwise its successor
// would end its sessions before their leases expire.
constexpr int kAwayFactor = 3;
constexpr std::uint64_t kMostWork = 22;

constexpr std::array<const char*, 9> kMessageKinds = {
    "Reserve",   "Reserved", "StartPrefill", "Prefilled",   "StartDecode",
    "StartCall", "Chunk",    "Ended",        "CallAnswered"};

SimulationOptions OptionsOf(std::uint64_t seed, const SafetyRules& rules) {
  // Two of three long answers fill a decode endpoint's memory.
  return {.entries = 2,
          .prefill = 2,
          .decode = 3,
          .plain = 2,
          .kv_tokens = 4000,
          .call_time = 100ms,
          .seed = seed,
          .rules = rules};
}

std::string EntryOf(std::uint64_t number) {
  return "e" + std::to_string(1 + number % 2);
}

std::string ModelEndpointOf(std::uint64_t number) {
  constexpr std::array<const char*, 5> kNames = {"d1", "d2", "d3", "p1", "p2"};
  return kNames.at(number % kNames.size());
}

std::string EndpointOf(std::uint64_t number) {
  constexpr std::uint64_t kEndpoints = 7;
  const std::uint64_t which = number % kEndpoints;
  return which < 5 ? ModelEndpointOf(which) : "s" + std::to_string(which - 4);
}

// Applies the events of one run to its simulation.
class Explorer {
 public:
  Explorer(const ExploredRun& explored, const SafetyRules& rules)
      : run(explored), simulation(OptionsOf(explored.seed, rules)) {}

  std::vector<std::string> Run() {
    this->simulation.Run(2s);
    const Duration begin = this->simulation.age();
    for (const ExploredEvent& event : this->run.events) {
      this->simulation.At(begin + event.at,
                          [this, &event] { this->Do(event); });
    }
    this->simulation.Run(kEventsEnd + 20s);
    this->simulation.Quiet();
    return this->simulation.checker().violations();
  }

 private:
  void Later(Duration length, std::function<void()> task) {
    this->simulation.At(this->simulation.age() + length, std::move(task));
  }

  void Do(const ExploredEvent& event) {
    switch (event.kind) {
      case EventKind::kAsk:
      case EventKind::kCall:
      case EventKind::kTicketCall:
      case EventKind::kCancel:
        this->DoWork(event);
        break;
      case EventKind::kCut:
      case EventKind::kPartition:
      case EventKind::kMessage:
      case EventKind::kSlowLink:
        this->DoNetwork(event);
        break;
      case EventKind::kLogOutage:
      case EventKind::kLogAnswersLost:
      case EventKind::kLogLate:
        this->simulation.SetLog(
            {.outage = event.kind == EventKind::kLogOutage,
             .lose_answers = event.kind == EventKind::kLogAnswersLost,
             .delay = event.kind == EventKind::kLogLate ? Duration(400ms)
                                                        : Duration()});
        this->Later(event.length, [this] { this->simulation.SetLog({}); });
        break;
      case EventKind::kPublish:
        this->simulation.Publish(
            "v" + std::to_string(event.second),
            this->simulation.OffsetOf("entry e1"),
            event.second % 2 == 0
                ? std::set<std::string>{}
                : std::set<std::string>{EndpointOf(event.first)});
        break;
      case EventKind::kOrder:
        this->simulation.SetModelVersion(std::to_string(event.second));
        this->simulation.Publish("order " + std::to_string(event.second),
                                 this->simulation.OffsetOf("entry e1"), {});
        break;
      default:
        this->DoProcess(event);
        break;
    }
  }

  void DoWork(const ExploredEvent& event) {
    Callers& callers = this->simulation.callers();
    if (event.kind == EventKind::kAsk) {
      callers.Send(Generation{
          .entry = EntryOf(event.first),
          .prompt_tokens =
              static_cast<std::uint32_t>(200 + event.second % 1500),
          .answer_tokens = static_cast<std::uint32_t>(
              20 + event.second / 1500 % (event.first % 4 == 0 ? 2400 : 600)),
          .read = event.first % 5 == 0 ? Duration(50ms) : Duration()});
    } else if (event.kind == EventKind::kCall) {
      callers.Send(Call{
          .entry = EntryOf(event.first),
          .method = event.first % 7 == 0 ? "GET" : "POST",
          .key = event.first % 7 == 0 ? "" : this->KeyOf(event.second % 5)});
    } else if (event.kind == EventKind::kTicketCall) {
      std::string& paper = this->tickets[event.second % 3];
      if (paper.empty()) {
        const Result<std::string> fresh =
            this->simulation.Ticket(EntryOf(event.first));
        if (!fresh.ok()) {
          return;
        }
        paper = *fresh;
      }
      callers.Send(Call{.entry = EntryOf(event.first), .ticket = paper});
    } else if (!callers.requests().empty()) {
      callers.Cancel(1 + event.first % callers.requests().size());
    }
  }

  void DoProcess(const ExploredEvent& event) {
    const std::string entry = "entry " + EntryOf(event.first);
    const std::string agent = "agent " + EndpointOf(event.first);
    const std::string engine = ModelEndpointOf(event.first);
    switch (event.kind) {
      case EventKind::kKillEntry:
      case EventKind::kVanishEntry:
        this->simulation.Kill(entry, event.kind == EventKind::kVanishEntry);
        this->Later(kAwayFactor * event.length,
                    [this, entry] { this->RestartIfGone(entry); });
        break;
      case EventKind::kRestartAgent:
        this->simulation.Restart(agent);
        break;
      case EventKind::kVanishAgent:
        this->simulation.Kill(agent, true);
        this->Later(event.length,
                    [this, agent] { this->RestartIfGone(agent); });
        break;
      case EventKind::kPauseEntry:
      case EventKind::kPauseAgent: {
        const std::string name =
            event.kind == EventKind::kPauseEntry ? entry : agent;
        this->simulation.Pause(name);
        this->Later(event.length,
                    [this, name] { this->simulation.Resume(name); });
        break;
      }
      case EventKind::kStallEngine:
        this->simulation.Stall(engine, event.length);
        break;
      case EventKind::kRestartEngine:
        this->simulation.RestartEngine(engine);
        break;
      case EventKind::kDrainAgent:
        this->simulation.Drain(agent);
        // As its host's supervisor does when the entry has left.
        this->Later(kAwayFactor * event.length,
                    [this, agent] { this->simulation.Restart(agent); });
        break;
      default:
        this->simulation.Drain(entry);
        break;
    }
  }

  void RestartIfGone(const std::string& process) {
    if (!this->simulation.Runs(process)) {
      this->simulation.Restart(process);
    }
  }

  void DoNetwork(const ExploredEvent& event) {
    const std::string entry = EntryOf(event.first);
    const std::string endpoint = EndpointOf(event.second);
    if (event.kind == EventKind::kCut) {
      this->simulation.network().Cut(entry, endpoint);
    } else if (event.kind == EventKind::kPartition) {
      this->simulation.Partition(entry, endpoint);
      this->Later(event.length, [this, entry, endpoint] {
        this->simulation.Heal(entry, endpoint);
      });
    } else if (event.kind == EventKind::kSlowLink) {
      const std::string engine = ModelEndpointOf(event.first);
      this->simulation.StallTransfers(engine, true);
      this->Later(event.length, [this, engine] {
        this->simulation.StallTransfers(engine, false);
      });
    } else {
      this->simulation.network().Add(
          {.kind = kMessageKinds.at(event.first % kMessageKinds.size()),
           .fault = kMessageFaultNames.at(event.second % 3).first,
           .by = event.length,
           .count = 1 + static_cast<std::uint32_t>(event.second % 4)});
    }
  }

  std::string KeyOf(std::uint64_t number) {
    char text[64];
    std::snprintf(text, sizeof(text), "018bcfe5-6800-7000-8000-%012llx",
                  static_cast<unsigned long long>(number));
    return text;
  }

  const ExploredRun& run;
  Simulation simulation;
  std::map<std::uint64_t, std::string> tickets;
};

ExploredEvent MakeEvent(RandomSource& random, bool work) {
  constexpr std::uint64_t kWorkKinds = 4;
  // Most work is generations, so that decode memory is nearly full.
  const std::uint64_t drawn = random.Below(10);
  const std::uint64_t kind =
      !work ? kWorkKinds + random.Below(kEventKindNames.size() - kWorkKinds)
      : drawn < 6 ? 0
                  : 1 + drawn % 3;
  return {.at = Duration(random.Below(
              std::chrono::duration_cast<Duration>(kEventsEnd).count())),
          .kind = kEventKindNames.at(kind).first,
          .first = random.Below(1000),
          .second = random.Below(1000000),
          .length = Duration(10ms) * random.Below(800)};
}

// A storm combines one fault of each of these groups.
constexpr std::array kLogFaults = {
    EventKind::kLogOutage, EventKind::kLogAnswersLost, EventKind::kLogLate};
constexpr std::array kEntryFaults = {
    EventKind::kPauseEntry, EventKind::kKillEntry, EventKind::kVanishEntry};
constexpr std::array kAgentFaults = {
    EventKind::kRestartAgent, EventKind::kVanishAgent, EventKind::kPauseAgent,
    EventKind::kDrainAgent};
constexpr std::array kLinkFaults = {EventKind::kCut, EventKind::kPartition};

class StormMaker {
 public:
  explicit StormMaker(std::uint64_t seed) : random(seed), run{.seed = seed} {}

  ExploredRun Make() {
    constexpr Duration kBegin = 1s;
    constexpr Duration kBetween = 5s;
    this->AddStorm(kBegin);
    this->AddStorm(kBegin + kBetween);
    return std::move(this->run);
  }

 private:
  template <typename Kinds>
  EventKind OneOf(const Kinds& kinds) {
    return kinds.at(this->random.Below(kinds.size()));
  }

  Duration Within(Duration longest) {
    return Duration(
        this->random.Below(static_cast<std::uint64_t>(longest.count())));
  }

  std::uint64_t PlainEndpoint() { return 5 + this->random.Below(2); }

  void Add(EventKind kind,
           Duration at,
           std::uint64_t first,
           std::uint64_t second = 0) {
    this->run.events.push_back({.at = at,
                                .kind = kind,
                                .first = first,
                                .second = second,
                                .length = 200ms + this->Within(3s)});
  }

  void AddStorm(Duration begin) {
    constexpr Duration kTogether = 400ms;
    constexpr std::uint64_t kKeys = 2;
    constexpr std::uint64_t kMostCalls = 5;
    this->Add(this->OneOf(kLogFaults), begin + this->Within(kTogether), 0);
    this->Add(this->OneOf(kEntryFaults), begin + this->Within(kTogether),
              this->random.Below(2));
    this->Add(this->OneOf(kAgentFaults), begin + this->Within(kTogether),
              this->PlainEndpoint());
    this->Add(this->OneOf(kLinkFaults), begin + this->Within(kTogether),
              this->random.Below(2), this->PlainEndpoint());
    for (std::uint64_t key = 0; key < kKeys; ++key) {
      const std::uint64_t calls = 2 + this->random.Below(kMostCalls);
      for (std::uint64_t call = 0; call < calls; ++call) {
        // From shortly before the faults until they have ended.
        this->Add(EventKind::kCall, begin - 100ms + this->Within(4s),
                  call % 2 + 1, key);
      }
      this->Add(EventKind::kTicketCall, begin + this->Within(2s), key, key);
    }
  }

  RandomSource random;
  ExploredRun run;
};

}  // namespace

std::string ExploredEvent::ToText() const {
  return std::to_string(Seconds(this->at)) + "s " +
         std::string(NameOf(kEventKindNames, this->kind)) + " " +
         std::to_string(this->first) + " " + std::to_string(this->second) +
         " for " + std::to_string(Seconds(this->length)) + "s";
}

std::string ExploredRun::ToText() const {
  std::string text = "seed " + std::to_string(this->seed);
  for (const ExploredEvent& event : this->events) {
    text += "\n  " + event.ToText();
  }
  return text;
}

ExploredRun MakeRun(std::uint64_t seed) {
  RandomSource random(seed);
  ExploredRun run{.seed = seed};
  const std::uint64_t faults = 1 + random.Below(kMostFaults);
  const std::uint64_t work = kMostWork / 2 + random.Below(kMostWork / 2);
  for (std::uint64_t number = 0; number < work + faults; ++number) {
    run.events.push_back(MakeEvent(random, number < work));
  }
  return run;
}

ExploredRun MakeStorm(std::uint64_t seed) {
  return StormMaker(seed).Make();
}

std::vector<std::string> Explore(const ExploredRun& run,
                                 const SafetyRules& rules) {
  return Explorer(run, rules).Run();
}

ExploredRun Shrink(ExploredRun run, const SafetyRules& rules) {
  bool smaller = true;
  while (smaller) {
    smaller = false;
    for (std::size_t index = 0; index < run.events.size();) {
      ExploredRun without = run;
      without.events.erase(without.events.begin() +
                           static_cast<std::ptrdiff_t>(index));
      if (Explore(without, rules).empty()) {
        ++index;
      } else {
        run = std::move(without);
        smaller = true;
      }
    }
  }
  return run;
}

}  // namespace acacialug::scenario
