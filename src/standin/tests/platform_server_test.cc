#include "standin/platform_server.h"

#include "framework/testing/story.h"
#include "standin/settings.h"
#include "standin/tests/server_support.h"

namespace acacialug::standin {
namespace {

using nlohmann::json;
using testing::ForEach;
using testing::It;
using testing::WaitUntil;

constexpr const char* kRecords = "/streams/config/records";

template <typename Server>
struct Platform {
  Server server;
  Caller caller;

  Platform() : server({.listen = kAnyPort}) {
    CPPUNIT_ASSERT(this->server.Start().ok());
  }
  AnswerPtr Call(const std::string& method,
                 const std::string& target,
                 const std::string& body = "") {
    return this->caller.Call(this->server.address(), method, target, body);
  }
  json Get(const std::string& target) {
    return this->caller.Get(this->server.address(), target);
  }
  void Control(const std::string& body) {
    this->caller.Control(this->server.address(), body);
  }
};
using Log = Platform<LogServer>;

struct AppendRow {
  std::string name;
  std::string control;
  int status;  // 0: cut
  std::uint64_t next;
};

const testing::Story kLogServer(
    "the log's stand-in",
    {ForEach<AppendRow>(
         "appends",
         {{"and tells the offset", "{}", 200, 2},
          {"nothing in an outage", R"({"refuse":true})", 503, 1},
          {"and loses the answer", R"({"lose_answers":1})", 0, 2},
          {"nothing when the request is lost", R"({"lose_requests":1})", 0, 1},
          {"and answers late", R"({"delay_ms":10})", 200, 2},
          {"nothing beyond its rate", R"({"appends_per_second":0.5})", 503, 1}},
         [](const AppendRow& row) { return row.name; },
         [](const AppendRow& row) {
           Log log;
           log.Control(row.control);
           CPPUNIT_ASSERT_EQUAL(row.status,
                                log.Call("POST", kRecords, "one")->status);
           log.Control(
               R"({"refuse":false,"lose_answers":0,"lose_requests":0})");
           CPPUNIT_ASSERT_EQUAL(json(row.next), log.Get(kRecords)["next"]);
         }),
     It("reads from an offset on, any bytes, up to a limit",
        [] {
          Log log;
          for (const std::string& payload :
               {std::string("a"), std::string("\0\xff", 2), std::string("c")}) {
            log.Call("POST", kRecords, payload);
          }
          const json read = log.Get(std::string(kRecords) + "?from=2&limit=1");
          CPPUNIT_ASSERT_EQUAL(
              json::parse(R"({"first_kept":1,"next":4,)"
                          R"("records":[{"offset":2,"payload":"AP8="}]})"),
              read);
          CPPUNIT_ASSERT_EQUAL(json(1), log.Get("/streams/x/records")["next"]);
        }),
     It("keeps the newest records only",
        [] {
          Log log;
          log.Control(R"({"retain_records":2})");
          for (const char* payload : {"a", "b", "c"}) {
            log.Call("POST", kRecords, payload);
          }
          const json read = log.Get(kRecords);
          CPPUNIT_ASSERT_EQUAL(json(2), read["first_kept"]);
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read["records"].size());
        }),
     It("holds a read until a record comes, or its time is up",
        [] {
          Log log;
          const AnswerPtr first =
              log.caller.Start(log.server.address(), "GET",
                               std::string(kRecords) + "?from=1&wait_ms=60000");
          log.Call("POST", "/streams/other/records", "x");
          CPPUNIT_ASSERT(!first->over());
          log.Call("POST", kRecords, "x");
          WaitUntil("record", [&] { return first->over(); });
          CPPUNIT_ASSERT_EQUAL(json(1),
                               Parse(first->data)["records"][0]["offset"]);
          CPPUNIT_ASSERT_EQUAL(
              json::array(),
              log.Get(std::string(kRecords) + "?from=2&wait_ms=20")["records"]);
        }),
     It("answers nothing in a stall, and all of it afterwards", [] {
       Log log;
       log.Control(R"({"stall":true})");
       const AnswerPtr append =
           log.caller.Start(log.server.address(), "POST", kRecords, "x");
       log.Control("{}");
       CPPUNIT_ASSERT(!append->over());
       log.Control(R"({"stall":false})");
       WaitUntil("answer", [&] { return append->status == 200; });
     })});

const testing::Story kOthers(
    "the platform's other stand-ins",
    {It("list hosts as the test sets them",
        [] {
          Platform<HostListServer> hosts;
          hosts.Call("PUT", "/hosts/h1", R"({"state":"live"})");
          hosts.Call("PUT", "/hosts/h2", R"({"state":"leaving"})");
          hosts.Call("PUT", "/hosts/h3", R"({"state":"live"})");
          hosts.Call("DELETE", "/hosts/h3");
          CPPUNIT_ASSERT_EQUAL(
              400, hosts.Call("PUT", "/hosts/h4", R"({"state":"x"})")->status);
          CPPUNIT_ASSERT_EQUAL(
              json::parse(R"({"hosts":[{"host":"h1","state":"live"},)"
                          R"({"host":"h2","state":"leaving"}]})"),
              hosts.Get("/hosts"));
          hosts.Control(R"({"refuse":true})");
          CPPUNIT_ASSERT_EQUAL(503, hosts.Call("GET", "/hosts")->status);
        }),
     It("give a few permits at once", [] {
       Platform<WeightStoreServer> weights;
       const auto ask = [&](const std::string& endpoint) {
         return weights
             .Call("POST", "/permits", json{{"endpoint", endpoint}}.dump())
             ->status;
       };
       CPPUNIT_ASSERT_EQUAL(200, ask("a"));
       CPPUNIT_ASSERT_EQUAL(200, ask("b"));
       CPPUNIT_ASSERT_EQUAL(200, ask("a"));  // renewed
       CPPUNIT_ASSERT_EQUAL(429, ask("c"));
       weights.Call("DELETE", "/permits/a");
       CPPUNIT_ASSERT_EQUAL(200, ask("c"));
       CPPUNIT_ASSERT_EQUAL(400, ask(""));
     })});

const testing::Story kSettings(
    "the stand-in's settings",
    {It("name what the process plays",
        [] {
          const LoadedSettings loaded = ReadStandinSettings("test", R"(
[[engine]]
id = "p"
role = "prefill"
listen = "127.0.0.1:1"
export_lifetime = "500ms"
link_bytes_per_second = "1GiB"
[[engine]]
id = "d"
role = "decode"
listen = "127.0.0.1:2"
slots = 7
one_way_delay = "1500us"
[[service]]
id = "s"
listen = "127.0.0.1:3"
times = "fixed"
[log]
listen = "127.0.0.1:4"
retain_age = "1h"
[hosts]
listen = "127.0.0.1:5"
live = ["a", "b"]
[weights]
listen = "127.0.0.1:6"
permits = 3
)");
          CPPUNIT_ASSERT(loaded.problems.empty());
          const StandinSettings& read = loaded.settings;
          CPPUNIT_ASSERT(read.engines.at(0).engine.role ==
                         EngineRole::kPrefill);
          CPPUNIT_ASSERT(read.engines.at(0).engine.export_lifetime == 500ms);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{1} << 30U,
                               read.engines.at(0).engine.link_bytes_per_second);
          CPPUNIT_ASSERT_EQUAL(7U, read.engines.at(1).engine.slots);
          CPPUNIT_ASSERT(read.engines.at(1).one_way_delay == 1500us);
          CPPUNIT_ASSERT(read.services.at(0).service.times ==
                         ServiceTimes::kFixed);
          CPPUNIT_ASSERT(read.log->log.retain_age == 1h);
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.hosts->hosts.hosts.size());
          CPPUNIT_ASSERT_EQUAL(3U, read.weights->store.permits);
        }),
     It("are refused with each problem's place", [] {
       const LoadedSettings loaded = ReadStandinSettings("test", R"(
[[engine]]
role = "prefil"
listen = "nowhere"
slots = 0
unheard = 1
)");
       CPPUNIT_ASSERT_EQUAL(std::size_t{5}, loaded.problems.size());
     })});

}  // namespace
}  // namespace acacialug::standin
