#include "configuration_client/configuration_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <QObject>
#include <QTimer>

#include "configuration/tests/manifest_texts.h"
#include "configuration_client/peer_manifests.h"
#include "framework/http/http_server.h"
#include "framework/http/tests/socket_support.h"
#include "framework/testing/story.h"

namespace acacialug::configuration_client {
namespace {

using configuration::testing_texts::ManifestText;
using configuration::testing_texts::Publish;
using testing::It;
using testing::WaitUntil;

// A log in memory that can fail. Answers come from the event loop.
struct MemoryLog : cluster::ILog {
  struct State {
    std::vector<std::string> records;
    bool out = false;
    int reads = 0;
  };
  std::shared_ptr<State> state;
  QObject context;

  explicit MemoryLog(std::shared_ptr<State> log_state)
      : state(std::move(log_state)) {}
  void Append(const std::string&,
              std::string,
              std::function<void(Result<LogOffset>)>) override {}
  void ReadFrom(const std::string& stream,
                LogOffset from,
                std::size_t limit,
                Duration,
                std::function<void(Result<Read>)> on_done) override {
    CPPUNIT_ASSERT(stream == kConfigurationStream);
    ++this->state->reads;
    QTimer::singleShot(1, &this->context, [this, from, limit, on_done] {
      on_done(this->Answer(from, limit));
    });
  }
  Result<Read> Answer(LogOffset from, std::size_t limit) const {
    if (this->state->out) {
      return Error(ResultCode::kPlatformUnavailable);
    }
    const auto& records = this->state->records;
    Read read{.first_kept = LogOffset(1),
              .next = LogOffset(records.size() + 1)};
    for (std::uint64_t offset = from.value;
         offset <= records.size() && read.records.size() < limit; ++offset) {
      read.records.push_back({LogOffset(offset), records[offset - 1]});
    }
    return read;
  }
};

struct Fixture {
  std::shared_ptr<MemoryLog::State> log = std::make_shared<MemoryLog::State>();
  RandomSource random{1};
  std::vector<std::string> activated;
  std::unique_ptr<ConfigurationClient> client;

  explicit Fixture(bool follow, std::vector<http::Address> peers = {}) {
    this->client = std::make_unique<ConfigurationClient>(
        ClientOptions{
            .follower = {.long_poll = 0s,
                         .poll_interval = 1ms,
                         .initial_retry_delay = 1ms,
                         .max_retry_delay = 2ms,
                         .follow_stream = follow},
            .log = std::make_unique<MemoryLog>(this->log),
            .on_active =
                [this](const configuration::AcceptedManifest& accepted) {
                  this->activated.push_back(accepted.manifest->version);
                },
            .peers = std::move(peers)},
        this->random);
    this->client->Start();
  }
  void Await(const std::vector<std::string>& versions) {
    WaitUntil("a manifest", [&] { return this->activated == versions; });
  }
};

const testing::Story kClient(
    "a client of the configuration",
    {It("activates each manifest of a long stream, in order",
        [] {
          Fixture fixture(true);
          fixture.log->records = {Publish("v1", 0)};
          fixture.Await({"v1"});
          for (int conflict = 0; conflict < 40; ++conflict) {
            fixture.log->records.push_back(Publish("loser", 0));
          }
          fixture.log->records.push_back(Publish("v2", 1));
          fixture.Await({"v1", "v2"});
          CPPUNIT_ASSERT(fixture.client->ready());
        }),
     It("does not poll when peers report offsets, and reads on a report",
        [] {
          Fixture fixture(false);
          fixture.log->records = {Publish("v1", 0)};
          fixture.Await({"v1"});
          const int reads = fixture.log->reads;
          fixture.log->records.push_back(Publish("v2", 1));
          fixture.client->OnPeerOffset(LogOffset(1));
          CPPUNIT_ASSERT_EQUAL(reads, fixture.log->reads);
          fixture.client->OnPeerOffset(LogOffset(2));
          // A ready process stays ready: an offset that never arrives would
          // stop it otherwise.
          CPPUNIT_ASSERT(fixture.client->ready());
          fixture.Await({"v1", "v2"});
          CPPUNIT_ASSERT(fixture.log->reads > reads);
        }),
     It("is not ready at its start until it has the offset of its peers",
        [] {
          Fixture fixture(false);
          fixture.log->records = {Publish("v1", 0)};
          fixture.client->OnPeerOffset(LogOffset(2));
          fixture.Await({"v1"});
          CPPUNIT_ASSERT(!fixture.client->ready());
          fixture.log->records.push_back(Publish("v2", 1));
          fixture.Await({"v1", "v2"});
          CPPUNIT_ASSERT(fixture.client->ready());
        }),
     It("is not ready in an outage of the log, and uses a peer's manifest",
        [] {
          // Symptom: a process replaced during an outage never serves.
          // Sequence: the log is out, a peer reports an offset. Cause: only the
          // log is queried.
          int asked = 0;
          http::Server peer(
              {.listen = {.ip = "127.0.0.1"}, .make_handler = [&asked](int) {
                 return [&asked](const http::Request&,
                                 const http::ResponderPtr& responder) {
                   ++asked;
                   responder->SendWhole({.body = RenderPeerManifest(
                                             {.offset = LogOffset(5),
                                              .text = ManifestText("v5", 4)})});
                 };
               }});
          CPPUNIT_ASSERT(peer.Start().ok());
          Fixture fixture(false, {{"127.0.0.1", peer.port()}});
          fixture.log->out = true;
          fixture.client->OnPeerOffset(LogOffset(5));
          CPPUNIT_ASSERT(!fixture.client->ready());
          fixture.Await({"v5"});
          WaitUntil("ready", [&] { return fixture.client->ready(); });
          CPPUNIT_ASSERT(asked > 0);
          CPPUNIT_ASSERT(
              !fixture.client
                   ->OnPeerManifest(LogOffset(4), ManifestText("v4", 3))
                   .ok());
        }),
     // Symptom: in a log outage of 3 s, agents received a change after 7 s.
     // Sequence: more agents requested it than the entries' operations ports
     // have connections. Cause: the first agents kept idle connections open.
     It("keeps no idle connection to a peer", [] {
       http::Server peer({.listen = {.ip = "127.0.0.1"},
                          .limits = {.max_connections = 1},
                          .make_handler = [](int) {
                            return [](const http::Request&,
                                      const http::ResponderPtr& responder) {
                              responder->SendWhole(
                                  {.body = RenderPeerManifest(
                                       {.offset = LogOffset(5),
                                        .text = ManifestText("v5", 4)})});
                            };
                          }});
       CPPUNIT_ASSERT(peer.Start().ok());
       Fixture first(false, {{"127.0.0.1", peer.port()}});
       first.log->out = true;
       first.Await({"v5"});
       Fixture second(false, {{"127.0.0.1", peer.port()}});
       second.log->out = true;
       second.Await({"v5"});
     })});

}  // namespace
}  // namespace acacialug::configuration_client
