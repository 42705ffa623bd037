#include "control/level_collector.h"

#include <QTimer>
#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "control/commands.h"
#include "framework/http/http_server.h"
#include "framework/http/tests/socket_support.h"
#include "framework/metrics/exposition.h"
#include "framework/metrics/registry.h"
#include "framework/testing/story.h"
#include "service_levels/digest_codec.h"

namespace acacialug::control {
namespace {

using service_levels::LevelFold;
using service_levels::LevelSummary;
using service_levels::SeriesKey;
using service_levels::WallTime;
using testing::It;

const SeriesKey kDesk = {.service = "lm", .latency_class = "desk"};
const WallTime kNow = WallTime(std::chrono::hours(24 * 365 * 50));

// A process's operations port, with one page.
struct Node {
  Node(std::string page_path, std::string page_body)
      : path(std::move(page_path)),
        body(std::move(page_body)),
        server({.listen = {.ip = "127.0.0.1"},
                .make_handler =
                    [this](int) {
                      return [this](const http::Request& request,
                                    const http::ResponderPtr& responder) {
                        responder->SendWhole(
                            request.Path() == this->path
                                ? http::Response{.body = this->body}
                                : http::Response{.status = 404});
                      };
                    },
                .render_error =
                    [](int status, const Error&) {
                      return http::Response{.status = status};
                    }}) {
    CPPUNIT_ASSERT(this->server.Start().ok());
  }
  http::Address address() const {
    return {.ip = "127.0.0.1", .port = this->server.port()};
  }

  std::string path;
  std::string body;
  http::Server server;
};

// A port that is reserved and on which no process listens.
struct ClosedPort {
  ClosedPort() {
    CPPUNIT_ASSERT(this->socket.bind(QHostAddress::LocalHost, 0));
  }
  http::Address address() const {
    return {.ip = "127.0.0.1", .port = this->socket.localPort()};
  }

  QTcpSocket socket;
};

std::unique_ptr<Node> EntryNode(int number) {
  service_levels::LevelPage page{
      .entry = EntryId("e-" + std::to_string(number)),
      .incarnation = Incarnation(1)};
  page.levels.series.push_back({.key = kDesk});
  page.levels.series[0].rings.back().push_back(
      {.counts = {.total = 10, .good = 9}});
  return std::make_unique<Node>(service_levels::kLevelPagePath,
                                service_levels::EncodeLevelPage(page));
}

std::unique_ptr<Node> AgentNode() {
  metrics::Registry registry;
  registry
      .Get(metrics::CounterDefinition{.name = "acacialug_agent_refused_total",
                                      .help = "Refused"})
      .Add(4);
  return std::make_unique<Node>("/metrics.json",
                                metrics::ToJson(registry.Read()));
}

std::uint64_t Total(const LevelFold& fold) {
  const LevelSummary summary = fold.Finish(kNow);
  const auto found = summary.series.find(kDesk);
  return found == summary.series.end()
             ? 0
             : found->second.windows[service_levels::kBudgetWindow].total;
}

Collected Collect(const std::vector<std::unique_ptr<Node>>& nodes,
                  std::vector<http::Address> more = {}) {
  for (const std::unique_ptr<Node>& node : nodes) {
    more.push_back(node->address());
  }
  return CollectLevels({.nodes = more, .timeout = 2s});
}

// A stream with one record per digest window, whose start was removed by
// retention.
class ShortenedLog : public cluster::ILog {
 public:
  enum class Fault { kNone, kUnavailable, kNoAnswer, kUnavailableLater };

  ShortenedLog(Fault log_fault, std::uint64_t first)
      : fault(log_fault), first_kept(first) {}

  void Append(const std::string&,
              std::string,
              std::function<void(Result<LogOffset>)>) override {}
  void ReadFrom(const std::string&,
                LogOffset from,
                std::size_t limit,
                Duration,
                std::function<void(Result<Read>)> on_done) override {
    ++this->reads;
    if (this->fault == Fault::kNoAnswer) {
      return;
    }
    const bool unavailable =
        this->fault == Fault::kUnavailable ||
        (this->fault == Fault::kUnavailableLater && this->reads > 1);
    QTimer::singleShot(0, &this->context,
                       [this, on_done, from, limit, unavailable] {
                         if (unavailable) {
                           on_done(Error(ResultCode::kPlatformUnavailable));
                         } else {
                           on_done(this->Answer(from, limit));
                         }
                       });
  }

 private:
  Read Answer(LogOffset from, std::size_t limit) const {
    constexpr std::uint64_t kEnd = 300;
    Read read{.first_kept = LogOffset(this->first_kept),
              .next = LogOffset(kEnd)};
    for (std::uint64_t offset = std::max(from.value, this->first_kept);
         offset < kEnd && read.records.size() < limit; ++offset) {
      read.records.push_back(
          {.offset = LogOffset(offset),
           .payload = service_levels::EncodeDigest(
               {.entry = EntryId("gone"),
                .windows = {{.sequence = service_levels::WindowSequence(offset),
                             .start = kNow,
                             .length = 5min,
                             .series = {{kDesk, {.total = 1, .good = 1}}}}}})});
    }
    return read;
  }

  Fault fault;
  std::uint64_t first_kept;
  int reads = 0;
  QObject context;
};

struct LogRow {
  std::string name;
  ShortenedLog::Fault fault;
  std::uint64_t first_kept;
  bool whole;
  std::uint64_t total;
};

// A case of `report burn` with one node that answers and one other node.
struct CommandRow {
  std::string name;
  bool has_entry;
  std::string more;  // --nodes beside it; "closed": no process listens
  std::string log;   // the same
  CommandExit exit;
};

struct CommandRun {
  int exit = 0;
  std::string printed;
  std::string errors;
};

CommandRun ReportBurn(const CommandRow& row) {
  const std::unique_ptr<Node> entry =
      row.has_entry ? EntryNode(1) : AgentNode();
  const ClosedPort closed;
  const auto address = [&](const std::string& text) {
    return text == "closed" ? http::ToString(closed.address()) : text;
  };
  CommandRun run;
  std::vector<std::string> nodes = {http::ToString(entry->address())};
  if (!row.more.empty()) {
    nodes.push_back(address(row.more));
  }
  run.exit = RunCommand(
      {"report", "burn"},
      {.log = address(row.log),
       .nodes = nodes,
       .json = true,
       .timeout = 2s,
       .print = [&](const std::string& text) { run.printed += text; },
       .print_error = [&](const std::string& text) { run.errors += text; }});
  return run;
}

const testing::Story kCommand(
    "report burn",
    {testing::ForEach<CommandRow>(
        "exits by its own code",
        {{"when all answer", true, "", "", CommandExit::kOk},
         {"when a process cannot be reached", true, "closed", "",
          CommandExit::kPartial},
         {"when the log cannot be reached", true, "", "closed",
          CommandExit::kPartial},
         {"when no entry answers", false, "", "", CommandExit::kFailed},
         {"for an address that is none", true, "entry-1", "",
          CommandExit::kUsage},
         {"for a log that is no address", true, "", "log",
          CommandExit::kUsage}},
        [](const CommandRow& row) { return row.name; },
        [](const CommandRow& row) {
          const CommandRun run = ReportBurn(row);
          CPPUNIT_ASSERT_EQUAL(static_cast<int>(row.exit), run.exit);
          const bool shown =
              row.exit == CommandExit::kOk || row.exit == CommandExit::kPartial;
          CPPUNIT_ASSERT_EQUAL(
              shown, run.printed.find("\"desk\"") != std::string::npos);
          CPPUNIT_ASSERT_EQUAL(row.exit == CommandExit::kOk,
                               run.errors.empty());
        })});

const testing::Story kCollector(
    "the collector of a burn report",
    {It("adds up twelve entries, and detects agents by their missing page",
        [] {
          std::vector<std::unique_ptr<Node>> nodes;
          nodes.reserve(13);
          for (int number = 0; number < 12; ++number) {
            nodes.push_back(EntryNode(number));
          }
          nodes.push_back(AgentNode());
          const Collected collected = Collect(nodes);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{120}, Total(collected.fold));
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, collected.sources.agents);
          CPPUNIT_ASSERT(collected.sources.agent_counters.at("refused") == 4);
          CPPUNIT_ASSERT(!collected.sources.partial());
        }),
     It("names a process that cannot be reached, and counts the others",
        [] {
          std::vector<std::unique_ptr<Node>> nodes;
          nodes.push_back(EntryNode(1));
          const ClosedPort closed;
          const Collected collected = Collect(nodes, {closed.address()});
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, Total(collected.fold));
          CPPUNIT_ASSERT(
              collected.sources.unreachable ==
              std::vector<std::string>{http::ToString(closed.address())});
          CPPUNIT_ASSERT(collected.sources.partial());
        }),
     It("names a process whose answer is no page of service levels",
        [] {
          std::vector<std::unique_ptr<Node>> nodes;
          nodes.push_back(EntryNode(1));
          nodes.push_back(
              std::make_unique<Node>(service_levels::kLevelPagePath, "<html>"));
          const Collected collected = Collect(nodes);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, Total(collected.fold));
          CPPUNIT_ASSERT(collected.sources.unreadable.size() == 1);
          CPPUNIT_ASSERT(collected.sources.partial());
        }),
     testing::ForEach<LogRow>(
         "reads the digests of a log",
         {{"to its end, in parts", ShortenedLog::Fault::kNone, 0, true, 300},
          {"whose start was removed by retention", ShortenedLog::Fault::kNone,
           250, true, 50},
          {"whose records were all removed", ShortenedLog::Fault::kNone, 300,
           true, 0},
          {"that is unavailable: not at all", ShortenedLog::Fault::kUnavailable,
           0, false, 0},
          {"that never answers: not at all", ShortenedLog::Fault::kNoAnswer, 0,
           false, 0},
          {"that becomes unavailable meanwhile: in part",
           ShortenedLog::Fault::kUnavailableLater, 0, false, 64}},
         [](const LogRow& row) { return row.name; },
         [](const LogRow& row) {
           ShortenedLog log(row.fault, row.first_kept);
           LevelFold fold;
           const Duration timeout =
               row.fault == ShortenedLog::Fault::kNoAnswer ? 1ms : 20s;
           CPPUNIT_ASSERT_EQUAL(row.whole, ReadDigests(log, timeout, fold));
           CPPUNIT_ASSERT_EQUAL(row.total, Total(fold));
         })});

}  // namespace
}  // namespace acacialug::control
