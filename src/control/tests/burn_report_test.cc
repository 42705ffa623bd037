#include "control/burn_report.h"

#include <cppunit/extensions/HelperMacros.h>

#include "entry_process/metric_definitions.h"
#include "framework/metrics/registry.h"
#include "framework/testing/story.h"

namespace acacialug::control {
namespace {

using testing::It;

manifest::Manifest ManifestWithOneClass() {
  manifest::Service service;
  service.name = ServiceName("lm");
  service.kind = manifest::ServiceKind::kModel;
  service.classes.push_back({.name = "desk", .objective = 0.9});
  manifest::Manifest manifest;
  manifest.services.push_back(service);
  return manifest;
}

void Count(metrics::Registry& registry, std::string_view outcome, int times) {
  registry.Get(entry_process::kRequestsTotal, {"lm", "desk", outcome})
      .Add(static_cast<std::uint64_t>(times));
}

const testing::Story kBurn(
    "a burn report",
    {It("tells compliance, budget left and burn rate, since start and between "
        "scrapes",
        [] {
          metrics::Registry registry;
          Count(registry, "completed", 90);
          Count(registry, "not_run", 10);
          Count(registry, "caller_gone", 50);  // missed no target
          registry.Get(entry_process::kGoodputTotal, {"lm", "desk"}).Add(90);
          const metrics::Snapshot earlier = registry.Read();
          Count(registry, "completed", 100);
          registry.Get(entry_process::kGoodputTotal, {"lm", "desk"}).Add(70);
          registry
              .Get(entry_process::kTargetMissedTotal,
                   {"lm", "desk", "first_token"})
              .Add(30);
          registry.Get(entry_process::kPrefillTokensTotal, {"lm"}).Add(1000);
          registry.Get(entry_process::kWastedPrefillTokensTotal, {"lm", "late"})
              .Add(20);
          const BurnReport report = MakeBurnReport(
              ManifestWithOneClass(), earlier, registry.Read(), 10s);
          const BurnRow& row = report.classes.at(0);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, row.requests);
          CPPUNIT_ASSERT_DOUBLES_EQUAL(0.8, row.compliance, 1e-9);
          CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, row.burn_rate, 1e-9);
          CPPUNIT_ASSERT_DOUBLES_EQUAL(-1.0, row.budget_left, 1e-9);
          CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, row.window_burn_rate, 1e-9);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{30},
                               row.causes.at("late_first_token"));
          CPPUNIT_ASSERT_DOUBLES_EQUAL(0.02, report.prefill.at(0).ratio, 1e-9);
        }),
     It("of a system without requests has spent nothing, in every form", [] {
       const BurnReport report =
           MakeBurnReport(ManifestWithOneClass(), {}, {}, 10s);
       CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, report.classes.at(0).budget_left,
                                    1e-9);
       CPPUNIT_ASSERT(RenderText(report).find("desk") != std::string::npos);
       CPPUNIT_ASSERT(RenderJson(report).find("\"desk\"") != std::string::npos);
       CPPUNIT_ASSERT(RenderHtml(report).find("<svg") != std::string::npos);
     })});

}  // namespace
}  // namespace acacialug::control
