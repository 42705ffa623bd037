#include "scenario/scenario_script.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <set>
#include <stdexcept>
#include <utility>

#include "scenario/internal/lua_state.h"
#include "scenario/simulation.h"

namespace acacialug::scenario {
namespace {

void Require(bool done, const std::string& name) {
  if (!done) {
    throw std::invalid_argument("there is no " + name + " that runs");
  }
}

// Removes the prefix "engine ".
std::string EngineName(const std::string& name) {
  const std::string prefix = "engine ";
  Require(name.starts_with(prefix), name);
  return name.substr(prefix.size());
}

// One script and its simulation.
class Script {
 public:
  explicit Script(const SafetyRules& simulation_rules)
      : rules(simulation_rules) {
    this->SetWorldWords();
    this->SetCallerWords();
    this->SetProcessWords();
    this->SetNetworkWords();
    this->SetLogWords();
    this->SetQuestions();
  }

  ScenarioResult Run(const std::string& path) {
    const std::string error = this->lua.RunFile(path);
    if (!error.empty()) {
      this->result.failures.push_back(error);
    } else if (this->simulation == nullptr) {
      this->result.failures.push_back(path + ": it makes no world");
    } else {
      this->simulation->Quiet();
    }
    this->KeepViolations();
    return std::move(this->result);
  }

 private:
  // Keeps the violations of the current simulation, which ends.
  void KeepViolations() {
    if (this->simulation != nullptr) {
      const auto& found = this->simulation->checker().violations();
      this->result.violations.insert(this->result.violations.end(),
                                     found.begin(), found.end());
    }
  }

  Simulation& Here() const {
    if (this->simulation == nullptr) {
      throw std::invalid_argument("world{...} comes first");
    }
    return *this->simulation;
  }

  // Ends a fault after the time at `index`, if one is given.
  void EndLater(const LuaArguments& arguments,
                int index,
                std::function<void()> end) {
    if (arguments.Count() >= index) {
      this->Here().At(this->Here().age() + arguments.Time(index),
                      std::move(end));
    }
  }

  std::int64_t CountOf(RequestState state) const {
    const auto& all = this->Here().callers().requests();
    return std::count_if(
        all.begin(), all.end(),
        [state](const Request& request) { return request.state == state; });
  }

  void SetWorldWords() {
    this->lua.Set("world", [this](LuaArguments& given) {
      SimulationOptions options{.rules = this->rules};
      const auto number = [&given](const char* key, std::uint32_t& value) {
        value = static_cast<std::uint32_t>(given.IntegerField(key, value));
      };
      number("entries", options.entries);
      number("prefill", options.prefill);
      number("decode", options.decode);
      number("plain", options.plain);
      number("slots", options.slots);
      options.kv_tokens = static_cast<std::uint64_t>(given.IntegerField(
          "kv_tokens", static_cast<std::int64_t>(options.kv_tokens)));
      options.seed = static_cast<std::uint64_t>(given.IntegerField("seed", 1));
      options.call_time = given.TimeField("call_time", options.call_time);
      options.network_delay =
          given.TimeField("network_delay", options.network_delay);
      options.log_delay = given.TimeField("log_delay", options.log_delay);
      options.retention = given.TimeField("retention", options.retention);
      options.load_time = given.TimeField("load_time", options.load_time);
      number("permits", options.permits);
      number("minimum_serving", options.minimum_serving);
      this->KeepViolations();
      this->simulation = std::make_unique<Simulation>(options);
      this->simulation->Run(2s);  // all processes are connected
    });
    this->lua.Set("at", [this](LuaArguments& given) {
      Simulation& here = this->Here();
      here.At(here.age() + given.Time(1), given.Function(2));
    });
    this->lua.Set("run", [this](LuaArguments& given) {
      this->Here().Run(given.Time(1));
    });
    this->lua.Set("expect", [this](LuaArguments& given) {
      if (!given.Truth(1)) {
        this->result.failures.push_back(given.Place() +
                                        (given.Count() > 1
                                             ? given.Text(2)
                                             : "expected what does not hold"));
      }
    });
  }

  void SetCallerWords() {
    this->lua.Set("ask", [this](LuaArguments& given) {
      const Generation defaults;
      given.Return(
          static_cast<std::int64_t>(this->Here().callers().Send(Generation{
              .entry = given.TextField("entry", "e1"),
              .prompt_tokens = static_cast<std::uint32_t>(
                  given.IntegerField("prompt_tokens", defaults.prompt_tokens)),
              .answer_tokens = static_cast<std::uint32_t>(
                  given.IntegerField("answer_tokens", defaults.answer_tokens)),
              .read = given.TimeField("read", {}),
              .deadline = given.TimeField("deadline", {})})));
    });
    this->lua.Set("call", [this](LuaArguments& given) {
      given.Return(static_cast<std::int64_t>(this->Here().callers().Send(
          Call{.entry = given.TextField("entry", "e1"),
               .method = given.TextField("method", "POST"),
               .key = given.TextField("key", ""),
               .ticket = given.TextField("ticket", ""),
               .deadline = given.TimeField("deadline", {})})));
    });
    this->lua.Set("cancel", [this](LuaArguments& given) {
      this->Here().callers().Cancel(this->Asked(given).number);
    });
    this->lua.Set("ticket", [this](LuaArguments& given) {
      const Result<std::string> ticket = this->Here().Ticket(given.Text(1));
      if (!ticket.ok()) {
        throw std::invalid_argument("no ticket: " + ticket.error().detail);
      }
      given.Return(*ticket);
    });
    this->lua.Set("uuid", [this](LuaArguments& given) {
      char text[64];
      const auto time = static_cast<unsigned long long>(
          WallClock(this->Here().now()).count());
      std::snprintf(text, sizeof(text), "%08llx-%04llx-7000-8000-%012llx",
                    time >> 16U, time & 0xffffU,
                    static_cast<unsigned long long>(given.Integer(1)));
      given.Return(std::string(text));
    });
  }

  void SetProcessWords() {
    const auto set = [this](const std::string& word,
                            bool (Simulation::*act)(const std::string&)) {
      this->lua.Set(word, [this, act](LuaArguments& given) {
        Require((this->Here().*act)(given.Text(1)), given.Text(1));
      });
    };
    this->lua.Set("kill", [this](LuaArguments& given) {
      Require(this->Here().Kill(given.Text(1)), given.Text(1));
    });
    this->lua.Set("vanish", [this](LuaArguments& given) {
      Require(this->Here().Kill(given.Text(1), true), given.Text(1));
    });
    set("restart", &Simulation::Restart);
    set("resume", &Simulation::Resume);
    set("drain", &Simulation::Drain);
    this->lua.Set("pause", [this](LuaArguments& given) {
      const std::string name = given.Text(1);
      Require(this->Here().Pause(name), name);
      this->EndLater(given, 2, [this, name] { this->Here().Resume(name); });
    });
    this->lua.Set("stall", [this](LuaArguments& given) {
      const std::string name = EngineName(given.Text(1));
      Require(this->Here().Stall(name, given.Time(2)), name);
    });
    this->lua.Set("restart_engine", [this](LuaArguments& given) {
      const std::string name = EngineName(given.Text(1));
      Require(this->Here().RestartEngine(name), name);
    });
    this->lua.Set("slow_link", [this](LuaArguments& given) {
      const std::string name = EngineName(given.Text(1));
      Require(this->Here().StallTransfers(name, given.Truth(2)), name);
    });
  }

  void SetNetworkWords() {
    this->lua.Set("cut", [this](LuaArguments& given) {
      this->Here().network().Cut(given.Text(1), given.Text(2));
    });
    this->lua.Set("partition", [this](LuaArguments& given) {
      const std::string entry = given.Text(1);
      const std::string endpoint = given.Text(2);
      this->Here().Partition(entry, endpoint);
      this->EndLater(given, 3, [this, entry, endpoint] {
        this->Here().Heal(entry, endpoint);
      });
    });
    this->lua.Set("heal", [this](LuaArguments& given) {
      this->Here().Heal(given.Text(1), given.Text(2));
    });
    this->lua.Set("lose", [this](LuaArguments& given) {
      constexpr double kHundred = 100;
      this->Here().Lose(static_cast<double>(given.Integer(1)) / kHundred);
    });
    this->lua.Set("message", [this](LuaArguments& given) {
      const auto fault =
          ValueOf(kMessageFaultNames, given.TextField("fault", ""));
      if (!fault) {
        throw std::invalid_argument(
            "expected fault = \"lost\", \"late\" or \"doubled\"");
      }
      this->Here().network().Add(
          {.entry = given.TextField("entry", ""),
           .endpoint = given.TextField("endpoint", ""),
           .kind = given.TextField("kind", ""),
           .fault = *fault,
           .by = given.TimeField("by", 10ms),
           .first = static_cast<std::uint32_t>(given.IntegerField("first", 1)),
           .count =
               static_cast<std::uint32_t>(given.IntegerField("count", 1))});
    });
  }

  void SetLogWords() {
    this->lua.Set("log", [this](LuaArguments& given) {
      this->Here().SetLog(
          {.outage = given.TruthField("outage", false),
           .lose_answers = given.TruthField("lose_answers", false),
           .delay = given.TimeField("delay", {})});
    });
    this->lua.Set("publish", [this](LuaArguments& given) {
      Simulation& here = this->Here();
      const std::vector<std::string> leaving = given.ListField("leaving");
      here.SetModelVersion(
          given.TextField("model_version", here.options().model_version));
      here.SetAdapters(given.ListField("adapters"));
      here.SetMinimumServing(static_cast<std::uint32_t>(given.IntegerField(
          "minimum_serving", here.options().minimum_serving)));
      const auto current =
          static_cast<std::int64_t>(here.OffsetOf("entry e1").value);
      here.Publish(given.TextField("version", "v2"),
                   LogOffset(static_cast<std::uint64_t>(
                       given.IntegerField("replaces", current))),
                   std::set<std::string>(leaving.begin(), leaving.end()));
    });
    this->lua.Set("offset", [this](LuaArguments& given) {
      given.Return(static_cast<std::int64_t>(
          this->Here().OffsetOf(given.Text(1)).value));
    });
    this->lua.Set("version", [this](LuaArguments& given) {
      given.Return(this->Here().VersionOf(given.Text(1)));
    });
  }

  void SetQuestions() {
    for (const auto& [state, name] : kRequestStateNames) {
      this->lua.Set(std::string(name),
                    [this, value = state](LuaArguments& given) {
                      given.Return(this->CountOf(value));
                    });
    }
    this->lua.Set("state", [this](LuaArguments& given) {
      given.Return(
          std::string(NameOf(kRequestStateNames, this->Asked(given).state)));
    });
    this->lua.Set("code", [this](LuaArguments& given) {
      given.Return(static_cast<std::int64_t>(this->Asked(given).code));
    });
    this->lua.Set("pieces", [this](LuaArguments& given) {
      given.Return(static_cast<std::int64_t>(this->Asked(given).pieces));
    });
    this->lua.Set("replayed", [this](LuaArguments& given) {
      given.Return(this->Asked(given).replayed);
    });
    this->lua.Set("executions", [this](LuaArguments& given) {
      given.Return(static_cast<std::int64_t>(
          this->Here().Executions(this->Asked(given).marker)));
    });
    this->lua.Set("held", [this](LuaArguments& given) {
      given.Return(static_cast<std::int64_t>(
          this->Here().HeldBy(EngineName(given.Text(1)))));
    });
    this->lua.Set("endpoint_of", [this](LuaArguments& given) {
      given.Return(this->Here().DecodesAt(this->Asked(given).number));
    });
    this->lua.Set("engine_version", [this](LuaArguments& given) {
      given.Return(this->Here().EngineVersion(given.Text(1)));
    });
    this->lua.Set("out", [this](LuaArguments& given) {
      given.Return(this->Here().OrdersAt(given.Text(1)).out);
    });
    this->lua.Set("before", [this](LuaArguments& given) {
      const auto members_ahead =
          this->Here().OrdersAt(given.Text(1)).members_ahead;
      given.Return(members_ahead ? static_cast<std::int64_t>(*members_ahead)
                                 : std::int64_t{-1});
    });
    this->lua.Set("appends", [this](LuaArguments& given) {
      given.Return(static_cast<std::int64_t>(
          this->Here().OrdersAt(given.Text(1)).appends));
    });
    this->lua.Set("resumed", [this](LuaArguments& given) {
      given.Return(static_cast<std::int64_t>(
          this->Here().entry_counters().streams_resumed));
    });
    this->lua.Set("dropped", [this](LuaArguments& given) {
      given.Return(static_cast<std::int64_t>(
          this->Here().entry_counters().dropped_frames));
    });
  }

  const Request& Asked(const LuaArguments& given) const {
    const std::int64_t number = given.Integer(1);
    const auto& all = this->Here().callers().requests();
    if (number < 1 || number > static_cast<std::int64_t>(all.size())) {
      throw std::invalid_argument("there is no such request");
    }
    return this->Here().callers().Get(static_cast<std::uint64_t>(number));
  }

  SafetyRules rules;
  ScenarioResult result;
  LuaState lua;  // outlives the simulation's tasks, which call it
  std::unique_ptr<Simulation> simulation;
};

}  // namespace

std::string ScenarioResult::ToText() const {
  std::string text;
  for (const std::string& failure : this->failures) {
    text += "\n  " + failure;
  }
  for (const std::string& violation : this->violations) {
    text += "\n  checker: " + violation;
  }
  return text;
}

ScenarioResult RunScenario(const std::string& path, const SafetyRules& rules) {
  return Script(rules).Run(path);
}

}  // namespace acacialug::scenario
