#include "load/load_run.h"

#include <cppunit/extensions/HelperMacros.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <string>

#include "framework/http/http_client.h"
#include "framework/testing/story.h"
#include "standin/engine_server.h"
#include "standin/service_server.h"

namespace acacialug::load {
namespace {

using testing::It;

const http::Address kAnyPort{"127.0.0.1", 0};

standin::EngineServerOptions FastEngine() {
  return {
      .listen = kAnyPort,
      .engine = {.id = "engine", .base_iteration = 1ms, .prefill_fixed = 0us}};
}

LoadPlan ShortPlan(const standin::EngineServer& engine) {
  LoadPlan plan;
  plan.entries = {engine.address()};
  plan.requests_per_second = 100;
  plan.warm_up = 0s;
  plan.duration = 200ms;
  plan.settle = 0s;
  plan.generations.push_back({.name = "review",
                              .model = "review-1",
                              .prompt_tokens = {.median = 50},
                              .output_tokens = {.median = 20}});
  plan.decode_stand_ins = {engine.address()};
  return plan;
}

LoadReport RunPlan(const LoadPlan& plan) {
  LoadReport report;
  QEventLoop loop;
  LoadRun run(plan, [&report, &loop](const LoadReport& done) {
    report = done;
    loop.quit();
  });
  run.Start();
  loop.exec();
  return report;
}

void PostControl(const http::Address& stand_in, const std::string& faults) {
  http::Client client({});
  QEventLoop loop;
  client.Send(stand_in,
              {.method = "POST", .target = "/control", .body = faults},
              {.on_end = [&loop](const std::string&) { loop.quit(); }});
  loop.exec();
}

std::uint64_t Count(const LoadReport& report, RequestOutcome outcome) {
  const auto& outcomes = report.figures.mixes.at(0).outcomes;
  const auto found = outcomes.find(outcome);
  return found == outcomes.end() ? 0 : found->second;
}

// An engine that computes prompts itself takes the place of an entry.
const testing::Story kLoadRun(
    "a load run against stand-ins",
    {It("completes what it sends and finds nothing wrong",
        [] {
          standin::EngineServer engine(FastEngine());
          CPPUNIT_ASSERT(engine.Start().ok());
          for (const auto api : {protocol::GenerationApi::kCompletions,
                                 protocol::GenerationApi::kChat}) {
            for (const bool stream : {true, false}) {
              LoadPlan plan = ShortPlan(engine);
              plan.generations[0].api = api;
              plan.generations[0].stream = stream;
              const LoadReport report = RunPlan(plan);
              CPPUNIT_ASSERT(report.figures.arrived > 0);
              CPPUNIT_ASSERT_EQUAL(report.figures.arrived,
                                   report.figures.completed);
              CPPUNIT_ASSERT_EQUAL(std::size_t{0}, report.violations.size());
              CPPUNIT_ASSERT(report.stand_ins.known);
            }
          }
        }),
     It("leaves in mid-answer as the plan wants, and the engine holds nothing",
        [] {
          standin::EngineServer engine(FastEngine());
          CPPUNIT_ASSERT(engine.Start().ok());
          LoadPlan plan = ShortPlan(engine);
          plan.generations[0].cancel_share = 1;
          plan.settle = 1s;
          const LoadReport report = RunPlan(plan);
          CPPUNIT_ASSERT_EQUAL(report.figures.arrived,
                               Count(report, RequestOutcome::kLeft));
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, report.stand_ins.held_after);
        }),
     // Guards against reporting an engine's failure, which the router may pass
     // on, as a violation.
     It("counts broken answers as unknown, and reports no violation",
        [] {
          standin::EngineServer engine(FastEngine());
          CPPUNIT_ASSERT(engine.Start().ok());
          engine.model().SetFaults({.fail_share = 1}, MonotonicNow());
          const LoadReport report = RunPlan(ShortPlan(engine));
          CPPUNIT_ASSERT_EQUAL(report.figures.arrived,
                               Count(report, RequestOutcome::kUnknown));
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, report.violations.size());
        }),
     // Guards against taking the end of a process for the end of its answer.
     It("counts answers without length or chunks that end early as unknown",
        [] {
          standin::EngineServer engine(FastEngine());
          CPPUNIT_ASSERT(engine.Start().ok());
          for (const bool cut : {false, true}) {
            PostControl(engine.address(),
                        cut ? R"({"unframed":1,"cut_unframed":1})"
                            : R"({"unframed":1})");
            for (const bool stream : {true, false}) {
              LoadPlan plan = ShortPlan(engine);
              plan.generations[0].stream = stream;
              const LoadReport report = RunPlan(plan);
              CPPUNIT_ASSERT_EQUAL(
                  report.figures.arrived,
                  Count(report, cut ? RequestOutcome::kUnknown
                                    : RequestOutcome::kCompleted));
              CPPUNIT_ASSERT_EQUAL(std::size_t{0}, report.violations.size());
            }
          }
        }),
     It("counts calls without length that end early as unknown",
        [] {
          standin::ServiceServer service(
              {.listen = kAnyPort, .service = {.id = "service"}});
          CPPUNIT_ASSERT(service.Start().ok());
          PostControl(service.address(), R"({"unframed":1,"cut_unframed":1})");
          LoadPlan plan;
          plan.entries = {service.address()};
          plan.direct.plain = {service.address()};
          plan.requests_per_second = 100;
          plan.warm_up = 0s;
          plan.duration = 200ms;
          plan.settle = 0s;
          plan.calls.push_back({.name = "app", .service = "app"});
          const LoadReport report = RunPlan(plan);
          std::uint64_t unknown = 0;
          for (const MixFigures& mix : report.figures.mixes) {
            if (mix.direct) {
              CPPUNIT_ASSERT(mix.outcomes.size() == 1);
              unknown += mix.outcomes.at(RequestOutcome::kUnknown);
            }
          }
          CPPUNIT_ASSERT(unknown > 0);
        }),
     It("uses the next entry when one cannot be reached",
        [] {
          standin::EngineServer engine(FastEngine());
          CPPUNIT_ASSERT(engine.Start().ok());
          LoadPlan plan = ShortPlan(engine);
          {
            standin::EngineServer gone(FastEngine());
            CPPUNIT_ASSERT(gone.Start().ok());
            plan.entries.push_back(gone.address());
          }
          const LoadReport report = RunPlan(plan);
          CPPUNIT_ASSERT_EQUAL(report.figures.arrived,
                               report.figures.completed);
        }),
     // Guards against a key that takes effect twice: a call is submitted twice
     // at once to a service that runs every submission.
     It("finds a key that ran twice", [] {
       standin::ServiceServer service(
           {.listen = kAnyPort, .service = {.id = "service"}});
       CPPUNIT_ASSERT(service.Start().ok());
       LoadPlan plan;
       plan.entries = {service.address()};
       plan.requests_per_second = 100;
       plan.warm_up = 0s;
       plan.duration = 100ms;
       plan.settle = 0s;
       plan.calls.push_back({.name = "issue",
                             .service = "registry-app",
                             .idempotent = false,
                             .double_share = 1});
       plan.plain_stand_ins = {service.address()};
       const LoadReport report = RunPlan(plan);
       std::uint64_t twice = 0;
       for (const Violation& violation : report.violations) {
         twice += violation.kind == ViolationKind::kRanTwice ? 1 : 0;
       }
       CPPUNIT_ASSERT_EQUAL(report.figures.arrived, twice);
       CPPUNIT_ASSERT(twice > 0);
     })});

}  // namespace
}  // namespace acacialug::load
