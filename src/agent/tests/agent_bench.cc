#include "agent/tests/agent_bench.h"

#include <algorithm>
#include <sstream>
#include <variant>

namespace acacialug::agent {
namespace {

AgentOptions WithIdentity(AgentOptions options) {
  options.endpoint = EndpointId("x");
  options.incarnation = kHome;
  return options;
}

std::string NameOfAttempt(const AttemptId& id) {
  return std::to_string(id.request.low) +
         (id.attempt.value == 1 ? "" : "." + std::to_string(id.attempt.value));
}

// These are in the order of the variants. An empty text marks a kind that a
// trace omits.
constexpr const char* kMessages[] = {
    "welcome", "",      "reserved", "refused",  "prefilled",
    "chunk",   "ended", "failed",   "answered", "leaving"};
constexpr const char* kCommands[] = {"prefill", "decode", "abort", "pause",
                                     "call",    "",       "order", "read"};

// Describes the fields by which a trace distinguishes actions of one kind.
template <typename T>
std::string Details(const T& action) {
  std::ostringstream text;
  if constexpr (requires { action.attempt; }) {
    text << " " << NameOfAttempt(action.attempt);
  }
  if constexpr (requires { action.code; }) {
    text << " " << ResultCodeName(action.code);
  }
  if constexpr (requires { action.outcome; }) {
    text << " " << NameOf(protocol::kOutcomeNames, action.outcome);
  }
  if constexpr (requires { action.sequence; }) {
    text << ":" << action.sequence.value;
  } else if constexpr (requires { action.chunks; }) {
    text << ":" << action.chunks.value;
  } else if constexpr (requires { action.available_in; }) {
    const auto wait = action.available_in / 1ms;
    text << (wait == 0 ? "" : " in " + std::to_string(wait));
  } else if constexpr (requires { action.replayed; }) {
    text << (action.replayed ? " again " : " ") << action.answer.body;
  } else if constexpr (requires { action.paused; }) {
    text << (action.paused ? "" : " off");
  } else if constexpr (requires { action.version; }) {
    text << " " << action.version;
  }
  return text.str();
}

// The text is empty for an action that a trace omits.
template <typename Variant, std::size_t kKinds>
std::string Describe(const Variant& action,
                     const char* const (&kinds)[kKinds]) {
  const std::string kind = kinds[action.index()];
  const auto details = [](const auto& typed) { return Details(typed); };
  return kind.empty() ? kind : kind + std::visit(details, action);
}

std::string Describe(const AgentAction& action) {
  if (const auto* send = std::get_if<SendToEntry>(&action)) {
    return Describe(send->message, kMessages);
  }
  if (const auto* execute = std::get_if<ExecuteOnEngine>(&action)) {
    return Describe(execute->command, kCommands);
  }
  return "close" + Details(std::get<CloseSession>(action));
}

}  // namespace

AgentBench::AgentBench(AgentOptions options, bool ready)
    : core(WithIdentity(std::move(options)), this->random) {
  this->core.Start(this->now);
  if (ready) {
    this->Deliver(engine::Held{});
    this->Connect(kSession, kEntry);
  }
  this->Trace();
}

void AgentBench::Connect(SessionId session, Incarnation entry, const char* id) {
  this->core.OnSessionOpened(session, this->now);
  this->Send(protocol::Hello{.entry = EntryId(id), .incarnation = entry},
             session);
}

void AgentBench::Send(const protocol::EntryToAgent& message, SessionId by) {
  this->core.OnMessage(by, message, this->now);
}

void AgentBench::Deliver(const engine::EngineEvent& event) {
  this->core.OnEngineEvent(event, this->now);
}

void AgentBench::AdvanceBy(Duration duration, bool renew) {
  const Instant end = this->now + duration;
  while (this->now < end) {
    const Instant timer = std::max(this->now + 1us, this->core.next_timer());
    this->now = std::min({end, this->now + 500ms, timer});
    this->core.OnTimer(this->now);
    if (renew) {
      this->Send(protocol::Renew{.incarnation = kEntry});
    }
    const std::size_t before = this->listings;
    this->Collect();
    if (this->listings > before) {
      this->Deliver(engine::Held{.attempts = this->in_engine});
    }
  }
}

std::string AgentBench::Trace() {
  this->listings = 0;
  this->Collect();
  return std::exchange(this->trace, "");
}

void AgentBench::Collect() {
  for (const AgentAction& action : this->core.TakeActions()) {
    const std::string text = Describe(action);
    this->trace += (text.empty() || this->trace.empty() ? "" : ", ") + text;
    const auto* execute = std::get_if<ExecuteOnEngine>(&action);
    this->listings +=
        execute != nullptr &&
        std::holds_alternative<engine::ListHeld>(execute->command);
  }
}

Steps Steps::operator+(const Steps& more) const {
  Steps all = *this;
  all.list.insert(all.list.end(), more.list.begin(), more.list.end());
  return all;
}

void Steps::Play(AgentBench& bench) const {
  for (const Step& step : this->list) {
    step(bench);
  }
}

Steps Sends(const protocol::EntryToAgent& message, SessionId by) {
  return Step([=](AgentBench& bench) { bench.Send(message, by); });
}
Steps EngineReports(const engine::EngineEvent& event) {
  return Step([=](AgentBench& bench) { bench.Deliver(event); });
}
Steps Advances(Duration duration, bool renew) {
  return Step([=](AgentBench& bench) { bench.AdvanceBy(duration, renew); });
}
Steps Stalls(Duration duration) {
  return Step([=](AgentBench& bench) { bench.now += duration; });
}
Steps Connects(SessionId session, Incarnation entry, const char* id) {
  return Step([=](AgentBench& bench) { bench.Connect(session, entry, id); });
}
Steps Opens(SessionId session) {
  return Step([=](AgentBench& b) { b.core.OnSessionOpened(session, b.now); });
}
Steps Drops(SessionId session) {
  return Step([=](AgentBench& b) { b.core.OnSessionClosed(session, b.now); });
}
Steps Drains() {
  return Step([](AgentBench& bench) { bench.core.BeginDrain(bench.now); });
}
Steps Manifests(std::uint64_t offset, bool leaving, std::uint32_t slots) {
  auto manifest = std::make_shared<manifest::Manifest>();
  manifest->offset = LogOffset(offset);
  manifest->endpoints = {
      {.id = EndpointId("x"), .slots = slots, .leaving = leaving}};
  return Step(
      [=](AgentBench& bench) { bench.core.OnManifest(manifest, bench.now); });
}
Steps Reserves(Attempt attempt, std::uint64_t bytes) {
  return Sends(protocol::Reserve{.attempt = attempt,
                                 .kv_tokens = 100,
                                 .transfer_bytes = bytes,
                                 .start_within = 1s});
}
Steps Streams(Attempt attempt, std::uint32_t window) {
  return Sends(protocol::StartDecode{
      .attempt = attempt,
      .generation = {.model = ModelName("m"), .max_tokens = 10},
      .kv = {.transfer_params = "{}", .tokens = 90, .bytes = 900},
      .kv_tokens = 100,
      .window_chunks = window});
}
Steps Prefills(Attempt attempt, Duration within, std::uint64_t tokens) {
  return Sends(protocol::StartPrefill{
      .attempt = attempt, .prompt_tokens = tokens, .finish_within = within});
}
Steps Calls(Attempt attempt, protocol::Once once) {
  return Sends(protocol::StartCall{.attempt = attempt,
                                   .once = once,
                                   .start_within = 5s,
                                   .finish_within = 9s});
}
Steps LooksUp(Attempt attempt, protocol::Once once) {
  return Sends(protocol::LookUp{.attempt = attempt, .once = once});
}
Steps Cancels(Attempt attempt) {
  return Sends(protocol::Cancel{attempt});
}
Steps Texts(Attempt attempt, int times) {
  return Step([=](AgentBench& bench) {
    for (int i = 0; i < times; ++i) {
      bench.Deliver(engine::Text{attempt, "x", 1});
    }
  });
}
Steps Acknowledges(Attempt attempt, std::uint64_t through) {
  return Sends(protocol::Acknowledge{attempt, SequenceNumber(through)});
}
Steps StreamEnds(Attempt attempt) {
  return EngineReports(engine::StreamDone{attempt});
}
Steps PrefillEnds(Attempt attempt) {
  return EngineReports(engine::PrefillDone{.attempt = attempt});
}
Steps CallEnds(Attempt attempt) {
  return EngineReports(
      engine::CallDone{.attempt = attempt, .answer = {.body = "yes"}});
}
Steps Fails(Attempt attempt, Outcome outcome) {
  return EngineReports(
      engine::AttemptFailed{attempt, ResultCode::kEngineFailed, outcome});
}

void Play(const TraceCase& trace_case) {
  AgentBench bench(trace_case.options);
  trace_case.steps.Play(bench);
  CPPUNIT_ASSERT_EQUAL(trace_case.trace, bench.Trace());
  CPPUNIT_ASSERT_EQUAL(trace_case.held, bench.core.held_attempts().size());
  bench.core.OnTimer(bench.now);
  CHECK(bench.core.next_timer() > bench.now);
}

testing::Section TraceCases(std::string name,
                            std::vector<TraceCase> trace_cases) {
  return Cases<TraceCase>(std::move(name), std::move(trace_cases), Play);
}

}  // namespace acacialug::agent
