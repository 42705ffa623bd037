#include <cppunit/extensions/HelperMacros.h>

#include <QTimer>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

#include "control/commands.h"
#include "control/internal/command_table.h"
#include "framework/http/http_server.h"
#include "framework/testing/story.h"
#include "operations/requests_page.h"

namespace acacialug::control {
namespace {

using nlohmann::json;
using testing::ForEach;
using testing::It;
using testing::Section;

const RequestId kRequest{.high = 0x12, .low = 7};
const RequestId kOrphan{.high = 0x13, .low = 7};

// The operations port of a process with prepared answers. A path without an
// answer is never answered, and a dripping path gets single bytes without end.
struct Node {
  std::map<std::string, http::Response> pages;
  std::set<std::string> dripping;
  std::vector<http::Request> requests;
  std::vector<http::ResponderPtr> unanswered;
  QTimer drip;
  std::unique_ptr<http::Server> server;

  Node() {
    this->server = std::make_unique<http::Server>(http::ServerOptions{
        .listen = {.ip = "127.0.0.1"}, .make_handler = [this](int) {
          return [this](http::Request request, http::ResponderPtr responder) {
            const std::string path(request.Path());
            const auto page = this->pages.find(path);
            this->requests.push_back(std::move(request));
            if (this->dripping.contains(path)) {
              this->Drip(*responder);
            }
            if (page == this->pages.end()) {
              this->unanswered.push_back(std::move(responder));
            } else {
              responder->SendWhole(page->second);
            }
          };
        }});
    const Status started = this->server->Start();
    CPPUNIT_ASSERT(started.ok());
  }
  // Objects on the server's thread are destroyed before the server.
  ~Node() { this->unanswered.clear(); }

  void Drip(http::Responder& responder) {
    responder.BeginStream(200, {});
    QObject::connect(&this->drip, &QTimer::timeout, [this] {
      for (const http::ResponderPtr& waiting : this->unanswered) {
        waiting->SendData(" ");
      }
    });
    this->drip.start(std::chrono::milliseconds(10));
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->server->port());
  }
};

constexpr char kLoad[] = R"("load": {"running": 3, "limit": 8, "queued": 1,
    "free_kv_tokens": 500, )";

http::Response EntryStatus(bool connected) {
  return {.body = std::string(R"({"entry": "entry-1", "ready": true,
      "draining": false, "manifest": {"offset": 7, "version": "v"},
      "shards": [{"endpoints": {"d-1": {"connected": )") +
                  (connected ? "true" : "false") + R"(, "incarnation": "1", )" +
                  kLoad + R"("work_ahead_ms": 20}}}}]})"};
}

http::Response AgentStatus() {
  return {.body = std::string(R"({"endpoint": "d-1", "role": "decode",
      "ready": true, "draining": true, "manifest": {"offset": 7,
      "version": "v"}, "held_attempts": ["x"], )") +
                  kLoad + R"("work_ahead_seconds": 0.02}})"};
}

http::Response EntryPage() {
  return {.body = operations::RenderRequestsPage(operations::EntryRequests{
              .entry = EntryId("entry-1"),
              .counts = {.kept = 1, .alive = 1},
              .requests = {{.subject = {.request = kRequest,
                                        .service = "lm",
                                        .latency_class = "interactive"},
                            .age = 2s,
                            .steps = {{.kind = trace::StepKind::kArrived},
                                      {.kind = trace::StepKind::kRefused,
                                       .phase = protocol::Phase::kReserve,
                                       .code = ResultCode::kNoDecodeMemory,
                                       .attempt = AttemptNumber(1),
                                       .at = 3ms,
                                       .endpoint = EndpointId("d-0")},
                                      {.kind = trace::StepKind::kReserveSent,
                                       .attempt = AttemptNumber(2),
                                       .at = 4ms,
                                       .amount = 4096,
                                       .endpoint = EndpointId("d-1")}}}}})};
}

http::Response AgentPage(const std::vector<RequestId>& requests) {
  operations::AgentRequests page{.endpoint = EndpointId("d-1")};
  for (const RequestId& request : requests) {
    page.attempts.push_back(
        {.attempt = {.request = request, .attempt = AttemptNumber(2)},
         .kind = agent::HeldKind::kReservation,
         .age = 1s});
  }
  return {.body = operations::RenderRequestsPage(page)};
}

const std::string kExplainPath = "/requests/" + ToString(kRequest);

// An entry and the agent of d-1, which holds an attempt of a request that the
// entry does not know.
struct Bench {
  Node entry;
  Node agent;
  std::string printed;
  std::string errors;
  CommandOptions options;

  Bench() {
    this->entry.pages = {{"/status", EntryStatus(true)},
                         {"/requests", EntryPage()},
                         {kExplainPath, EntryPage()}};
    this->agent.pages = {{"/status", AgentStatus()},
                         {"/requests", AgentPage({kRequest, kOrphan})},
                         {kExplainPath, AgentPage({kRequest})}};
    this->options.nodes = {this->entry.Address(), this->agent.Address()};
    this->options.print = [this](const auto& text) { this->printed += text; };
    this->options.print_error = [this](const auto& text) {
      this->errors += text;
    };
  }

  int Run(const std::vector<std::string>& words) {
    return RunCommand(words, this->options);
  }
  bool Printed(const std::string& text) const {
    return this->printed.find(text) != std::string::npos;
  }
  bool ErrorsContain(const std::string& text) const {
    return this->errors.find(text) != std::string::npos;
  }
};

int Code(CommandExit exit) {
  return static_cast<int>(exit);
}

const testing::Story kRequests(
    "acacialugctl",
    {It("lists requests with what they hold, also those unknown to all entries",
        [] {
          Bench bench;
          CPPUNIT_ASSERT_EQUAL_MESSAGE(bench.errors, 0,
                                       bench.Run({"requests"}));
          for (const char* text :
               {"REQUEST", "reserve_sent d-1", "d-1 reservation", "2.000 s"}) {
            CPPUNIT_ASSERT_MESSAGE(bench.printed, bench.Printed(text));
          }
          CPPUNIT_ASSERT(bench.Printed(ToString(kOrphan)));
        }),
     It("gives the same as JSON, with what the entries dropped",
        [] {
          Bench bench;
          bench.options.json = true;
          CPPUNIT_ASSERT_EQUAL(0, bench.Run({"requests"}));
          const json page = json::parse(bench.printed);
          CPPUNIT_ASSERT(page["requests"].size() == 2);
          CPPUNIT_ASSERT(page["requests"][0]["entry"] == "entry-1");
          CPPUNIT_ASSERT(page["requests"][0]["held"][0]["holds"] ==
                         "reservation");
          CPPUNIT_ASSERT(!page["requests"][1].contains("entry"));
          CPPUNIT_ASSERT(page["entries"][0]["traces"]["dropped"] == 0);
        }),
     It("explains one request: path, attempts, refusals, what it holds now",
        [] {
          Bench bench;
          CPPUNIT_ASSERT_EQUAL_MESSAGE(
              bench.errors, 0, bench.Run({"explain", ToString(kRequest)}));
          for (const char* text :
               {"alive for 2.000 s", "attempts 2, reservations asked for 1",
                "refusals 1", "reserve: 2006 no_decode_memory",
                "kv_tokens 4096", "HELD NOW AT"}) {
            CPPUNIT_ASSERT_MESSAGE(bench.printed, bench.Printed(text));
          }
          bench.printed.clear();
          bench.options.json = true;
          bench.Run({"explain", ToString(kRequest)});
          CPPUNIT_ASSERT(json::parse(bench.printed)["steps"].size() == 3);
        }),
     It("shows endpoints as agents and entries see them", [] {
       Bench bench;
       CPPUNIT_ASSERT_EQUAL(0, bench.Run({"endpoints"}));
       for (const char* text :
            {"d-1", "decode", "draining", "3/8", "500", "20.0 ms", "1/1"}) {
         CPPUNIT_ASSERT_MESSAGE(bench.printed, bench.Printed(text));
       }
       bench.options.nodes.pop_back();  // without the agent
       bench.entry.pages["/status"] = EntryStatus(false);
       bench.printed.clear();
       CPPUNIT_ASSERT_EQUAL(0, bench.Run({"endpoints"}));
       CPPUNIT_ASSERT(bench.Printed("not connected"));
     })});

const testing::Story kDrain(
    "acacialugctl drain",
    {It("sends the drain request only to the named process, with its name",
        [] {
          Bench bench;
          bench.agent.pages["/drain"] = {.status = 202, .body = "{}"};
          CPPUNIT_ASSERT_EQUAL_MESSAGE(bench.errors, 0,
                                       bench.Run({"drain", "d-1"}));
          CPPUNIT_ASSERT(bench.agent.requests.back().method == "POST");
          CPPUNIT_ASSERT(json::parse(bench.agent.requests.back().body) ==
                         json({{"name", "d-1"}}));
          CPPUNIT_ASSERT(bench.entry.requests.size() == 1);
          CPPUNIT_ASSERT(bench.Printed("d-1 drains"));
        }),
     It("drains no process when one of the names is unknown",
        [] {
          Bench bench;
          CPPUNIT_ASSERT_EQUAL(Code(CommandExit::kNotFound),
                               bench.Run({"drain", "d-1", "d-2"}));
          CPPUNIT_ASSERT(bench.ErrorsContain("1013 invalid_parameter: d-2"));
          CPPUNIT_ASSERT(bench.agent.requests.size() == 1);
        }),
     It("fails when the name may be that of an unresponsive process",
        [] {
          Bench bench;
          bench.agent.server = nullptr;
          CPPUNIT_ASSERT_EQUAL(Code(CommandExit::kFailed),
                               bench.Run({"drain", "d-1"}));
        }),
     It("shows by number and exit code that the settings do not allow it", [] {
       Bench bench;
       bench.agent.pages["/drain"] = {.status = 403,
                                      .body = "1015 not_allowed: x\n"};
       bench.entry.pages["/drain"] = {.status = 403,
                                      .body = R"({"error": {"number": 1015}})"};
       for (const char* name : {"d-1", "entry-1"}) {
         CPPUNIT_ASSERT_EQUAL(Code(CommandExit::kRefused),
                              bench.Run({"drain", name}));
       }
       CPPUNIT_ASSERT(bench.ErrorsContain("1015 not_allowed"));
     })});

struct FaultRow {
  std::string name;
  std::function<void(Bench&, const std::string& path)> bring;
  std::string expected_error;
};

void Answer(Bench& bench, const std::string& path, http::Response response) {
  bench.entry.pages[path] = std::move(response);
}

const std::vector<FaultRow> kFaults = {
    {"refuses the connection",
     [](Bench& bench, const std::string&) { bench.entry.server = nullptr; },
     "5007 node_unreachable"},
    {"does not answer",
     [](Bench& bench, const std::string& path) {
       bench.entry.pages.erase(path);
       bench.options.timeout = 100ms;
     },
     "5007 node_unreachable: no answer in time"},
    // Guards against a pipeline step that hangs: a process sends single bytes,
    // and the timeout restarts with each of them.
    {"never finishes its answer",
     [](Bench& bench, const std::string& path) {
       bench.entry.pages.erase(path);
       bench.entry.dripping.insert(path);
       bench.options.timeout = 100ms;
     },
     "5007 node_unreachable: no answer in time"},
    {"answers with invalid JSON",
     [](Bench& bench, const std::string& path) {
       Answer(bench, path, {.body = "<html>"});
     },
     "5008 node_bad_answer"},
    {"answers with JSON of another structure",
     [](Bench& bench, const std::string& path) {
       Answer(bench, path, {.body = R"({"entry": 1, "ready": "yes"})"});
     },
     "5008 node_bad_answer"},
    {"answers too much",
     [](Bench& bench, const std::string& path) {
       Answer(bench, path, {.body = std::string(100'000, ' ')});
       bench.options.max_answer_bytes = 50'000;
     },
     "5008 node_bad_answer: more than 50000 bytes"},
    {"answers an error without a number",
     [](Bench& bench, const std::string& path) {
       Answer(bench, path, {.status = 500, .body = "oops"});
     },
     "5008 node_bad_answer: status 500"},
    {"does not know the page",
     [](Bench& bench, const std::string& path) {
       Answer(bench, path,
              {.status = 404, .body = R"({"error": {"number": 1005}})"});
     },
     "1005 unknown_route"},
    {"sends on to another address",
     [](Bench& bench, const std::string& path) {
       Answer(bench, path,
              {.status = 302,
               .headers = {
                   {"Location", "http://" + bench.agent.Address() + path}}});
     },
     "5008 node_bad_answer: status 302"}};

Section Faults(const std::string& command,
               const std::string& path,
               const std::string& still_shown) {
  return ForEach<FaultRow>(
      command +
          " shows the error number and the rest, and exits 1 when a process",
      kFaults, [](const FaultRow& row) { return row.name; },
      [=](const FaultRow& row) {
        Bench bench;
        row.bring(bench, path);
        CPPUNIT_ASSERT_EQUAL(Code(CommandExit::kFailed), bench.Run({command}));
        CPPUNIT_ASSERT_MESSAGE(bench.errors,
                               bench.ErrorsContain(row.expected_error));
        CPPUNIT_ASSERT_MESSAGE(bench.printed, bench.Printed(still_shown));
      });
}

const testing::Story kNodeFaults(
    "acacialugctl, of some processes of which one does not answer as it "
    "should,",
    {Faults("status", "/status", "agent  d-1"),
     Faults("endpoints", "/status", "d-1"),
     Faults("requests", "/requests", ToString(kOrphan))});

struct ExplainRow {
  std::string name;
  std::function<void(Bench&)> bring;
  std::string argument;
  CommandExit exit;
  std::string expected_error;
};

const http::Response kUnknownAtEntry{.status = 404,
                                     .body = R"({"error": {"number": 1014}})"};
const http::Response kUnknownAtAgent{.status = 404,
                                     .body = "1014 unknown_request: x\n"};

const testing::Story kExplainFaults(
    "acacialugctl explain",
    {ForEach<ExplainRow>(
        "exits by number and code when",
        {{"the id is malformed", [](Bench&) {}, "12", CommandExit::kUsage,
          "1013 invalid_parameter"},
         {"all processes answer and none knows the request",
          [](Bench& bench) {
            bench.entry.pages[kExplainPath] = kUnknownAtEntry;
            bench.agent.pages[kExplainPath] = kUnknownAtAgent;
          },
          ToString(kRequest), CommandExit::kNotFound, "1014 unknown_request"},
         // Guards against a running request that is reported as unknown to all
         // processes, so that the operator assumes it is lost: its entry does
         // not answer, and no other process knows the request.
         {"the processes that answer do not know it, and one did not answer",
          [](Bench& bench) {
            bench.entry.server = nullptr;
            bench.agent.pages[kExplainPath] = kUnknownAtAgent;
          },
          ToString(kRequest), CommandExit::kFailed, "5007 node_unreachable"},
         {"it is known, though one did not answer",
          [](Bench& bench) { bench.agent.server = nullptr; },
          ToString(kRequest), CommandExit::kOk, "5007 node_unreachable"}},
        [](const ExplainRow& row) { return row.name; },
        [](const ExplainRow& row) {
          Bench bench;
          row.bring(bench);
          CPPUNIT_ASSERT_EQUAL(Code(row.exit),
                               bench.Run({"explain", row.argument}));
          CPPUNIT_ASSERT_MESSAGE(bench.errors,
                                 bench.ErrorsContain(row.expected_error));
        })});

const testing::Story kWait(
    "manifest wait",
    {It("ends when the manifest is active in all processes",
        [] {
          Bench bench;
          CPPUNIT_ASSERT_EQUAL(Code(CommandExit::kOk),
                               bench.Run({"manifest", "wait", "7"}));
        }),
     // Guards against a wait for one process that occupies a core and makes all
     // other processes answer thousands of requests a second: without a pause
     // between polls, and with queries to processes that have the manifest.
     It("queries only processes that are behind, and names them at the timeout",
        [] {
          Bench bench;
          bench.agent.pages["/status"] = {.body =
                                              R"({"manifest": {"offset": 6}})"};
          bench.options.timeout = 500ms;
          CPPUNIT_ASSERT_EQUAL(Code(CommandExit::kTimeout),
                               bench.Run({"manifest", "wait", "7"}));
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.entry.requests.size());
          CPPUNIT_ASSERT(bench.agent.requests.size() <= 6);
          CPPUNIT_ASSERT(bench.ErrorsContain(bench.agent.Address()));
        })});

const testing::Story kUsage(
    "the commands",
    {It("refuse a command line that matches none of them",
        [] {
          Bench bench;
          for (const std::vector<std::string>& words :
               std::vector<std::vector<std::string>>{{},
                                                     {"beer"},
                                                     {"status", "x"},
                                                     {"requests", "x"},
                                                     {"endpoints", "x"},
                                                     {"explain"},
                                                     {"drain"},
                                                     {"report"},
                                                     {"completion", "dash"}}) {
            CPPUNIT_ASSERT_EQUAL(Code(CommandExit::kUsage), bench.Run(words));
          }
        }),
     It("are in the help within 80 columns, and in the completion", [] {
       const std::string help = CommandsHelp();
       const std::string script = BashCompletion({{"log", true}});
       for (const CommandRow& row : CommandTable()) {
         CPPUNIT_ASSERT_MESSAGE(row.words,
                                help.find(row.words) != std::string::npos);
         const std::string last = row.words.substr(row.words.rfind(' ') + 1);
         CPPUNIT_ASSERT_MESSAGE(row.words,
                                script.find(last) != std::string::npos);
       }
       constexpr std::size_t kMaxColumns = 80 - 7;  // the page indents by 7
       std::istringstream lines(help);
       for (std::string line; std::getline(lines, line);) {
         CPPUNIT_ASSERT_MESSAGE(line, line.size() <= kMaxColumns);
       }
     })});

}  // namespace
}  // namespace acacialug::control
