#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QTimer>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "framework/http/http_client.h"
#include "framework/http/http_server.h"
#include "framework/http/socket_setup.h"
#include "framework/http/tests/server_fixture.h"
#include "framework/http/tests/socket_support.h"
#include "framework/http/tests/tls_files.h"
#include "framework/testing/story.h"

namespace acacialug::http {
namespace {

using testing::ForEach;
using testing::Get;
using testing::It;
using testing::Post;
using testing::RawPeer;
using testing::RawServer;
using testing::Section;
using testing::ServerFixture;
using testing::WaitUntil;

// Runs `act` and then stands still, from within a socket's own handler: when
// it returns, the event loop runs the timers that have passed before it asks
// which sockets have become ready.
void StandStillInAHandler(const std::function<void()>& act,
                          std::chrono::milliseconds time) {
  RawServer server;
  RawPeer sender(server.port());
  const auto receiver = server.Accept();
  // A due timer in each turn: some event loops run no timer without one.
  QTimer due;
  due.start(0);
  bool stood = false;
  QObject::connect(receiver->socket, &QTcpSocket::readyRead, receiver->socket,
                   [&] {
                     act();
                     std::this_thread::sleep_for(time);
                     stood = true;
                   });
  sender.Send("x");
  WaitUntil("the standstill", [&stood] { return stood; });
}

struct Outcome {
  std::optional<std::string> body;
  std::optional<Error> error;
  bool sent = false;

  bool over() const { return this->body || this->error; }
  ExchangeHooks Hooks() {
    return {
        .on_end = [this](std::string whole) { this->body = std::move(whole); },
        .on_error =
            [this](const Error& failure, bool was_sent) {
              this->error = failure;
              this->sent = was_sent;
            }};
  }
};

// A listening socket whose queue is full: the operating system answers no
// further connection.
class FullListener {
 public:
  FullListener() : descriptor(::socket(AF_INET, SOCK_STREAM, 0)) {
    this->address.sin_family = AF_INET;
    this->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(this->address);
    auto* const generic = reinterpret_cast<sockaddr*>(&this->address);
    CPPUNIT_ASSERT_EQUAL(0, ::bind(this->descriptor, generic, size));
    CPPUNIT_ASSERT_EQUAL(0, ::listen(this->descriptor, 0));
    CPPUNIT_ASSERT_EQUAL(0, ::getsockname(this->descriptor, generic, &size));
    this->filler.connectToHost(QHostAddress::LocalHost, this->port());
    CPPUNIT_ASSERT(this->filler.waitForConnected());
  }
  ~FullListener() { ::close(this->descriptor); }
  FullListener(const FullListener&) = delete;
  FullListener& operator=(const FullListener&) = delete;

  std::uint16_t port() const { return ntohs(this->address.sin_port); }

 private:
  const int descriptor;
  sockaddr_in address{};
  QTcpSocket filler;
};

// After a standstill several exchanges failed in the same instants with "not
// connected in time", and their endpoints, which were well, were avoided. The
// operating system had connected them long before; but the timers of the
// connections ran before Qt was told so by the sockets.
void ConnectedMeanwhileIsNotTooLate() {
  RawServer server;
  Client client({.connect_timeout = 20ms});
  Outcome outcome;
  StandStillInAHandler(
      [&] {
        client.Send({.ip = "127.0.0.1", .port = server.port()},
                    {.method = "GET", .target = "/"}, outcome.Hooks());
      },
      300ms);
  const auto peer = server.Accept();
  WaitUntil("the request or a failure", [&] {
    return outcome.over() || peer->received.ends_with("\r\n\r\n");
  });
  CPPUNIT_ASSERT_MESSAGE(outcome.error ? outcome.error->detail : "",
                         !outcome.error);
  peer->Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  WaitUntil("the answer", [&] { return outcome.over(); });
  CPPUNIT_ASSERT_EQUAL(std::string("ok"), outcome.body.value_or("none"));
}

// A request may be sent once more only if nothing of it left. This process sent
// one, stood still, and heard of the connection's end only after its own time
// for an answer had passed; whatever it hears first, the request has left.
void LeftBeforeTheStandstillIsSent() {
  RawServer server;
  Client client({.silence_timeout = 20ms});
  Outcome first;
  const Address address{.ip = "127.0.0.1", .port = server.port()};
  const Request request{.method = "GET", .target = "/"};
  client.Send(address, request, first.Hooks());
  const auto peer = server.Accept();
  peer->Await("GET /");
  peer->Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  WaitUntil("the first answer", [&] { return first.over(); });
  CPPUNIT_ASSERT(first.body.has_value());
  Outcome outcome;
  StandStillInAHandler(
      [&] {
        client.Send(address, request, outcome.Hooks());
        AbortWithReset(*peer->socket);
      },
      100ms);
  WaitUntil("the failure", [&] { return outcome.over(); });
  CPPUNIT_ASSERT(outcome.error && outcome.sent);
}

void UnansweredConnectionIsTooLate() {
  const FullListener listener;
  Client client({.connect_timeout = 20ms});
  Outcome outcome;
  StandStillInAHandler(
      [&] {
        client.Send({.ip = "127.0.0.1", .port = listener.port()},
                    {.method = "GET", .target = "/"}, outcome.Hooks());
      },
      100ms);
  WaitUntil("the failure", [&] { return outcome.over(); });
  CPPUNIT_ASSERT(outcome.error && !outcome.sent);
  CPPUNIT_ASSERT(outcome.error->detail.ends_with("not connected in time"));
}

// The same under TLS, where the handshake cannot begin before Qt knows of the
// connection, and needs time of its own.
void HandshakeBeginsAfterTheStandstill() {
  Server server({.listen = {.ip = "127.0.0.1"},
                 .tls = testing::HostTls(),
                 .shard_threads = 1,
                 .make_handler = [](int) -> RequestHandler {
                   return [](const Request&, const ResponderPtr& responder) {
                     responder->SendWhole({.body = "ok"});
                   };
                 }});
  CPPUNIT_ASSERT(server.Start().ok());
  Client client({.connect_timeout = 400ms, .tls = testing::HostTls()});
  Outcome outcome;
  StandStillInAHandler(
      [&] {
        client.Send({.ip = "127.0.0.1", .port = server.port()},
                    {.method = "GET", .target = "/"}, outcome.Hooks());
      },
      600ms);
  WaitUntil("the answer", [&] { return outcome.over(); });
  CPPUNIT_ASSERT_EQUAL(std::string("ok"), outcome.body.value_or("none"));
}

struct LimitRow {
  std::string name;
  ServerLimits limits;
  std::string before;  // has been read when the process stands still
  std::string meanwhile;
};

// A caller sent its request, or the rest of it, in time, but the process stood
// still. Its limit passed before the bytes were read; what counts is that they
// lie there, and not when this process comes to read them.
const Section kLimits = ForEach<LimitRow>(
    "answers what has come before the end of",
    {{"its idle time", {.idle_timeout = 100ms}, "", Get("/")},
     {"its time for a head",
      {.head_timeout = 100ms},
      "GET / HTTP/1.1\r\n",
      "Host: x\r\n\r\n"},
     {"its time for a body",
      {.body_timeout = 100ms},
      Post("Content-Length: 4\r\n", "bo"),
      "dy"}},
    [](const LimitRow& row) { return row.name; },
    [](const LimitRow& row) {
      ServerFixture fixture(row.limits);
      RawPeer peer(fixture.port());
      WaitUntil("the connection",
                [&] { return fixture.server->open_connections() == 1; });
      StandStillInAHandler(
          [&] {
            // In its own turns, so that it is read before the rest is sent.
            peer.Send(row.before);
            for (int turn = 0; turn < 10; ++turn) {
              QCoreApplication::processEvents();
            }
            peer.Send(row.meanwhile);
          },
          300ms);
      WaitUntil("the request or a close",
                [&] { return peer.closed || !fixture.requests.empty(); });
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.requests.size());
      fixture.responders[0]->SendWhole({.body = "answer"});
      peer.Await("answer");
    });

// A kept connection, so that what is tested is not its first request.
struct KeptConnection {
  ServerFixture fixture;
  std::unique_ptr<RawPeer> peer;

  KeptConnection() : peer(std::make_unique<RawPeer>(this->fixture.port())) {
    this->peer->Send(Get("/1"));
    this->fixture.AwaitRequests(1);
    this->fixture.responders[0]->SendWhole({.body = "first"});
    this->peer->Await("first");
  }
};

constexpr auto kStandstill = 300ms;
// What the operating system's clock of connections may round off.
constexpr auto kRounding = 50ms;

struct AgeRow {
  std::string name;
  // Sends a request that is handed over more than kStandstill later.
  std::function<void(ServerFixture& fixture, RawPeer& peer)> send;
};

// A caller told how much time its request had. The request lay unread while
// the process stood still, and its time was counted from when it was read: it
// was sent on with more time than was left, and worked on for nobody.
const Section kAges = ForEach<AgeRow>(
    "tells how long ago a request came",
    {{"that lay unread",
      [](ServerFixture&, RawPeer& peer) {
        StandStillInAHandler([&] { peer.Send(Get("/2")); }, kStandstill);
      }},
     {"of which the first part was read before",
      [](ServerFixture& fixture, RawPeer& peer) {
        peer.Send("GET /2 HTTP/1.1\r\n");
        QCoreApplication::processEvents();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.requests.size());
        StandStillInAHandler([&] { peer.Send("Host: x\r\n\r\n"); },
                             kStandstill);
      }},
     {"that lay behind another",
      [](ServerFixture& fixture, RawPeer& peer) {
        peer.Send(Get("/between") + Get("/2"));
        fixture.AwaitRequests(2);
        std::this_thread::sleep_for(kStandstill);
        fixture.responders[1]->SendWhole({.body = "between"});
      }}},
    [](const AgeRow& row) { return row.name; },
    [](const AgeRow& row) {
      KeptConnection kept;
      const Instant sent = MonotonicNow();
      row.send(kept.fixture, *kept.peer);
      const auto& requests = kept.fixture.requests;
      WaitUntil("the request", [&] { return requests.back().target == "/2"; });
      const Duration age = requests.back().age;
      CPPUNIT_ASSERT(age >= kStandstill - kRounding);
      CPPUNIT_ASSERT(age <= MonotonicNow() - sent + kRounding);
    });

void FirstRequestHasAnAge() {
  ServerFixture fixture;
  std::unique_ptr<RawPeer> peer;
  StandStillInAHandler(
      [&] {
        peer = std::make_unique<RawPeer>(fixture.port());
        peer->Send(Get("/"));
      },
      kStandstill);
  fixture.AwaitRequests(1);
  CPPUNIT_ASSERT(fixture.requests[0].age >= kStandstill - kRounding);
}

struct LeaveRow {
  std::string name;
  std::function<void(RawPeer& peer)> leave;
};

// Callers sent requests, waited, gave up and closed, all while the process
// stood still. It then read the requests before the closes, and sent each on
// to an endpoint that began to work for nobody.
const Section kLeavers = ForEach<LeaveRow>(
    "hands over no request of a caller that has left meanwhile",
    {{"by closing", [](RawPeer& peer) { peer.socket->disconnectFromHost(); }},
     {"by a reset", [](RawPeer& peer) { AbortWithReset(*peer.socket); }},
     // Such a caller counts as gone also while its request is answered.
     {"by closing its sending side",
      [](RawPeer& peer) { ShutDownWriting(*peer.socket); }}},
    [](const LeaveRow& row) { return row.name; },
    [](const LeaveRow& row) {
      KeptConnection kept;
      StandStillInAHandler(
          [&] {
            kept.peer->Send(Get("/2") + Get("/3"));
            row.leave(*kept.peer);
          },
          kStandstill);
      WaitUntil("the end of the connection",
                [&] { return kept.fixture.server->open_connections() == 0; });
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, kept.fixture.requests.size());
    });

// A caller sent a request on a kept connection while the process stood still,
// and the order to drain was the first that the process then heard. It closed
// the connection as idle, with the request unread: the caller saw a reset.
void DrainLeavesWhatHasCome() {
  KeptConnection kept;
  kept.peer->Send(Get("/2"));
  kept.fixture.server->StopAccepting();
  const auto& requests = kept.fixture.requests;
  WaitUntil("the request or a close",
            [&] { return kept.peer->closed || requests.size() == 2; });
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests.size());
  kept.fixture.responders[1]->SendWhole({.body = "second"});
  CPPUNIT_ASSERT(kept.peer->AwaitClose().ends_with("\r\n\r\nsecond"));
}

// An exchange whose server has the request and has not answered.
struct Unanswered {
  Unanswered() {
    this->client.Send({.ip = "127.0.0.1", .port = this->server.port()},
                      {.method = "GET", .target = "/"}, this->outcome.Hooks());
    this->peer = this->server.Accept();
    this->peer->Await("\r\n\r\n");
  }

  RawServer server;
  Client client{{.silence_timeout = 100ms}};
  Outcome outcome;
  decltype(server.Accept()) peer;
};

// Guards against a peer's page that is given up since it took long to make.
void OwnStandstillIsNoSilence() {
  Unanswered asked;
  StandStillInAHandler([] {}, kStandstill);
  CPPUNIT_ASSERT(!asked.outcome.over());
  asked.peer->Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  WaitUntil("the answer", [&] { return asked.outcome.over(); });
  CPPUNIT_ASSERT_EQUAL(std::string("ok"), asked.outcome.body.value_or("none"));
}

// Guards against an exchange that waits for ever in a process that is always
// late.
void SilenceAfterAStandstillFails() {
  Unanswered asked;
  StandStillInAHandler([] {}, kStandstill);
  StandStillInAHandler([] {}, kStandstill);
  WaitUntil("the end", [&] { return asked.outcome.over(); });
  CPPUNIT_ASSERT(asked.outcome.error && asked.outcome.sent);
}

const testing::Story kServer(
    "an HTTP server whose process stood still",
    {kLimits, kAges, kLeavers,
     It("tells how long ago the first request of a connection came",
        FirstRequestHasAnAge),
     It("drains without closing on a request that it has not read",
        DrainLeavesWhatHasCome)});

const testing::Story kClient(
    "an HTTP client whose process stood still",
    {It("goes on with a connection that was made meanwhile",
        ConnectedMeanwhileIsNotTooLate),
     It("says that a request was sent which left before it stood still",
        LeftBeforeTheStandstillIsSent),
     It("does not take its own standstill for the server's silence",
        OwnStandstillIsNoSilence),
     It("gives up a server that stays silent, late as it may be",
        SilenceAfterAStandstillFails),
     It("leaves a handshake its own time", HandshakeBeginsAfterTheStandstill),
     It("gives up a connection that nobody has answered",
        UnansweredConnectionIsTooLate)});

}  // namespace
}  // namespace acacialug::http
