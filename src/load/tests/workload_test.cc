#include "load/workload.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <map>
#include <set>
#include <string>

#include "framework/settings/reader.h"
#include "framework/testing/story.h"
#include "load/load_plan_reader.h"
#include "standin/reference_answer.h"

namespace acacialug::load {
namespace {

using testing::ForEach;
using testing::It;

constexpr char kPlanText[] = R"(
[load]
seed = 7
entries = ["127.0.0.1:8080", "127.0.0.1:8082"]
requests_per_second = 50.0
[[generation]]
model = "review-1"
weight = 3.0
prompt_tokens = {median = 900.0, sigma = 0.4, minimum = 600, maximum = 2000}
output_tokens = {median = 150.0, sigma = 0.3, minimum = 20, maximum = 400}
max_tokens_factor = 1.5
shared_prefix_share = 0.5
shared_prefix_tokens = 512
[[call]]
service = "registry-app"
path = "/issue"
idempotent = false
double_share = 0.5
)";

LoadPlan ReadPlan(const std::string& text) {
  auto reader = settings::Reader::FromText("plan", text);
  LoadPlan plan = ReadLoadPlan(reader);
  for (const auto& problem : reader.Finish()) {
    CPPUNIT_FAIL(settings::ToString(problem));
  }
  return plan;
}

struct BadPlan {
  std::string name;
  std::string from;
  std::string to;
  ResultCode code;
};

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

const testing::Story kWorkload(
    "a workload",
    {It("is the same for the same seed and differs for another",
        [] {
          LoadPlan plan = ReadPlan(kPlanText);
          RandomSource one_random(plan.seed);
          RandomSource two_random(plan.seed);
          RandomSource other_random(plan.seed + 1);
          Workload one(plan, one_random);
          Workload two(plan, two_random);
          Workload other(plan, other_random);
          int different = 0;
          for (int drawn = 0; drawn < 50; ++drawn) {
            CPPUNIT_ASSERT(one.NextGap() == two.NextGap());
            const RequestSpec request = one.NextRequest();
            CPPUNIT_ASSERT_EQUAL(two.NextRequest().text, request.text);
            different += other.NextRequest().text != request.text ? 1 : 0;
          }
          CPPUNIT_ASSERT(different > 0);
        }),
     It("keeps to the plan's rate, weights, bounds and shares",
        [] {
          const LoadPlan plan = ReadPlan(kPlanText);
          RandomSource random(plan.seed);
          Workload workload(plan, random);
          constexpr int kDraws = 4000;
          Duration whole{};
          int generations = 0;
          int doubled = 0;
          std::map<std::string, int> beginnings;
          std::set<std::string> names;
          for (int drawn = 0; drawn < kDraws; ++drawn) {
            whole += workload.NextGap();
            const RequestSpec spec = workload.NextRequest();
            names.insert(spec.name);
            if (!spec.generation) {
              doubled += spec.submitted_twice ? 1 : 0;
              continue;
            }
            ++generations;
            ++beginnings[spec.text.substr(0, 2048)];
            const auto answer = standin::PlanAnswer(spec.text, spec.max_tokens);
            CPPUNIT_ASSERT(answer.prompt_tokens >= 600 &&
                           answer.prompt_tokens <= 2000);
            CPPUNIT_ASSERT_EQUAL(spec.output_tokens, answer.output_tokens);
            CPPUNIT_ASSERT_EQUAL(spec.prompt_tokens, answer.prompt_tokens);
            CPPUNIT_ASSERT(answer.reason == protocol::FinishReason::kStop);
          }
          const double calls = kDraws - generations;
          int shared = 0;
          for (const auto& [beginning, count] : beginnings) {
            shared = std::max(shared, count);
          }
          CPPUNIT_ASSERT_EQUAL(std::size_t{kDraws}, names.size());
          CPPUNIT_ASSERT_DOUBLES_EQUAL(0.02, Seconds(whole) / kDraws, 0.002);
          CPPUNIT_ASSERT_DOUBLES_EQUAL(0.75, generations / double{kDraws},
                                       0.03);
          CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, shared / double(generations), 0.05);
          CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, doubled / calls, 0.06);
        }),
     ForEach<BadPlan>(
         "is not read from a plan with",
         {{"no entries", "entries = [\"127.0.0.1:8080\", \"127.0.0.1:8082\"]",
           "entries = []", ResultCode::kSettingsOutOfRange},
          {"a host name", "127.0.0.1:8080", "localhost:8080",
           ResultCode::kSettingsOutOfRange},
          {"a share above one", "shared_prefix_share = 0.5",
           "shared_prefix_share = 1.5", ResultCode::kSettingsOutOfRange},
          {"an unknown key", "seed = 7", "sed = 7",
           ResultCode::kSettingsUnknownKey},
          {"crossed bounds", "minimum = 600", "minimum = 3000",
           ResultCode::kSettingsOutOfRange}},
         [](const BadPlan& row) { return row.name; },
         [](const BadPlan& row) {
           auto reader = settings::Reader::FromText(
               "plan", Replace(kPlanText, row.from, row.to));
           ReadLoadPlan(reader);
           const auto problems = reader.Finish();
           CPPUNIT_ASSERT(!problems.empty());
           CPPUNIT_ASSERT(problems[0].code == row.code);
         })});

}  // namespace
}  // namespace acacialug::load
