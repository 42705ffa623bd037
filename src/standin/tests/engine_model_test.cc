#include "standin/engine_model.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "framework/testing/story.h"
#include "standin/capacity.h"
#include "standin/reference_answer.h"

namespace acacialug::standin {
namespace {

using testing::ForEach;
using testing::It;

// Round numbers: an iteration takes 10 ms, a thousand prompt tokens take one
// second, and the transfer of a prompt token takes a microsecond.
EngineOptions Simple(EngineRole role) {
  return {.id = "engine",
          .role = role,
          .base_iteration = 10ms,
          .stream_iteration = 0us,
          .slots = 2,
          .kv_tokens = 1000,
          .waiting_limit = 10,
          .prefill_tokens_per_second = 1000,
          .prefill_fixed = 0us,
          .prefill_chunk_tokens = 100,
          .block_tokens = 10,
          .cache_blocks = 10,
          .kv_bytes_per_token = 1000,
          .link_bytes_per_second = 1'000'000,
          .transfer_setup = 0us,
          .cache_event_gap = 0};
}

std::string Prompt(std::uint32_t tokens, char letter = 'p') {
  return std::string(tokens * kPromptBytesPerToken, letter);
}

struct Seen {
  Instant at;
  EngineOutput output;
};

// Engines that fetch from each other, in virtual time.
struct Bench {
  RandomSource random{7};
  std::map<std::string, EngineModel> engines;
  Instant now{};
  std::vector<Seen> seen;

  EngineModel& Add(const std::string& name, EngineOptions options) {
    options.id = name;
    return this->engines.try_emplace(name, std::move(options), this->random)
        .first->second;
  }

  EngineModel& Alone(const EngineOptions& options) {
    return this->Add("engine", options);
  }

  void Collect() {
    for (auto& [name, engine] : this->engines) {
      engine.Advance(this->now);
      for (EngineOutput& output : engine.TakeOutputs()) {
        if (const auto* pull = std::get_if<PullKv>(&output)) {
          this->AnswerPull(engine, *pull);
        }
        this->seen.push_back({.at = this->now, .output = std::move(output)});
      }
    }
  }

  void AnswerPull(EngineModel& importer, const PullKv& pull) {
    bool found = false;
    for (auto& [name, engine] : this->engines) {
      found |=
          pull.done
              ? engine.EndPull(pull.kv.engine_id, pull.kv.request_id, this->now)
              : engine
                    .BeginPull(pull.kv.engine_id, pull.kv.request_id, this->now)
                    .has_value();
    }
    importer.OnPullAnswered(pull.request_id, found, this->now);
  }

  void RunUntil(Instant end) {
    for (;;) {
      this->Collect();
      Instant next = kNever;
      for (const auto& [name, engine] : this->engines) {
        next = std::min(next, engine.next_event());
      }
      if (next > end) {
        this->now = end;
        return;
      }
      this->now = std::max(next, this->now);
    }
  }
  void RunFor(Duration length) { this->RunUntil(this->now + length); }

  // The last output of a kind for a request, and its time.
  template <typename Output>
  std::optional<Output> Last(const std::string& id, Instant* at = nullptr) {
    this->Collect();
    std::optional<Output> last;
    for (const Seen& one : this->seen) {
      const auto* output = std::get_if<Output>(&one.output);
      if (output != nullptr && output->request_id == id) {
        last = *output;
        if (at != nullptr) {
          *at = one.at;
        }
      }
    }
    return last;
  }

  template <typename Output>
  Output Get(const std::string& id) {
    const std::optional<Output> last = this->Last<Output>(id);
    CPPUNIT_ASSERT_MESSAGE(id, last.has_value());
    return *last;
  }

  template <typename Output>
  Duration When(const std::string& id) {
    Instant at = kNever;
    CPPUNIT_ASSERT_MESSAGE(id, this->Last<Output>(id, &at).has_value());
    return at - Instant();
  }

  std::string ErrorOf(const std::string& id) {
    const auto failed = this->Last<WorkFailed>(id);
    return failed ? std::string(NameOf(kEngineErrorNames, failed->error)) : "";
  }

  std::string TextOf(const std::string& id) const {
    std::string text;
    for (const Seen& one : this->seen) {
      const auto* made = std::get_if<TokensMade>(&one.output);
      if (made != nullptr && made->request_id == id) {
        text += made->text;
      }
    }
    return text;
  }
};

EngineWork Prefill(const std::string& id, std::string prompt) {
  return {.request_id = id,
          .prompt = std::move(prompt),
          .max_tokens = 1,
          .export_kv = true};
}

EngineWork Stream(const std::string& id,
                  std::string prompt,
                  std::uint32_t max_tokens) {
  return {
      .request_id = id, .prompt = std::move(prompt), .max_tokens = max_tokens};
}

EngineWork Import(const std::string& id,
                  std::uint32_t prompt_tokens,
                  std::uint32_t max_tokens,
                  const EngineModel& from,
                  const std::string& export_id) {
  EngineWork work = Stream(id, Prompt(prompt_tokens), max_tokens);
  work.import_kv = {.engine_id = from.engine_id(), .request_id = export_id};
  return work;
}

std::string HeldNames(const EngineModel& engine) {
  std::string names;
  for (const HeldRequest& held : engine.held()) {
    names += held.request_id + ":" +
             std::string(NameOf(kHeldKindNames, held.kind)) + ":" +
             std::to_string(held.kv_tokens) + " ";
  }
  return names;
}

void AssertTime(Duration expected, Duration found) {
  CPPUNIT_ASSERT_EQUAL(expected.count(), found.count());
}

const testing::Story kPrefill(
    "an engine that prefills",
    {It("takes its rate's time, and a fixed one, one prompt after another",
        [] {
          Bench bench;
          EngineOptions options = Simple(EngineRole::kPrefill);
          options.prefill_fixed = 5ms;
          EngineModel& engine = bench.Alone(options);
          engine.Submit(Prefill("a", Prompt(150)), bench.now);
          engine.Submit(Prefill("b", Prompt(50, 'q')), bench.now);
          bench.RunFor(1s);
          AssertTime(155ms, bench.When<PrefillReady>("a"));
          AssertTime(210ms, bench.When<PrefillReady>("b"));
        }),
     It("computes only what its prefix cache lacks, but always one token",
        [] {
          Bench bench;
          EngineModel& engine = bench.Alone(Simple(EngineRole::kPrefill));
          engine.Submit(Prefill("a", Prompt(20)), bench.now);
          engine.Submit(Prefill("b", Prompt(20) + Prompt(15, 'q')), bench.now);
          engine.Submit(Prefill("c", Prompt(20)), bench.now);
          bench.RunFor(1s);
          CPPUNIT_ASSERT_EQUAL(0U, bench.Get<PrefillReady>("a").cached_tokens);
          CPPUNIT_ASSERT_EQUAL(20U, bench.Get<PrefillReady>("b").cached_tokens);
          CPPUNIT_ASSERT_EQUAL(19U, bench.Get<PrefillReady>("c").cached_tokens);
          AssertTime(36ms, bench.When<PrefillReady>("c"));
        }),
     It("evicts the least recently used blocks first, later ones before "
        "earlier",
        [] {
          Bench bench;
          EngineOptions options = Simple(EngineRole::kPrefill);
          options.cache_blocks = 3;
          options.cache_event_delay = 50ms;
          EngineModel& engine = bench.Alone(options);
          engine.Submit(Prefill("a", Prompt(20)), bench.now);
          engine.Submit(Prefill("b", Prompt(20, 'q')), bench.now);
          engine.Submit(Prefill("c", Prompt(20)), bench.now);
          bench.RunFor(80ms);
          CPPUNIT_ASSERT_EQUAL(10U, bench.Get<PrefillReady>("c").cached_tokens);
          // Stored a0 a1, then b0 b1 without a1, then a1 without b1; the
          // events of the last are not yet visible.
          CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                               engine.CacheEventsAfter(0, bench.now).size());
          bench.RunFor(100ms);
          const auto events = engine.CacheEventsAfter(2, bench.now);
          CPPUNIT_ASSERT_EQUAL(std::size_t{5}, events.size());
          CPPUNIT_ASSERT(events[2].kind == CacheEventKind::kRemoved);
          CPPUNIT_ASSERT_EQUAL(PrefixHashes(Prompt(20), 10)[1], events[2].hash);
        }),
     It("leaves gaps in its cache events",
        [] {
          Bench bench;
          EngineOptions options = Simple(EngineRole::kPrefill);
          options.kv_tokens = 0;
          options.cache_blocks = 1000;
          options.cache_event_gap = 0.5;
          EngineModel& engine = bench.Alone(options);
          engine.Submit(Prefill("a", Prompt(2000)), bench.now);
          bench.RunFor(10s);
          const auto events = engine.CacheEventsAfter(0, bench.now);
          CPPUNIT_ASSERT(events.size() > 60 && events.size() < 140);
          CPPUNIT_ASSERT(events.back().id > events.size());
        }),
     It("evicts an export at the end of its lifetime and counts the waste",
        [] {
          Bench bench;
          EngineModel& engine = bench.Alone(Simple(EngineRole::kPrefill));
          engine.Submit(Prefill("a", Prompt(100)), bench.now);
          bench.RunFor(899ms);
          CPPUNIT_ASSERT_EQUAL(std::string("a:export:100 "), HeldNames(engine));
          bench.RunFor(1ms);
          CPPUNIT_ASSERT_EQUAL(std::string(), HeldNames(engine));
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{100},
                               engine.stats().prefill_wasted);
        }),
     It("lets a greater priority overtake what waits, not what runs",
        [] {
          Bench bench;
          EngineModel& engine = bench.Alone(Simple(EngineRole::kPrefill));
          engine.Submit(Prefill("runs", Prompt(300)), bench.now);
          engine.Submit(Prefill("low", Prompt(100, 'a')), bench.now);
          EngineWork high = Prefill("high", Prompt(100, 'b'));
          high.priority = -1;
          engine.Submit(high, bench.now);
          bench.RunFor(2s);
          AssertTime(300ms, bench.When<PrefillReady>("runs"));
          AssertTime(400ms, bench.When<PrefillReady>("high"));
          AssertTime(500ms, bench.When<PrefillReady>("low"));
        }),
     It("gives up an aborted prefill at the end of its chunk", [] {
       Bench bench;
       EngineModel& engine = bench.Alone(Simple(EngineRole::kPrefill));
       engine.Submit(Prefill("a", Prompt(900)), bench.now);
       engine.Submit(Prefill("b", Prompt(50, 'q')), bench.now);
       bench.RunFor(250ms);
       engine.Abort("a", bench.now);
       bench.RunFor(500ms);  // the export of b is still held
       AssertTime(350ms, bench.When<PrefillReady>("b"));
       CPPUNIT_ASSERT(!bench.Last<PrefillReady>("a"));
       CPPUNIT_ASSERT_EQUAL(std::uint64_t{300}, engine.stats().prefill_wasted);
     })});

const testing::Story kStreams(
    "an engine that streams",
    {It("makes a token for each stream in each iteration of W + H_eff * n",
        [] {
          Bench bench;
          EngineOptions options = Simple(EngineRole::kDecode);
          options.stream_iteration = 8192us;
          options.calibration_context = 100;
          EngineModel& prefill = bench.Add("p", Simple(EngineRole::kPrefill));
          EngineModel& decode = bench.Add("d", options);
          prefill.Submit(Prefill("a", Prompt(100)), bench.now);
          bench.RunFor(100ms);
          decode.Submit(Import("a", 100, 2, prefill, "a"), bench.now);
          bench.RunFor(1s);
          // 100 ms each of prefill and transfer, then two iterations with 100
          // and with 101 tokens.
          AssertTime(200ms + 18'192us + 18'273us, bench.When<WorkDone>("a"));
        }),
     It("answers with the reference text, and goes on after a resumed one",
        [] {
          Bench bench;
          EngineModel& engine = bench.Alone(Simple(EngineRole::kDecode));
          const std::string prompt = "who [answer-tokens=6]";
          const std::string whole = MakeReferenceAnswer(prompt, 8).text;
          const std::string cut = whole.substr(0, 2 * kTokenBytes);
          engine.Submit(Stream("a", prompt, 8), bench.now);
          engine.Submit(Stream("b", prompt + cut, 6), bench.now);
          bench.RunFor(1s);
          CPPUNIT_ASSERT_EQUAL(whole, bench.TextOf("a"));
          CPPUNIT_ASSERT_EQUAL(whole, cut + bench.TextOf("b"));
          CPPUNIT_ASSERT(bench.Get<WorkDone>("a").reason ==
                         protocol::FinishReason::kStop);
          CPPUNIT_ASSERT_EQUAL(4U,
                               bench.Get<WorkDone>("b").usage.output_tokens);
        }),
     It("shares its link among the transfers that run at once",
        [] {
          Bench bench;
          EngineModel& prefill = bench.Add("p", Simple(EngineRole::kPrefill));
          EngineModel& decode = bench.Add("d", Simple(EngineRole::kDecode));
          prefill.Submit(Prefill("a", Prompt(100)), bench.now);
          prefill.Submit(Prefill("b", Prompt(100)), bench.now);
          bench.RunFor(110ms);
          decode.Submit(Import("a", 100, 1, prefill, "a"), bench.now);
          bench.RunFor(50ms);
          decode.Submit(Import("b", 100, 1, prefill, "b"), bench.now);
          bench.RunFor(1s);
          // a: 50 ms alone and 100 ms shared; b: 100 ms shared, 50 ms alone.
          AssertTime(110ms + 150ms + 10ms, bench.When<WorkDone>("a"));
          AssertTime(160ms + 150ms + 10ms, bench.When<WorkDone>("b"));
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                               prefill.stats().exports_fetched);
          CPPUNIT_ASSERT_EQUAL(std::string(), HeldNames(prefill));
          CPPUNIT_ASSERT_EQUAL(std::string(), HeldNames(decode));
        }),
     It("reports its load as it was a while ago",
        [] {
          Bench bench;
          EngineOptions options = Simple(EngineRole::kDecode);
          options.load_lag = 100ms;
          EngineModel& engine = bench.Alone(options);
          bench.RunFor(1s);
          engine.Submit(Stream("a", Prompt(10), 50), bench.now);
          bench.RunFor(99ms);
          CPPUNIT_ASSERT_EQUAL(0U, engine.load(bench.now).running);
          bench.RunFor(1ms);
          CPPUNIT_ASSERT_EQUAL(1U, engine.load(bench.now).running);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{940},
                               engine.load(bench.now).free_kv_tokens);
        }),
     It("frees an aborted stream's slot for the next", [] {
       Bench bench;
       EngineModel& engine = bench.Alone(Simple(EngineRole::kDecode));
       engine.Submit(Stream("a", Prompt(10), 900), bench.now);
       engine.Submit(Stream("b", Prompt(10), 100), bench.now);  // no memory
       bench.RunFor(100ms);
       CPPUNIT_ASSERT_EQUAL(std::string("a:stream:910 b:stream:0 "),
                            HeldNames(engine));
       engine.Abort("a", bench.now);
       bench.RunFor(100ms);
       CPPUNIT_ASSERT_EQUAL(std::string("b:stream:110 "), HeldNames(engine));
       CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, engine.stats().prompt_discarded);
       CPPUNIT_ASSERT(!bench.TextOf("b").empty());
     })});

struct RefusalRow {
  std::string error;
  std::function<void(Bench&, EngineModel&)> submit;  // the last is "x"
};

const std::vector<RefusalRow> kRefusals = {
    {"memory_full",
     [](Bench& bench, EngineModel& engine) {
       for (const char* id : {"a", "b", "c", "x"}) {
         engine.Submit(Stream(id, Prompt(10), 300), bench.now);
       }
     }},
    {"queue_full",
     [](Bench& bench, EngineModel& engine) {
       for (const char* id : {"a", "b", "x"}) {
         engine.Submit(Prefill(id, Prompt(10)), bench.now);
       }
     }},
    {"context_length_exceeded",
     [](Bench& bench, EngineModel& engine) {
       engine.Submit(Stream("x", Prompt(900), 101), bench.now);
     }},
    {"model_not_found",
     [](Bench& bench, EngineModel& engine) {
       engine.ApplyOrder({.fencing_token = 1, .model = "one"}, bench.now);
       bench.RunFor(2s);
       EngineWork work = Stream("x", "p", 1);
       work.model = "two";
       engine.Submit(work, bench.now);
     }},
    {"loading",
     [](Bench& bench, EngineModel& engine) {
       engine.ApplyOrder({.fencing_token = 1, .model = "one"}, bench.now);
       engine.Submit(Stream("x", "p", 1), bench.now);
     }},
    {"wrong_role",
     [](Bench& bench, EngineModel& engine) {
       engine.ApplyOrder({.fencing_token = 1, .role = EngineRole::kPrefill},
                         bench.now);
       engine.Submit(Stream("x", "p", 1), bench.now);
     }},
    {"refused",
     [](Bench& bench, EngineModel& engine) {
       engine.SetFaults({.refuse = true}, bench.now);
       engine.Submit(Stream("x", "p", 1), bench.now);
     }},
    {"duplicate_request",
     [](Bench& bench, EngineModel& engine) {
       engine.Submit(Prefill("x", Prompt(10)), bench.now);
       bench.RunFor(10ms);  // its export is held
       engine.Submit(Prefill("x", Prompt(10)), bench.now);
     }},
    {"kv_expired",
     [](Bench& bench, EngineModel& engine) {
       engine.Submit(Import("x", 10, 1, engine, "gone"), bench.now);
     }},
    {"engine_failed",
     [](Bench& bench, EngineModel& engine) {
       engine.SetFaults({.fail_share = 1}, bench.now);
       engine.Submit(Stream("x", "p", 4), bench.now);
     }},
    {"model_replaced",
     [](Bench& bench, EngineModel& engine) {
       engine.Submit(Stream("x", "p", 4), bench.now);
       engine.ApplyOrder({.fencing_token = 1, .version = "2"}, bench.now);
     }},
    {"restarted",
     [](Bench& bench, EngineModel& engine) {
       engine.Submit(Stream("x", "p", 4), bench.now);
       engine.Restart(bench.now);
     }},
};

const testing::Story kFaults(
    "an engine",
    {ForEach<RefusalRow>(
         "ends work with",
         kRefusals,
         [](const RefusalRow& row) { return row.error; },
         [](const RefusalRow& row) {
           Bench bench;
           EngineOptions options = Simple(EngineRole::kMixed);
           options.waiting_limit = 1;
           EngineModel& engine = bench.Alone(options);
           row.submit(bench, engine);
           bench.RunFor(100ms);
           CPPUNIT_ASSERT_EQUAL(row.error, bench.ErrorOf("x"));
           CPPUNIT_ASSERT(HeldNames(engine).find("x:s") == std::string::npos);
         }),
     It("loses an export whose transfer outlasts it, where no transfer pins",
        [] {
          // Guards against an admitted stream that fails with kv_expired: the
          // link stalls during the transfer, and the export's lifetime ends.
          Bench bench;
          EngineOptions exporting = Simple(EngineRole::kPrefill);
          exporting.pinned_lifetime = 0us;
          EngineModel& prefill = bench.Add("p", exporting);
          EngineModel& decode = bench.Add("d", Simple(EngineRole::kDecode));
          prefill.Submit(Prefill("a", Prompt(100)), bench.now);
          bench.RunFor(100ms);
          decode.Submit(Import("a", 100, 1, prefill, "a"), bench.now);
          bench.RunFor(50ms);
          decode.SetFaults({.link_factor = 0}, bench.now);
          bench.RunFor(900ms);
          CPPUNIT_ASSERT_EQUAL(std::string("a:stream:101 "), HeldNames(decode));
          decode.SetFaults({}, bench.now);
          bench.RunFor(900ms);
          CPPUNIT_ASSERT_EQUAL(std::string("kv_expired"), bench.ErrorOf("a"));
          CPPUNIT_ASSERT_EQUAL(std::string(), HeldNames(decode));
        }),
     It("stops during a stall and continues after it",
        [] {
          Bench bench;
          EngineModel& engine = bench.Alone(Simple(EngineRole::kDecode));
          engine.Submit(Stream("a", "", 10), bench.now);
          bench.RunFor(35ms);
          engine.Stall(bench.now + 1s, bench.now);
          bench.RunFor(900ms);
          const std::size_t before = bench.TextOf("a").size();
          bench.RunFor(1s);
          CPPUNIT_ASSERT_EQUAL(3 * kTokenBytes, before);
          // An empty prompt still takes the shortest step.
          AssertTime(1100ms + 1us, bench.When<WorkDone>("a"));
        }),
     It("slows down by a factor",
        [] {
          Bench bench;
          EngineModel& engine = bench.Alone(Simple(EngineRole::kDecode));
          engine.SetFaults({.slow_factor = 3}, bench.now);
          engine.Submit(Stream("a", "", 10), bench.now);
          bench.RunFor(1s);
          AssertTime(300ms + 1us, bench.When<WorkDone>("a"));
        }),
     It("refuses an order with an old fencing token, or applies it",
        [] {
          for (const bool checks : {true, false}) {
            Bench bench;
            EngineOptions options = Simple(EngineRole::kDecode);
            options.checks_fencing = checks;
            EngineModel& engine = bench.Alone(options);
            const EngineOrder newer{
                .fencing_token = 7, .model = "m", .version = "2"};
            const EngineOrder older{
                .fencing_token = 6, .model = "m", .version = "1"};
            CPPUNIT_ASSERT(engine.ApplyOrder(newer, bench.now));
            CPPUNIT_ASSERT(engine.state(bench.now).loading);
            bench.RunFor(2s);
            CPPUNIT_ASSERT(engine.ApplyOrder(newer, bench.now));
            CPPUNIT_ASSERT(!engine.state(bench.now).loading);
            CPPUNIT_ASSERT_EQUAL(!checks, engine.ApplyOrder(older, bench.now));
            CPPUNIT_ASSERT_EQUAL(std::string(checks ? "2" : "1"),
                                 engine.state(bench.now).order.version);
          }
        }),
     It("has lost its exports, and has another id, after a restart", [] {
       Bench bench;
       EngineModel& engine = bench.Alone(Simple(EngineRole::kPrefill));
       const std::string before = engine.engine_id();
       engine.Submit(Prefill("a", Prompt(10)), bench.now);
       bench.RunFor(20ms);
       engine.Restart(bench.now);
       CPPUNIT_ASSERT(before != engine.engine_id());
       CPPUNIT_ASSERT_EQUAL(std::string(), HeldNames(engine));
       CPPUNIT_ASSERT(!engine.BeginPull(before, "a", bench.now));
     })});

// Offers more than the capacity for some time, and counts completed work.
double MeasureDecode(const EngineOptions& options, std::uint32_t output) {
  Bench bench;
  EngineModel& engine = bench.Alone(options);
  std::uint64_t next = 0;
  const auto fill = [&] {
    while (engine.held().size() < options.slots + 2) {
      engine.Submit(Stream("s" + std::to_string(next++), "", output),
                    bench.now);
    }
  };
  for (int turn = 0; turn < 2000; ++turn) {
    fill();
    bench.RunFor(10ms);
    bench.seen.clear();
  }
  return static_cast<double>(engine.stats().streams_done) /
         Seconds(bench.now - Instant());
}

const testing::Story kCapacity(
    "the capacity by the formulas",
    {It("matches a saturated decode engine, within a twentieth",
        [] {
          EngineOptions options = Simple(EngineRole::kDecode);
          options.slots = 4;
          options.stream_iteration = 650us;
          options.calibration_context = 10;
          const Capacity capacity = ComputeCapacity(
              Simple(EngineRole::kPrefill), options,
              {.prefill_engines = 1, .decode_engines = 1},
              {.mean_prompt_tokens = 0, .mean_output_tokens = 50});
          const double measured = MeasureDecode(options, 50);
          CPPUNIT_ASSERT_DOUBLES_EQUAL(capacity.decode, measured,
                                       capacity.decode / 20);
        }),
     It("is bounded by the least of prefill, decode and links", [] {
       const Capacity capacity = ComputeCapacity(
           Simple(EngineRole::kPrefill), Simple(EngineRole::kDecode),
           {.prefill_engines = 3, .decode_engines = 2},
           {.mean_prompt_tokens = 200,
            .cached_share = 0.5,
            .mean_output_tokens = 50});
       CPPUNIT_ASSERT_DOUBLES_EQUAL(30.0, capacity.prefill, 1e-9);
       CPPUNIT_ASSERT_DOUBLES_EQUAL(8.0, capacity.decode, 1e-9);
       CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, capacity.links, 1e-9);
       CPPUNIT_ASSERT_EQUAL(capacity.decode, capacity.whole);
     })});

}  // namespace
}  // namespace acacialug::standin
