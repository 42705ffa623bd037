#include <cppunit/extensions/HelperMacros.h>

#include <QSslServer>
#include <QSslSocket>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "framework/http/http_client.h"
#include "framework/http/socket_setup.h"
#include "framework/http/tests/exchange_record.h"
#include "framework/http/tests/socket_support.h"
#include "framework/http/tests/tls_files.h"
#include "framework/http/tls_configuration.h"
#include "framework/testing/story.h"

namespace acacialug::http {
namespace {

using testing::ForEach;
using testing::It;
using testing::RawPeer;
using testing::RawServer;
using testing::WaitUntil;
using Told = testing::ExchangeRecord;

constexpr std::string_view kUnframedHead = "HTTP/1.1 200 OK\r\n\r\n";
constexpr std::string_view kShort =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
// More than the buffers of two sockets take.
constexpr std::size_t kUploadBytes = std::size_t{16} * 1024 * 1024;

// A client and its server, whose side the test plays by hand.
struct HandPlayedExchange {
  Client::ExchangeId Send(std::size_t bytes, bool stream) {
    return this->client.Send(
        {.ip = "127.0.0.1", .port = this->server.port()},
        {.method = "POST", .target = "/", .body = std::string(bytes, 'u')},
        this->told.Hooks(stream));
  }
  // The server's side of a connection of which it reads nothing.
  std::unique_ptr<QTcpSocket> AcceptUnread() {
    WaitUntil("a connection",
              [this] { return this->server.listener.hasPendingConnections(); });
    std::unique_ptr<QTcpSocket> socket(
        this->server.listener.nextPendingConnection());
    socket->setParent(nullptr);
    socket->setReadBufferSize(1);
    WaitUntil("the request", [&] { return socket->bytesAvailable() > 0; });
    return socket;
  }
  void AwaitEnd() {
    WaitUntil("the end", [this] { return this->told.over(); });
  }

  RawServer server;
  Client client{{}};
  Told told;
};

void Write(QTcpSocket& socket, std::string_view bytes) {
  socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
  socket.flush();
}

const testing::Story kMalformed(
    "an exchange whose answer is no HTTP",
    {It("fails, and its connection is not used again", [] {
      // Guards against the rest of such an answer being read as the answer to
      // the next request.
      for (const bool stream : {false, true}) {
        HandPlayedExchange exchange;
        exchange.Send(1, stream);
        const auto peer = exchange.server.Accept();
        peer->Await("\r\n\r\nu");
        peer->Send("HTTP/1.1 000 S\r\n\r\n" + std::string(kShort));
        exchange.AwaitEnd();
        CPPUNIT_ASSERT(exchange.told.error->code ==
                       ResultCode::kMalformedAnswer);
        CPPUNIT_ASSERT_EQUAL(0, exchange.told.status);
        CPPUNIT_ASSERT_EQUAL(std::string(), exchange.told.data);
        peer->AwaitClose();
      }
    })});

struct ResetRow {
  std::string name;
  std::string sent;  // before the reset
  // What the client has read of the body by then; empty: the reset follows at
  // once.
  std::optional<std::string> read = {};
};

const std::vector<ResetRow> kResets{
    {"before its head", ""},
    {"inside its head", "HTTP/1.1 200 OK\r\nA"},
    {"behind its head, at once", std::string(kUnframedHead)},
    {"behind its head", std::string(kUnframedHead), ""},
    {"inside its body, at once", std::string(kUnframedHead) + "part"},
    {"inside its body", std::string(kUnframedHead) + "part", "part"},
    {"inside a body with a length",
     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", "part"},
    {"inside a body in chunks",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
     "part"},
    {"inside a body of HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\npart", "part"},
    {"inside a body that says that the connection closes",
     "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", "part"}};

// The server answers before it has read the request, and resets.
void CheckReset(const ResetRow& row, bool stream, bool kept) {
  HandPlayedExchange exchange;
  std::unique_ptr<RawPeer> first;
  if (kept) {
    exchange.Send(1, false);
    first = exchange.server.Accept();
    first->Await("\r\n\r\nu");
    first->Send(kShort);
    exchange.AwaitEnd();
    exchange.told = {};
    first->socket->setReadBufferSize(1);
  }
  exchange.Send(kUploadBytes, stream);
  std::unique_ptr<QTcpSocket> accepted;
  if (!kept) {
    accepted = exchange.AcceptUnread();
  }
  QTcpSocket& socket = kept ? *first->socket : *accepted;
  Write(socket, row.sent);
  if (row.read) {
    WaitUntil("the part", [&] {
      return exchange.told.status == 200 &&
             (!stream || exchange.told.data == *row.read);
    });
  }
  AbortWithReset(socket);
  exchange.AwaitEnd();
  CPPUNIT_ASSERT(exchange.told.error && !exchange.told.body);
  CPPUNIT_ASSERT(exchange.told.error->code == ResultCode::kConnectionLost);
}

// How a server under TLS ends an answer that has neither a length nor chunks.
struct TlsEndRow {
  std::string name;
  std::function<void(QSslSocket&)> end;
  bool whole;
};

const std::vector<TlsEndRow> kTlsEnds{
    {"that ends in order",
     [](QSslSocket& socket) { socket.disconnectFromHost(); }, true},
    {"that ends without TLS's own end",
     [](QSslSocket& socket) { ShutDownWriting(socket); }, false},
    {"that is reset", [](QSslSocket& socket) { AbortWithReset(socket); },
     false}};

void CheckTlsEnd(const TlsEndRow& row, bool stream) {
  QSslServer server;
  server.setSslConfiguration(*LoadTls(testing::HostTls()).value());
  CPPUNIT_ASSERT(server.listen(QHostAddress::LocalHost));
  Client client({.tls = testing::HostTls()});
  Told told;
  client.Send({.ip = "127.0.0.1", .port = server.serverPort()},
              {.method = "GET", .target = "/"}, told.Hooks(stream));
  WaitUntil("a connection", [&] { return server.hasPendingConnections(); });
  auto* const socket =
      qobject_cast<QSslSocket*>(server.nextPendingConnection());
  WaitUntil("the request", [&] { return socket->bytesAvailable() > 0; });
  Write(*socket, std::string(kUnframedHead) + "part");
  WaitUntil("the part", [&] {
    return told.status == 200 && (!stream || told.data == "part");
  });
  row.end(*socket);
  WaitUntil("the end", [&] { return told.over(); });
  CPPUNIT_ASSERT_EQUAL(row.whole, told.body.has_value());
}

const testing::Story kTlsEnd("an exchange over TLS",
                             {ForEach<TlsEndRow>(
                                 "tells whether an answer is whole",
                                 kTlsEnds,
                                 [](const TlsEndRow& row) { return row.name; },
                                 [](const TlsEndRow& row) {
                                   // Guards against a part of an answer being
                                   // taken for all of it.
                                   for (const bool stream : {false, true}) {
                                     CheckTlsEnd(row, stream);
                                   }
                                 })});

const testing::Story kReset(
    "an exchange whose request is still being sent",
    {ForEach<ResetRow>(
         "takes for no whole answer one that is reset",
         kResets,
         [](const ResetRow& row) { return row.name; },
         [](const ResetRow& row) {
           // Guards against a part of an answer without a length being taken
           // for all of it.
           for (const bool stream : {false, true}) {
             for (const bool kept : {false, true}) {
               CheckReset(row, stream, kept);
             }
           }
         }),
     It("takes for no whole answer one that is reset while it is paused",
        [] {
          // Guards against a part of an answer without a length being taken
          // for all of it.
          for (const bool reset : {false, true}) {
            HandPlayedExchange exchange;
            const auto id = exchange.Send(kUploadBytes, true);
            const auto socket = exchange.AcceptUnread();
            Write(*socket, kUnframedHead);
            WaitUntil("the head", [&] { return exchange.told.status == 200; });
            exchange.client.SetPaused(id, true);
            const std::string body(std::size_t{1} << 20, 'b');
            Write(*socket, body);
            if (reset) {
              WaitUntil("the part",
                        [&] { return socket->bytesToWrite() == 0; });
              AbortWithReset(*socket);
            } else {
              socket->disconnectFromHost();
            }
            QCoreApplication::processEvents();
            exchange.client.SetPaused(id, false);
            exchange.AwaitEnd();
            CPPUNIT_ASSERT(exchange.told.error.has_value() ||
                           (!reset && exchange.told.data == body));
          }
        }),
     It("takes a whole answer that came before all of it was sent", [] {
       for (const bool stream : {false, true}) {
         HandPlayedExchange exchange;
         exchange.Send(kUploadBytes, stream);
         const auto socket = exchange.AcceptUnread();
         Write(*socket, kShort);
         exchange.AwaitEnd();
         CPPUNIT_ASSERT_EQUAL(std::string("ok"), stream ? exchange.told.data
                                                        : *exchange.told.body);
       }
     })});

}  // namespace
}  // namespace acacialug::http
