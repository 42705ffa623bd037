#include "agent_process/agent_process.h"

#include <cppunit/extensions/HelperMacros.h>

#include "framework/http/http_client.h"
#include "framework/http/tests/socket_support.h"
#include "framework/net/datagram_socket.h"
#include "framework/net/frame_channel.h"
#include "framework/testing/story.h"
#include "operations/drain_request.h"
#include "protocol/message_codec.h"

namespace acacialug::agent_process {
namespace {

using testing::It;
using testing::Section;
using testing::WaitUntil;

const AttemptId kAttempt{.request = {.high = 1, .low = 2},
                         .attempt = AttemptNumber(1),
                         .entry = Incarnation(77)};
const http::TlsFiles kTls{
    .certificate_file =
        ACACIALUG_SOURCE_DIR "/src/framework/http/tests/data/host.pem",
    .key_file = ACACIALUG_SOURCE_DIR "/src/framework/http/tests/data/host.key",
    .authority_file =
        ACACIALUG_SOURCE_DIR "/src/framework/http/tests/data/authority.pem"};

// Holds nothing, keeps its commands, and sends the events of the test.
class FakeEngine : public engine::IEngine {
 public:
  std::vector<engine::EngineCommand> commands;
  std::function<void(const engine::EngineEvent&)> send_event;

  void Execute(const engine::EngineCommand& command) override {
    this->commands.push_back(command);
    if (std::holds_alternative<engine::ListHeld>(command)) {
      QTimer::singleShot(0, &this->context,
                         [this] { this->send_event(engine::Held{}); });
    }
  }
  void SetOnEvent(
      std::function<void(const engine::EngineEvent&)> on_event) override {
    this->send_event = std::move(on_event);
  }
  template <typename T>
  bool Got() const {
    return std::any_of(
        this->commands.begin(), this->commands.end(),
        [](const auto& command) { return std::holds_alternative<T>(command); });
  }

 private:
  QObject context;
};

std::shared_ptr<manifest::Manifest> OneDecoder(std::uint64_t offset) {
  auto manifest = std::make_shared<manifest::Manifest>();
  manifest->offset = LogOffset(offset);
  manifest->endpoints = {{.id = EndpointId("d1"),
                          .domain = FailureDomain("hall-a"),
                          .role = protocol::EndpointRole::kDecode,
                          .kv_tokens = 1000,
                          .slots = 4}};
  return manifest;
}

struct Fixture {
  FakeEngine* engine = nullptr;
  bool drained = false;
  LogOffset newest;
  std::unique_ptr<AgentProcess> process;

  explicit Fixture(const http::TlsFiles& tls = {}, std::uint16_t port = 0) {
    AgentSettings settings;
    settings.listen = {.ip = "127.0.0.1", .port = port};
    settings.operations_listen = {.ip = "127.0.0.1"};
    settings.allow_drain = true;
    settings.peer_tls = tls;
    settings.agent.endpoint = EndpointId("d1");
    settings.agent.domain = FailureDomain("hall-a");
    this->process = std::make_unique<AgentProcess>(AgentProcessOptions{
        .settings = settings,
        .make_engine =
            [this](const engine::EngineOptions&) {
              auto made = std::make_unique<FakeEngine>();
              this->engine = made.get();
              return made;
            },
        .on_newer_manifest =
            [this](LogOffset offset) { this->newest = offset; },
        .on_drained = [this] { this->drained = true; }});
    CPPUNIT_ASSERT(this->process->Start().ok());
  }

  void Serve() {
    CPPUNIT_ASSERT(this->process->OnManifest(OneDecoder(1)).ok());
    WaitUntil("ready", [this] { return this->process->status().ready(); });
  }
};

// The entry's side of one connection.
struct Peer {
  net::FrameChannelPtr channel;
  std::vector<protocol::AgentToEntry> received;
  bool closed = false;

  explicit Peer(const Fixture& fixture, const http::TlsFiles& tls = {}) {
    this->channel = net::ConnectFrameChannel(
        {.ip = "127.0.0.1", .port = fixture.process->port()}, {.tls = tls},
        {.on_open =
             [this] {
               this->Send(
                   protocol::Hello{.entry = EntryId("entry-1"),
                                   .incarnation = Incarnation(77),
                                   .manifest = LogOffset(9),
                                   .process = EntryId("entry-1"),
                                   .process_incarnation = Incarnation(5)});
             },
         .on_frame =
             [this](const std::string& payload) {
               this->received.push_back(*protocol::DecodeAgentToEntry(payload));
             },
         .on_closed = [this](const Error&) { this->closed = true; }});
  }
  void Send(const protocol::EntryToAgent& message) const {
    CPPUNIT_ASSERT(this->channel->Send(protocol::Encode(message)));
  }
  template <typename T>
  const T& Await() const {
    const T* found = nullptr;
    WaitUntil("a message of an agent", [this, &found] {
      for (const auto& message : this->received) {
        found = found != nullptr ? found : std::get_if<T>(&message);
      }
      return found != nullptr;
    });
    return *found;
  }
  // Starts a stream and waits until the engine has its command.
  void StartStream(const Fixture& fixture) const {
    this->Await<protocol::Welcome>();
    this->Send(protocol::Reserve{
        .attempt = kAttempt, .kv_tokens = 10, .start_within = 10s});
    this->Await<protocol::Reserved>();
    this->Send(protocol::StartDecode{.attempt = kAttempt,
                                     .generation = {.max_tokens = 5},
                                     .kv_tokens = 10,
                                     .window_chunks = 10});
    WaitUntil("a stream",
              [&] { return fixture.engine->Got<engine::Decode>(); });
  }
};

void EndStream(const Fixture& fixture) {
  fixture.engine->send_event(
      engine::Text{.attempt = kAttempt, .text = " a", .tokens = 1});
  fixture.engine->send_event(engine::StreamDone{.attempt = kAttempt});
}

const testing::Story kProcess(
    "an agent's process",
    {Section("before its first manifest",
             {It("answers operators, is not ready, and takes no entry",
                 [] {
                   const Fixture fixture;
                   CPPUNIT_ASSERT(fixture.process->operations_port() != 0);
                   CPPUNIT_ASSERT(fixture.process->port() == 0);
                   CPPUNIT_ASSERT(!fixture.process->status().ready());
                 }),
              It("refuses one that does not fit, and takes the next",
                 [] {
                   Fixture fixture;
                   const auto other = OneDecoder(1);
                   other->endpoints[0].id = EndpointId("d2");
                   const Status applied = fixture.process->OnManifest(other);
                   CPPUNIT_ASSERT(!applied.ok());
                   CPPUNIT_ASSERT(applied.error().result_code() ==
                                  ResultCode::kManifestInvalid);
                   fixture.Serve();
                 }),
              // Guards against an agent whose process and operations port are
              // up while no entry can reach it: its port is in use when its
              // first manifest arrives, the failure is logged, and only a
              // further manifest makes the agent try again.
              It("listens when its port is free again, without a further one",
                 [] {
                   QTcpServer owner;
                   CPPUNIT_ASSERT(owner.listen(QHostAddress::LocalHost));
                   Fixture fixture({}, owner.serverPort());
                   const Status applied =
                       fixture.process->OnManifest(OneDecoder(1));
                   CPPUNIT_ASSERT(!applied.ok());
                   CPPUNIT_ASSERT(applied.error().result_code() ==
                                  ResultCode::kAddressInUse);
                   owner.close();
                   WaitUntil("it listens",
                             [&] { return fixture.process->port() != 0; });
                   WaitUntil("ready",
                             [&] { return fixture.process->status().ready(); });
                 }),
              It("ends a drain at once",
                 [] {
                   Fixture fixture;
                   fixture.process->Drain();
                   WaitUntil("drained", [&] { return fixture.drained; });
                 })}),
     It("carries a stream from the engine to the entry",
        [] {
          Fixture fixture;
          fixture.Serve();
          const Peer peer(fixture);
          peer.StartStream(fixture);
          EndStream(fixture);
          CPPUNIT_ASSERT(peer.Await<protocol::Chunk>().text == " a");
          CPPUNIT_ASSERT(peer.Await<protocol::Ended>().chunks ==
                         SequenceNumber(1));
          CPPUNIT_ASSERT(fixture.process->status().held_attempts.empty());
        }),
     It("reports a newer manifest that an entry names",
        [] {
          Fixture fixture;
          fixture.Serve();
          const Peer peer(fixture);
          peer.Await<protocol::Welcome>();
          CPPUNIT_ASSERT(fixture.newest == LogOffset(9));
        }),
     It("ends the connection that sends garbage, and no other",
        [] {
          Fixture fixture;
          fixture.Serve();
          const Peer good(fixture);
          const Peer bad(fixture);
          bad.Await<protocol::Welcome>();
          bad.channel->Send("garbage");
          WaitUntil("closed", [&] { return bad.closed; });
          good.Send(protocol::Renew{.incarnation = Incarnation(77)});
          good.Await<protocol::Renewed>();
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                               fixture.process->status().counters.bad_frames);
        }),
     It("answers heartbeats, and drops invalid datagrams",
        [] {
          Fixture fixture;
          fixture.Serve();
          const Peer peer(fixture);
          const auto& welcome = peer.Await<protocol::Welcome>();
          std::vector<protocol::HeartbeatAnswer> answers;
          net::DatagramSocket socket(
              {.max_bytes = 4096,
               .on_datagram = [&](std::string_view datagram,
                                  const http::Address&) {
                 answers.push_back(*protocol::DecodeHeartbeatAnswer(datagram));
               }});
          CPPUNIT_ASSERT(socket.Bind({.ip = "127.0.0.1"}).ok());
          const http::Address agent{.ip = "127.0.0.1",
                                    .port = welcome.heartbeat_port};
          protocol::Heartbeat forged{.entry = EntryId("entry-1"),
                                     .incarnation = Incarnation(6),
                                     .sequence = 1,
                                     .sessions = {welcome.session}};
          protocol::Heartbeat good = forged;
          good.incarnation = Incarnation(5);
          good.manifest = LogOffset(12);
          socket.Send("garbage", agent);
          socket.Send(std::string(2000, 'x'), agent);
          socket.Send(protocol::Encode(forged), agent);
          socket.Send(protocol::Encode(good), agent);
          WaitUntil("an answer", [&] { return !answers.empty(); });
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, answers.front().renewed);
          CPPUNIT_ASSERT(answers.front().agent ==
                         fixture.process->status().incarnation);
          CPPUNIT_ASSERT(fixture.newest == LogOffset(12));
          const AgentStatus status = fixture.process->status();
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, status.counters.bad_datagrams);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                               status.core_counters.heartbeats_dropped);
        }),
     It("frees in the engine what a lost entry held",
        [] {
          Fixture fixture;
          fixture.Serve();
          const Peer peer(fixture);
          peer.StartStream(fixture);
          peer.channel->Close();
          WaitUntil("an abort",
                    [&] { return fixture.engine->Got<engine::Abort>(); });
          CPPUNIT_ASSERT(fixture.process->status().held_attempts.empty());
        }),
     It("shows operators what a stream holds, and for how long",
        [] {
          Fixture fixture;
          fixture.Serve();
          const Peer peer(fixture);
          peer.StartStream(fixture);
          const auto held = fixture.process->holdings();
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, held.size());
          CPPUNIT_ASSERT(held[0].attempt == kAttempt);
          CPPUNIT_ASSERT(held[0].kind == agent::HeldKind::kStream);
          CPPUNIT_ASSERT(held[0].age > Duration::zero());
        }),
     Section(
         "that leaves",
         {It("does so on a request to the operations port, and answers first",
             [] {
               Fixture fixture;
               http::Client client({});
               std::string answer;
               client.Send(
                   {.ip = "127.0.0.1",
                    .port = fixture.process->operations_port()},
                   {.method = "POST",
                    .target = "/drain",
                    .body = operations::RenderDrainRequest("d1")},
                   {.on_head = [](int, const http::Headers&) {},
                    .on_data = [&](std::string_view data) { answer += data; },
                    .on_end = [](const std::string&) {},
                    .on_error = [](const Error&, bool) {}});
               WaitUntil("drained", [&] { return fixture.drained; });
               CPPUNIT_ASSERT_EQUAL(operations::RenderDrainAnswer("d1"),
                                    answer);
             }),
          It("finishes its stream, refuses new work, and then tells",
             [] {
               Fixture fixture;
               fixture.Serve();
               const Peer peer(fixture);
               peer.StartStream(fixture);
               fixture.process->Drain();
               peer.Await<protocol::Leaving>();
               AttemptId second = kAttempt;
               second.request.low = 3;
               peer.Send(protocol::Reserve{.attempt = second, .kv_tokens = 1});
               CPPUNIT_ASSERT(peer.Await<protocol::Refused>().code ==
                              ResultCode::kDraining);
               CPPUNIT_ASSERT(!fixture.drained);
               EndStream(fixture);
               WaitUntil("drained", [&] { return fixture.drained; });
               peer.Await<protocol::Ended>();
             }),
          It("does so when a manifest no longer names it, until one does again",
             [] {
               Fixture fixture;
               fixture.Serve();
               const Peer peer(fixture);
               peer.Await<protocol::Welcome>();
               auto without = OneDecoder(2);
               without->endpoints.clear();
               CPPUNIT_ASSERT(fixture.process->OnManifest(without).ok());
               peer.Await<protocol::Leaving>();
               CPPUNIT_ASSERT(!fixture.process->status().ready());
               CPPUNIT_ASSERT(fixture.process->OnManifest(OneDecoder(3)).ok());
               CPPUNIT_ASSERT(fixture.process->status().ready());
               CPPUNIT_ASSERT(!fixture.drained);
             })}),
     It("takes entries with a certificate of its authority, and only these",
        [] {
          Fixture fixture(kTls);
          fixture.Serve();
          const Peer plain(fixture);
          const Peer peer(fixture, kTls);
          // A datagram would not authenticate its sender.
          CPPUNIT_ASSERT(peer.Await<protocol::Welcome>().heartbeat_port == 0);
          WaitUntil("closed", [&] { return plain.closed; });
          CPPUNIT_ASSERT(plain.received.empty());
          CPPUNIT_ASSERT(fixture.process->ReloadTls().ok());
          const Peer later(fixture, kTls);
          later.Await<protocol::Welcome>();
        }),
     It("does not start on a port that is in use", [] {
       const Fixture first;
       AgentSettings settings;
       settings.operations_listen = {.ip = "127.0.0.1",
                                     .port = first.process->operations_port()};
       AgentProcess second({.settings = settings});
       const Status started = second.Start();
       CPPUNIT_ASSERT(!started.ok());
       CPPUNIT_ASSERT(started.error().result_code() ==
                      ResultCode::kAddressInUse);
     })});

}  // namespace
}  // namespace acacialug::agent_process
