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
using testing::RawServer;
using testing::WaitUntil;
using Told = testing::ExchangeRecord;

constexpr std::string_view kUnframedHead = "HTTP/1.1 200 OK\r\n\r\n";
constexpr std::string_view kShort =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// A client and its server, whose side the test plays by hand.
struct HandPlayedExchange {
  Client::ExchangeId Send(std::size_t bytes, bool stream) {
    return this->client.Send(
        {.ip = "127.0.0.1", .port = this->server.port()},
        {.method = "POST", .target = "/", .body = std::string(bytes, 'u')},
        this->told.Hooks(stream));
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

}  // namespace
}  // namespace acacialug::http
