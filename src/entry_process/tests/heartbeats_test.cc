#include <string>
#include <vector>

#include "entry_process/metric_definitions.h"
#include "entry_process/tests/process_fixture.h"
#include "framework/testing/story.h"

namespace acacialug::entry_process {
namespace {

using testing::It;
using testing::WaitUntil;

// An entry of two shards whose decode agent takes heartbeats, and answers them
// if the test requests it.
struct HeartbeatFixture {
  std::vector<protocol::Heartbeat> heartbeats;
  Fixture fixture;

  explicit HeartbeatFixture(bool answered)
      : fixture(
            [this, answered](FakeAgent::Options& options) {
              options.incarnation = Incarnation(78);
              options.answers =
                  [this, answered](const protocol::Heartbeat& heartbeat) {
                    this->heartbeats.push_back(heartbeat);
                    return answered;
                  };
            },
            [](EntryProcessOptions& options) {
              options.shards = 2;
              options.core.incarnation = Incarnation(5);
              options.core.renew_interval = 200ms;
            }) {}

  // A line of the metrics page; empty if there is none.
  std::string Metric(const std::string& name) {
    const auto page =
        this->fixture.Send({.method = "GET", .target = "/metrics"},
                           this->fixture.process->operations_port());
    WaitUntil("a page", [&] { return page->Done(); });
    const std::size_t at = page->body.find("\n" + name);
    return at == std::string::npos
               ? ""
               : page->body.substr(
                     at + 1 + name.size(),
                     page->body.find('\n', at + 1) - at - 1 - name.size());
  }
};

const testing::Story kHeartbeats(
    "the heartbeats of an entry's process",
    {It("renew the sessions of both shards with one datagram, and count bytes",
        [] {
          HeartbeatFixture one(true);
          WaitUntil("a heartbeat of two sessions", [&] {
            return !one.heartbeats.empty() &&
                   one.heartbeats.back().sessions.size() == 2;
          });
          const protocol::Heartbeat heartbeat = one.heartbeats.back();
          CPPUNIT_ASSERT_EQUAL(std::string("entry-1"), heartbeat.entry.text);
          CPPUNIT_ASSERT(heartbeat.incarnation == Incarnation(5));
          CPPUNIT_ASSERT(heartbeat.manifest == LogOffset(1));
          CPPUNIT_ASSERT(heartbeat.interval >= 200ms);
          const std::string answered =
              "acacialug_heartbeats_total{event=\"answered\"} ";
          WaitUntil("answers", [&] { return one.Metric(answered) >= "2"; });
          CPPUNIT_ASSERT(
              !one.Metric("acacialug_heartbeat_bytes_total{direction=\"sent\"}")
                   .empty());
        }),
     // Guards against an entry that loses all its sessions every few seconds: a
     // firewall passes its connections and drops its datagrams, and the lease
     // depends on heartbeats alone.
     It("are replaced by frames when no agent answers",
        [] {
          HeartbeatFixture one(false);
          WaitUntil("renewals by frames", [&] {
            return one.heartbeats.size() >= 4 &&
                   one.fixture.decode->CountReceived<protocol::Renew>() >= 6;
          });
        }),
     It("report a new manifest", [] {
       HeartbeatFixture one(true);
       auto next =
           std::make_shared<manifest::Manifest>(*one.fixture.MakeManifest());
       next->offset = LogOffset(2);
       one.fixture.process->SetManifest(next);
       WaitUntil("the news", [&] {
         return !one.heartbeats.empty() &&
                one.heartbeats.back().manifest == LogOffset(2);
       });
     })});

}  // namespace
}  // namespace acacialug::entry_process
