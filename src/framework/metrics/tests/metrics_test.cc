#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <limits>
#include <string>
#include <thread>
#include <vector>

#include "framework/global/random_source.h"
#include "framework/metrics/axis.h"
#include "framework/metrics/exposition.h"
#include "framework/metrics/registry.h"
#include "framework/testing/story.h"

namespace acacialug::metrics {
namespace {

using testing::ForEach;
using testing::It;

constexpr CounterDefinition kRequests = {.name = "requests_total",
                                         .help = "Requests\nby \\ service",
                                         .labels = {"service", "cause"},
                                         .max_series = 3};
constexpr GaugeDefinition kDepth = {.name = "depth", .help = "Queue depth"};
constexpr GaugeDefinition kOffset = {.name = "offset",
                                     .help = "Newest offset",
                                     .merge = GaugeMerge::kMaximum};
constexpr GaugeDefinition kOldest = {.name = "oldest",
                                     .help = "Oldest offset",
                                     .merge = GaugeMerge::kMinimum};
constexpr HistogramDefinition kWait = {.name = "wait_seconds",
                                       .help = "Wait",
                                       .labels = {"service"}};
constexpr HistogramDefinition kTokens = {.name = "prompt_tokens",
                                         .help = "Tokens",
                                         .axis = Axis::kSize};

std::uint64_t CountOf(const Snapshot& snapshot,
                      const std::string& family,
                      const LabelValues& labels) {
  const SeriesValue* value = snapshot.Find(family, labels);
  return value == nullptr ? 0 : std::get<std::uint64_t>(*value);
}

// Throws, failing the test, when there is no such series.
const HistogramData& DataOf(const Snapshot& snapshot,
                            const std::string& family,
                            const LabelValues& labels) {
  return std::get<HistogramData>(
      snapshot.families.at(family).series.at(labels));
}

// A snapshot's JSON with one family of one series.
std::string FamilyJson(const std::string& kind,
                       const std::string& labels,
                       const std::string& series) {
  return R"({"families":[{"name":"n","help":"","kind":")" + kind +
         R"(","merge":"sum","axis":"size","labels":[)" + labels +
         R"(],"series":[{"labels":[],)" + series + "}]}]}";
}

void ExpectLine(const std::string& page, const std::string& line) {
  CPPUNIT_ASSERT_MESSAGE(
      line + " in\n" + page,
      ("\n" + page).find("\n" + line + "\n") != std::string::npos);
}

// A registry with something of each kind; `seed` varies the values.
Snapshot Sample(std::uint64_t seed) {
  Registry registry;
  RandomSource random(seed);
  registry.Get(kRequests, {"lm", "evicted"}).Add(random.Below(100));
  registry.Get(kDepth).Set(random.Unit());
  registry.Get(kOffset).Set(static_cast<double>(seed));
  for (int value = 0; value < 1000; ++value) {
    registry.Get(kWait, {"s\"\n"}).Record(random.Exponential(0.1));
    registry.Get(kTokens).Record(random.Exponential(5000));
  }
  return registry.Read();
}

const testing::Story kRegistry(
    "a registry",
    {It("adds up what many threads record",
        [] {
          Registry registry;
          std::vector<std::jthread> threads;
          threads.reserve(20);
          for (int thread = 0; thread < 20; ++thread) {
            threads.emplace_back([&registry] {
              const Counter counter = registry.Get(kRequests, {"a", "b"});
              const Histogram histogram = registry.Get(kWait, {"a"});
              const Gauge gauge = registry.Get(kDepth);
              for (int count = 0; count < 500; ++count) {
                counter.Add(2);
                histogram.Record(0.5);
                gauge.Add(1.0);
                (void)(count % 100 == 0 ? registry.Read() : Snapshot{});
              }
            });
          }
          threads.clear();
          const Snapshot snapshot = registry.Read();
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{20'000},
                               CountOf(snapshot, "requests_total", {"a", "b"}));
          const HistogramData& wait = DataOf(snapshot, "wait_seconds", {"a"});
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{10'000}, wait.Count());
          CPPUNIT_ASSERT_EQUAL(5'000.0, wait.sum);
          CPPUNIT_ASSERT_EQUAL(10'000.0,
                               std::get<double>(*snapshot.Find("depth", {})));
        }),
     It("folds label values beyond the bound into other, and counts them",
        [] {
          Registry registry;
          for (const char* service : {"a", "b", "c", "d", "e", "a"}) {
            registry.Get(kRequests, {service, "x"}).Add();
          }
          const Snapshot snapshot = registry.Read();
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                               CountOf(snapshot, "requests_total", {"a", "x"}));
          CPPUNIT_ASSERT_EQUAL(
              std::uint64_t{2},
              CountOf(snapshot, "requests_total", {"other", "other"}));
          CPPUNIT_ASSERT_EQUAL(
              std::uint64_t{2},
              CountOf(snapshot, "acacialug_metrics_folded_total", {}));
        }),
     ForEach<double>(
         "drops and counts what no histogram takes:",
         {-1.0, std::numeric_limits<double>::quiet_NaN(),
          std::numeric_limits<double>::infinity()},
         [](const double& value) { return std::to_string(value); },
         [](const double& value) {
           Registry registry;
           registry.Get(kWait, {"a"}).Record(value);
           const Snapshot snapshot = registry.Read();
           CPPUNIT_ASSERT_EQUAL(
               std::uint64_t{0},
               DataOf(snapshot, "wait_seconds", {"a"}).Count());
           CPPUNIT_ASSERT_EQUAL(
               std::uint64_t{1},
               CountOf(snapshot, "acacialug_metrics_rejected_total", {}));
         }),
     It("takes records of a handle without a registry as nothing", [] {
       Counter().Add();
       Gauge().Set(1.0);
       Histogram().Record(1.0);
     })});

const testing::Story kHistogram(
    "a histogram",
    {It("counts values below and above its axis at the ends",
        [] {
          Registry registry;
          for (const double value : {0.0, 1e-6, 1e-5, 999.0, 1000.0, 1e9}) {
            registry.Get(kWait, {"a"}).Record(value);
          }
          const auto data = DataOf(registry.Read(), "wait_seconds", {"a"});
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, data.counts.front());
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, data.counts[1]);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, data.counts[160]);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, data.counts.back());
          CPPUNIT_ASSERT_DOUBLES_EQUAL(1e-5, *data.Quantile(0.0), 1e-12);
          CPPUNIT_ASSERT_DOUBLES_EQUAL(1e3, *data.Quantile(1.0), 1e-6);
        }),
     ForEach<double>(
         "estimates a quantile to a bucket's width:",
         {0.01, 0.5, 0.95, 0.999},
         [](const double& quantile) { return std::to_string(quantile); },
         [](const double& quantile) {
           Registry registry;
           RandomSource random(7);
           std::vector<double> values;
           for (int count = 0; count < 10'000; ++count) {
             values.push_back(random.Exponential(0.4));
             registry.Get(kWait, {"a"}).Record(values.back());
           }
           std::sort(values.begin(), values.end());
           const double exact = values[static_cast<std::size_t>(
               quantile * static_cast<double>(values.size()))];
           const double estimate =
               *DataOf(registry.Read(), "wait_seconds", {"a"})
                    .Quantile(quantile);
           CPPUNIT_ASSERT_DOUBLES_EQUAL(exact, estimate, 0.13 * exact);
         }),
     It("has no quantile without values", [] {
       CPPUNIT_ASSERT(
           !HistogramData{.counts = std::vector<std::uint64_t>(162)}.Quantile(
               0.5));
     })});

const testing::Story kSnapshot(
    "snapshots",
    {It("read back from JSON without loss",
        [] {
          const Snapshot snapshot = Sample(1);
          const Result<Snapshot> read = FromJson(ToJson(snapshot));
          CPPUNIT_ASSERT_MESSAGE(read.ok() ? "" : read.error().detail,
                                 read.ok());
          CPPUNIT_ASSERT(read.value() == snapshot);
        }),
     It("merge to the same counts in any order, and lose none",
        [] {
          Snapshot forth;
          Snapshot back;
          for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            CPPUNIT_ASSERT(forth.Merge(Sample(seed)).ok());
            CPPUNIT_ASSERT(back.Merge(Sample(6 - seed)).ok());
          }
          const auto& counts = DataOf(forth, "wait_seconds", {"s\"\n"}).counts;
          CPPUNIT_ASSERT(counts ==
                         DataOf(back, "wait_seconds", {"s\"\n"}).counts);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{5'000},
                               DataOf(forth, "prompt_tokens", {}).Count());
          CPPUNIT_ASSERT_EQUAL(5.0,
                               std::get<double>(*forth.Find("offset", {})));
        }),
     It("merge gauges by their rule",
        [] {
          Snapshot merged;
          for (const double value : {3.0, 1.0, 2.0}) {
            Registry registry;
            registry.Get(kDepth).Set(value);
            registry.Get(kOffset).Set(value);
            registry.Get(kOldest).Set(value);
            CPPUNIT_ASSERT(merged.Merge(registry.Read()).ok());
          }
          CPPUNIT_ASSERT_EQUAL(6.0,
                               std::get<double>(*merged.Find("depth", {})));
          CPPUNIT_ASSERT_EQUAL(3.0,
                               std::get<double>(*merged.Find("offset", {})));
          CPPUNIT_ASSERT_EQUAL(1.0,
                               std::get<double>(*merged.Find("oldest", {})));
        }),
     It("refuse to merge another definition, and stay as they were",
        [] {
          Snapshot merged = Sample(1);
          const Snapshot before = merged;
          Registry registry;
          registry.Get(CounterDefinition{.name = "depth", .help = "h"}).Add();
          registry.Get(kOffset).Set(9);
          const Status status = merged.Merge(registry.Read());
          CPPUNIT_ASSERT(!status.ok());
          CPPUNIT_ASSERT(status.error().result_code() ==
                         ResultCode::kProtocolVersion);
          CPPUNIT_ASSERT(merged == before);
        }),
     ForEach<std::string>(
         "do not read from",
         {"", "[]", "{}", R"({"families":[{}]})",
          FamilyJson("timer", "", R"("count":1)"),
          FamilyJson("counter", "", R"("count":-1)"),
          FamilyJson("counter", "", R"("gauge":1)"),
          FamilyJson("counter", R"("a")", R"("count":1)"),
          FamilyJson("gauge", "", R"("gauge":null)"),
          FamilyJson("histogram", "", R"("sum":1,"buckets":[[82,1]])"),
          FamilyJson("histogram", "", R"("sum":1,"buckets":[[1]])")},
         [](const std::string& text) { return text; },
         [](const std::string& text) {
           const Result<Snapshot> read = FromJson(text);
           CPPUNIT_ASSERT(!read.ok());
           CPPUNIT_ASSERT(read.error().result_code() ==
                          ResultCode::kMalformedJson);
         })});

const testing::Story kExposition(
    "the Prometheus text",
    {It("escapes help and label values",
        [] {
          Registry registry;
          registry.Get(kRequests, {"a\"b\\c\nd", "x"}).Add(3);
          registry.Get(kDepth).Set(0.1);
          const std::string page = PrometheusText(registry.Read());
          ExpectLine(page, R"(# HELP requests_total Requests\nby \\ service)");
          ExpectLine(page, "# TYPE requests_total counter");
          ExpectLine(page,
                     R"(requests_total{service="a\"b\\c\nd",cause="x"} 3)");
          ExpectLine(page, "depth 0.1");
        }),
     It("has cumulative buckets, the same edges whatever was recorded", [] {
       Registry registry;
       const Histogram histogram = registry.Get(kWait, {"a"});
       for (const double value : {1e-6, 0.05, 0.5, 0.5, 2e3}) {
         histogram.Record(value);
       }
       const std::string page = PrometheusText(registry.Read());
       ExpectLine(page, R"(wait_seconds_bucket{service="a",le="1e-05"} 1)");
       ExpectLine(page, R"(wait_seconds_bucket{service="a",le="0.1"} 2)");
       ExpectLine(page, R"(wait_seconds_bucket{service="a",le="1"} 4)");
       ExpectLine(page, R"(wait_seconds_bucket{service="a",le="1000"} 4)");
       ExpectLine(page, R"(wait_seconds_bucket{service="a",le="+Inf"} 5)");
       ExpectLine(page, R"(wait_seconds_sum{service="a"} 2001.050001)");
       ExpectLine(page, R"(wait_seconds_count{service="a"} 5)");
       std::size_t buckets = 0;
       for (std::size_t at = page.find("_bucket"); at != std::string::npos;
            at = page.find("_bucket", at + 1)) {
         ++buckets;
       }
       CPPUNIT_ASSERT_EQUAL(std::size_t{42}, buckets);
     })});

}  // namespace
}  // namespace acacialug::metrics
