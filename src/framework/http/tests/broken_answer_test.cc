#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "framework/http/http_client.h"
#include "framework/http/tests/exchange_record.h"
#include "framework/http/tests/socket_support.h"
#include "framework/testing/story.h"

namespace acacialug::http {
namespace {

using testing::It;
using testing::RawServer;
using testing::WaitUntil;
using Told = testing::ExchangeRecord;

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

}  // namespace
}  // namespace acacialug::http
