#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "framework/testing/story.h"
#include "gateway/endpoint_limits.h"
#include "gateway/tests/gateway_simulation.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::ForEach;
using acacialug::testing::It;
using testing::GatewaySimulation;

// One plain endpoint, to which every request goes.
struct LimitSimulation : GatewaySimulation {
  LimitSimulation() {
    this->Configure();
    this->AddEndpoint("p1", "plain", EndpointRole::kPlain);
  }

  void Answer(const http::Headers& headers) {
    this->SendRequest("/once/a", "r" + std::to_string(++this->requests));
    this->Reply(this->Find("/once/"), 200, headers);
  }

  int requests = 0;
};

const acacialug::testing::Story kLog(
    "an endpoint that names a limit",
    {It("is logged once, again when the limit changes, and when it ends",
        [] {
          LimitSimulation simulation;
          simulation.Answer({{"Proof", "1"}, {"Limit", "20"}});
          simulation.Answer({{"Proof", "1"}, {"Limit", "20"}});
          CPPUNIT_ASSERT(simulation.Logged("endpoint_limited") == 1);
          simulation.Answer({{"Proof", "1"}, {"Limit", "30"}});
          CPPUNIT_ASSERT(simulation.Logged("endpoint_limited") == 2);
          CPPUNIT_ASSERT(simulation.Logged("endpoint_limit_ended") == 0);
          simulation.Answer({{"Proof", "1"}});
          CPPUNIT_ASSERT(simulation.Logged("endpoint_limit_ended") == 1);
        }),
     It("keeps its limit when an answer without it was requested earlier",
        [] {
          // Guards against a limit that ends for all gateways when one of them
          // reads an answer late.
          LimitSimulation simulation;
          simulation.SendRequest("/once/a", "early");
          const auto early = simulation.Find("/once/");
          simulation.AdvanceBy(10ms);
          simulation.Answer({{"Proof", "1"}, {"Limit", "20"}});
          simulation.AdvanceBy(10ms);
          simulation.Reply(early, 200, {{"Proof", "1"}});
          CPPUNIT_ASSERT(simulation.Logged("endpoint_limit_ended") == 0);
          simulation.Answer({{"Proof", "1"}});
          CPPUNIT_ASSERT(simulation.Logged("endpoint_limit_ended") == 1);
        }),
     It("keeps its limit when an answer is another's, or no proof that it ran",
        [] {
          LimitSimulation simulation;
          simulation.Answer({{"Proof", "1"}, {"Limit", "20"}});
          simulation.Answer({{"Refused", "1"}});
          simulation.Answer({{"Other", "1"}, {"Limit", "5"}});
          CPPUNIT_ASSERT(simulation.Logged("endpoint_limited") == 1);
          CPPUNIT_ASSERT(simulation.Logged("endpoint_limit_ended") == 0);
        })});

constexpr Instant kNow{1h};
constexpr std::uint64_t kEndpoint = 7;

// The limits of one process that is alone.
struct Limits : EndpointLimits {
  Limits() : EndpointLimits("g1") {}

  // The messages that are allowed now, at most 1000.
  int Drain(Instant now) {
    int sent = 0;
    while (sent < 1000 && this->Allows(kEndpoint, 1, now)) {
      this->NoteSent(kEndpoint);
      ++sent;
    }
    return sent;
  }
};

struct ReportCase {
  std::string name;
  EndpointLimitReport report;
};

// Reports that must change nothing, at a process that was told 4/s just now.
const std::vector<ReportCase> kIgnoredReports = {
    {"older", {.endpoint_key = kEndpoint, .max_rate = 9, .age = 1s}},
    {"older, and names no limit", {.endpoint_key = kEndpoint, .age = 1s}},
    {"of the future", {.endpoint_key = kEndpoint, .max_rate = 9, .age = -1s}},
    {"negative", {.endpoint_key = kEndpoint, .max_rate = -1}},
    {"infinite",
     {.endpoint_key = kEndpoint,
      .max_rate = std::numeric_limits<double>::infinity()}},
    {"not a number",
     {.endpoint_key = kEndpoint,
      .max_rate = std::numeric_limits<double>::quiet_NaN()}},
    {"too old", {.endpoint_key = kEndpoint, .max_rate = 9, .age = 2h}}};

const acacialug::testing::Story kLimits(
    "the limit of an endpoint",
    {It("allows its rate, and a burst after a pause",
        [] {
          Limits limits;
          limits.NoteLimit(kEndpoint, 4, kNow);
          CPPUNIT_ASSERT_EQUAL(5, limits.Drain(kNow));
          CPPUNIT_ASSERT_EQUAL(4, limits.Drain(kNow + 1s));
          CPPUNIT_ASSERT_EQUAL(5, limits.Drain(kNow + 60s));
        }),
     It("counts messages that are sent without being allowed",
        [] {
          Limits limits;
          limits.NoteLimit(kEndpoint, 4, kNow);
          limits.Drain(kNow);
          for (int message = 0; message < 8; ++message) {
            limits.NoteSent(kEndpoint);
          }
          CPPUNIT_ASSERT_EQUAL(0, limits.Drain(kNow + 2s));
          CPPUNIT_ASSERT_EQUAL(4, limits.Drain(kNow + 3s));
        }),
     It("yields no new burst when it ends and begins again",
        [] {
          Limits limits;
          limits.NoteLimit(kEndpoint, 4, kNow);
          limits.Drain(kNow);
          limits.NoteNoLimit(kEndpoint, kNow, kNow);
          CPPUNIT_ASSERT(limits.Allows(kEndpoint, 1, kNow));
          limits.NoteLimit(kEndpoint, 4, kNow + 10ms);
          CPPUNIT_ASSERT_EQUAL(0, limits.Drain(kNow + 10ms));
        }),
     It("of any size is kept",
        [] {
          Limits limits;
          limits.NoteLimit(kEndpoint, 0, kNow);
          limits.Drain(kNow);
          CPPUNIT_ASSERT_EQUAL(1, limits.Drain(kNow + 4s));
          limits.NoteLimit(kEndpoint, 1e300, kNow + 4s);
          CPPUNIT_ASSERT_EQUAL(1000, limits.Drain(kNow + 5s));
        }),
     It("belongs to one incarnation: reports on an earlier one don't count",
        [] {
          Limits limits;
          limits.NoteLimit(kEndpoint, 4, kNow);
          limits.Forget(kEndpoint, kNow + 1s);
          CPPUNIT_ASSERT(!limits.MaxRate(kEndpoint));
          limits.Merge({.endpoint_key = kEndpoint, .max_rate = 4, .age = 500ms},
                       kNow + 1s);
          CPPUNIT_ASSERT(!limits.MaxRate(kEndpoint));
        }),
     It("of many endpoints is kept in bounded memory",
        [] {
          Limits limits;
          for (std::uint64_t key = 0; key < 5000; ++key) {
            limits.Merge({.endpoint_key = key, .max_rate = 4}, kNow);
          }
          CPPUNIT_ASSERT_EQUAL(EndpointLimits::kMaxEndpoints, limits.size());
          limits.Sweep(kNow + EndpointLimits::kRetention);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, limits.size());
        }),
     ForEach<ReportCase>(
         "does not change by a peer's report that is",
         kIgnoredReports,
         [](const ReportCase& row) { return row.name; },
         [](const ReportCase& row) {
           Limits limits;
           limits.NoteLimit(kEndpoint, 4, kNow);
           CPPUNIT_ASSERT(!limits.Merge(row.report, kNow + 500ms));
           CPPUNIT_ASSERT_EQUAL(4.0, limits.MaxRate(kEndpoint).value());
         }),
     It("changes by a peer's newer report, once",
        [] {
          Limits limits;
          limits.NoteLimit(kEndpoint, 4, kNow);
          const EndpointLimitReport newer{
              .endpoint_key = kEndpoint, .max_rate = 2, .age = 100ms};
          CPPUNIT_ASSERT(limits.Merge(newer, kNow + 1s));
          CPPUNIT_ASSERT(!limits.Merge(newer, kNow + 1s));
          CPPUNIT_ASSERT_EQUAL(2.0, limits.MaxRate(kEndpoint).value());
        }),
     It("ends at peers that lag, by the answers after the first without it",
        [] {
          // Guards against a gateway that keeps a limit that has ended, because
          // the last report of it seems newer than the report of its end.
          Limits limits;
          Limits peer;
          limits.NoteLimit(kEndpoint, 4, kNow);
          limits.NoteNoLimit(kEndpoint, kNow + 10ms, kNow + 20ms);
          peer.NoteLimit(kEndpoint, 4, kNow + 50ms);
          const auto report = [&](Instant now) {
            return limits.CollectReports(4, 0, now).at(0);
          };
          CPPUNIT_ASSERT(!peer.Merge(report(kNow + 100ms), kNow + 100ms));
          limits.NoteNoLimit(kEndpoint, kNow + 200ms, kNow + 210ms);
          CPPUNIT_ASSERT(peer.Merge(report(kNow + 300ms), kNow + 300ms));
          CPPUNIT_ASSERT(!peer.MaxRate(kEndpoint));
          limits.Sweep(kNow + 20ms + EndpointLimits::kEndRetention);
          CPPUNIT_ASSERT(limits.CollectReports(4, 0, kNow + 40s).empty());
        }),
     It("that ended is reported for a while, and then dropped", [] {
       Limits limits;
       limits.NoteLimit(kEndpoint, 4, kNow);
       limits.NoteNoLimit(kEndpoint, kNow + 1s, kNow + 1s);
       CPPUNIT_ASSERT(!limits.CollectReports(4, 0, kNow + 2s).at(0).max_rate);
       limits.Sweep(kNow + 1s + EndpointLimits::kEndRetention);
       CPPUNIT_ASSERT(limits.CollectReports(4, 0, kNow + 40s).empty());
     })});

}  // namespace
}  // namespace acacialug::gateway
