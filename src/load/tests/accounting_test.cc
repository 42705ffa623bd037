#include "load/accounting.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "framework/testing/story.h"
#include "load/entry_rotation.h"
#include "load/report_text.h"

namespace acacialug::load {
namespace {

using testing::ForEach;
using testing::It;

LoadPlan MakePlan() {
  LoadPlan plan;
  plan.duration = 10s;
  plan.client_one_way = 3ms;
  plan.generations.push_back(
      {.name = "review", .first_token = 1s, .token_interval = 50ms});
  plan.calls.push_back({.name = "receipt", .answer_in = 100ms});
  return plan;
}

const Instant kStart{1000s};

RequestSpec Measured(bool generation) {
  return {.name = "r", .generation = generation, .measured = true};
}

struct Stream {
  std::string name;
  Duration first;
  Duration last;
  std::uint32_t tokens;
  std::uint64_t on_time;
};

MixFigures Play(const Stream& stream) {
  const LoadPlan plan = MakePlan();
  Accounting accounting(plan);
  const auto request = accounting.Begin(Measured(true), kStart);
  accounting.OnTokens(request, 1, kStart + stream.first);
  accounting.OnTokens(request, stream.tokens - 1, kStart + stream.last);
  accounting.OnOutcome(request, RequestOutcome::kCompleted, "",
                       kStart + stream.last + 1s);
  return accounting.Sum().mixes.at(0);
}

const testing::Story kAccounting(
    "the accounting",
    {ForEach<Stream>(
         "counts as on time",
         {{"a stream within both targets", 900ms, 1400ms, 11, 1},
          {"no stream whose first token is late by the way to the caller",
           995ms, 1400ms, 11, 0},
          {"no stream whose tokens come too slowly", 900ms, 1401ms, 11, 0},
          {"a stream of one token", 900ms, 900ms, 1, 1}},
         [](const Stream& stream) { return stream.name; },
         [](const Stream& stream) {
           CPPUNIT_ASSERT_EQUAL(stream.on_time, Play(stream).on_time);
         }),
     It("takes the interval between tokens as the mean after the first",
        [] {
          const MixFigures mix = Play({"", 500ms, 900ms, 11, 1});
          CPPUNIT_ASSERT(mix.token_interval.p50 == 40ms);
          CPPUNIT_ASSERT(mix.first_token.p50 == 506ms);
        }),
     It("counts each request once and by its first end",
        [] {
          const LoadPlan plan = MakePlan();
          Accounting accounting(plan);
          const auto refused = accounting.Begin(Measured(true), kStart);
          accounting.OnOutcome(refused, RequestOutcome::kNotRun, "2001",
                               kStart);
          accounting.OnOutcome(refused, RequestOutcome::kCompleted, "", kStart);
          RequestSpec open = Measured(true);  // never ends
          open.prompt_tokens = 900;
          accounting.Begin(open, kStart);
          accounting.Begin({.name = "warm-up"}, kStart);
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, accounting.outstanding());
          const LoadFigures figures = accounting.Sum();
          const MixFigures& mix = figures.mixes.at(0);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, figures.arrived);
          CPPUNIT_ASSERT_EQUAL(450.0, mix.mean_prompt_tokens);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, mix.offered);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                               mix.outcomes.at(RequestOutcome::kNotRun));
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                               mix.outcomes.at(RequestOutcome::kUnknown));
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, mix.codes.at("2001"));
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, mix.codes.at("open"));
        }),
     It("holds a call against the time of its whole answer",
        [] {
          const LoadPlan plan = MakePlan();
          Accounting accounting(plan);
          for (const Duration took : {90ms, 94ms, 95ms}) {
            const auto call = accounting.Begin(Measured(false), kStart);
            accounting.OnOutcome(call, RequestOutcome::kCompleted, "",
                                 kStart + took);
          }
          const MixFigures mix = accounting.Sum().mixes.at(1);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, mix.on_time);
          CPPUNIT_ASSERT(mix.first_token.p99 == 101ms);
        }),
     It("tells by the time of arrival what failed and what was slow",
        [] {
          const LoadPlan plan = MakePlan();
          Accounting accounting(plan);
          accounting.SetMeasured(kStart + plan.warm_up, kNever);
          const auto call = [&accounting](Duration arrives, Duration takes,
                                          RequestOutcome outcome) {
            const auto id = accounting.Begin(Measured(false), kStart + arrives);
            accounting.OnOutcome(id, outcome, "", kStart + arrives + takes);
          };
          call(0ms, 10ms, RequestOutcome::kCompleted);
          call(210ms, 200ms, RequestOutcome::kCompleted);
          call(299ms, 20ms, RequestOutcome::kCompleted);
          call(300ms, 20ms, RequestOutcome::kUnknown);
          const Timeline timeline = accounting.Sum().timeline;
          using Counts = std::vector<std::uint32_t>;
          CPPUNIT_ASSERT(timeline.begun == kStart);
          CPPUNIT_ASSERT((Counts{1, 0, 2, 1}) == timeline.offered);
          CPPUNIT_ASSERT((Counts{1, 0, 1, 0}) == timeline.on_time);
          CPPUNIT_ASSERT((Counts{0, 0, 0, 1}) == timeline.failed);
          CPPUNIT_ASSERT(timeline.slowest.at(2) ==
                         200ms + 2 * plan.client_one_way);
        }),
     It("takes prefill that no completed request used as wasted", [] {
       const LoadPlan plan = MakePlan();
       Accounting accounting(plan);
       for (const RequestOutcome outcome :
            {RequestOutcome::kCompleted, RequestOutcome::kUnknown}) {
         const auto request = accounting.Begin(Measured(true), kStart);
         accounting.OnUsage(request,
                            {.prompt_tokens = 900, .cached_tokens = 100});
         accounting.OnOutcome(request, outcome, "3003", kStart);
       }
       const LoadReport report{.figures = accounting.Sum(),
                               .stand_ins = {.prefill_computed = 1600}};
       CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, report.wasted_prefill_ratio(), 1e-9);
       CPPUNIT_ASSERT(ToJson(report).find("\"wasted_prefill_ratio\": 0.5") !=
                      std::string::npos);
     })});

const testing::Story kRotation(
    "the rotation of entries",
    {It("leaves out an unreachable one for its rest and no longer", [] {
      const http::Address one{"127.0.0.1", 1};
      const http::Address two{"127.0.0.1", 2};
      EntryRotation rotation({one, two}, 500ms);
      CPPUNIT_ASSERT(rotation.Next(kStart) == one);
      CPPUNIT_ASSERT(rotation.Next(kStart) == two);
      rotation.OnUnreachable(one, kStart);
      CPPUNIT_ASSERT(rotation.Next(kStart + 499ms) == two);
      CPPUNIT_ASSERT(rotation.Next(kStart + 500ms) == one);
      rotation.OnUnreachable(one, kStart + 500ms);
      rotation.OnUnreachable(two, kStart + 500ms);
      CPPUNIT_ASSERT(rotation.Next(kStart + 501ms) !=
                     rotation.Next(kStart + 501ms));
    })});

}  // namespace
}  // namespace acacialug::load
