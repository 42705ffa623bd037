#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "framework/http/http_client.h"
#include "framework/http/internal/request_reader.h"
#include "framework/http/tests/exchange_record.h"
#include "framework/http/tests/socket_support.h"
#include "framework/testing/story.h"

namespace acacialug::http {
namespace {

using testing::ForEach;
using testing::It;
using testing::RawPeer;
using testing::RawServer;
using testing::Section;
using testing::WaitUntil;
using Told = testing::ExchangeRecord;

constexpr std::string_view kAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr int kLastByte = 0xff;

struct RequestRow {
  std::string name;
  Request request;
};

std::string RequestName(const RequestRow& row) {
  return row.name;
}

Request Get(std::string target, Headers headers = {}) {
  return {.method = "GET",
          .target = std::move(target),
          .headers = std::move(headers)};
}

// Guards against a text of others that makes a server read another request.
const std::vector<RequestRow> kMalformed{
    {"an empty target", Get("")},
    {"a target with a blank", Get("/a b")},
    {"a target that ends its line",
     Get("/a HTTP/1.1\r\nHost: x\r\n\r\nGET /b")},
    {"a target with a line feed", Get("/a\nb")},
    {"a target with a carriage return", Get("/a\rb")},
    {"a target with a tab", Get("/a\tb")},
    {"a target with NUL", Get(std::string("/a\0b", 4))},
    {"a target with a control character", Get("/a\x1f")},
    {"a target with DEL", Get("/a\x7f")},
    {"an empty method", {.method = "", .target = "/"}},
    {"a method with a blank", {.method = "GET /a", .target = "/"}},
    {"a method with a line break", {.method = "GET\r\n", .target = "/"}},
    {"a method with a byte above 0x7f", {.method = "G\xc9T", .target = "/"}},
    {"a header without a name", Get("/", {{"", "v"}})},
    {"a header's name with a colon", Get("/", {{"A:b", "v"}})},
    {"a header's name with a blank", Get("/", {{"A ", "v"}})},
    {"a header's name with a line break", Get("/", {{"A: b\r\nC", "v"}})},
    {"a header's name with NUL", Get("/", {{std::string("A\0", 2), "v"}})},
    {"a header's name with a byte above 0x7f", Get("/", {{"A\xe9", "v"}})},
    {"a header's value with a line break", Get("/", {{"A", "v\r\nB: w"}})},
    {"a header's value with a line feed", Get("/", {{"A", "v\nB: w"}})},
    {"a header's value with a carriage return", Get("/", {{"A", "v\rw"}})},
    {"a header's value with NUL", Get("/", {{"A", std::string("v\0", 2)}})},
    {"a length with a line break", Get("/", {{"Content-Length", "0\r\n\r\n"}})},
    {"a fault in its last header",
     Get("/", {{"A", "v"}, {"B", "w"}, {"C", "x\n"}})}};

// A client, and a server whose side the test plays by hand.
struct HandPlayedServer {
  void Send(const Request& request, Told& told) {
    this->client.Send({.ip = "127.0.0.1", .port = this->server.port()}, request,
                      told.Hooks(false));
  }
  // Returns the request's bytes; the first one opens the connection.
  std::string Exchange(const Request& request) {
    Told told;
    this->Send(request, told);
    if (!this->peer) {
      this->peer = this->server.Accept();
    }
    this->peer->received.clear();
    std::string bytes = this->peer->Await("\r\n\r\n");
    this->peer->Send(kAnswer);
    WaitUntil("the answer", [&] { return told.over(); });
    CPPUNIT_ASSERT(!told.error);
    return bytes;
  }

  RawServer server;
  Client client{{}};
  std::unique_ptr<RawPeer> peer;
};

void CheckRefused(HandPlayedServer& pair, const Request& request) {
  Told told;
  pair.Send(request, told);
  CPPUNIT_ASSERT_EQUAL(0, told.ends);
  if (!pair.peer) {
    WaitUntil("the end", [&] {
      return told.over() || pair.server.listener.hasPendingConnections();
    });
  } else {
    WaitUntil("the end",
              [&] { return told.over() || !pair.peer->received.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::string(), pair.peer->received);
  }
  CPPUNIT_ASSERT(told.error.has_value());
  CPPUNIT_ASSERT(told.error->code == ResultCode::kMalformedRequest);
  CPPUNIT_ASSERT(!told.sent);
  QCoreApplication::processEvents();
  CPPUNIT_ASSERT(!pair.server.listener.hasPendingConnections());
  CPPUNIT_ASSERT_EQUAL(1, told.ends);
}

const Section kFirst = ForEach<RequestRow>(
    "fails without a connection if it has",
    kMalformed,
    RequestName,
    [](const RequestRow& row) {
      HandPlayedServer pair;
      CheckRefused(pair, row.request);
      CPPUNIT_ASSERT(pair.Exchange(Get("/next")).starts_with("GET /next HTTP"));
    });

const Section kKept = ForEach<RequestRow>(
    "leaves a kept connection to others if it has",
    kMalformed,
    RequestName,
    [](const RequestRow& row) {
      HandPlayedServer pair;
      pair.Exchange(Get("/first"));
      pair.peer->received.clear();
      CheckRefused(pair, row.request);
      CPPUNIT_ASSERT(pair.Exchange(Get("/next")).starts_with("GET /next HTTP"));
      CPPUNIT_ASSERT(!pair.server.listener.hasPendingConnections());
    });

const testing::Story kRefused("a request that a server would read as another",
                              {kFirst, kKept});

// What a server of this project makes of these bytes.
std::optional<Request> Read(const std::string& bytes) {
  const ServerLimits limits;
  RequestReader reader(limits);
  reader.Append(bytes);
  if (reader.Advance() != ReadStep::kHeadDone ||
      reader.Advance() != ReadStep::kDone) {
    return std::nullopt;
  }
  return reader.TakeRequest();
}

struct PlaceRow {
  std::string name;
  std::string before;
  std::string after;
  int accepted;                  // of all 256 bytes
  std::optional<char> end = {};  // ends the place, so that it is no part of it
};

// Every byte above 0x20 but DEL; the marks, digits and letters of a token; in
// a value a tab and a blank, too.
constexpr int kTargetBytes = kLastByte + 1 - 0x21 - 1;
constexpr int kTokenBytes = 15 + 10 + 52;
constexpr int kValueBytes = kTargetBytes + 2;

const std::vector<PlaceRow> kPlaces{
    {"its path", "GET /a", "b HTTP/1.1\r\nHost: x\r\n\r\n", kTargetBytes},
    {"its query", "GET /a?b", "c HTTP/1.1\r\nHost: x\r\n\r\n", kTargetBytes},
    {"all of its target", "GET ", " HTTP/1.1\r\nHost: x\r\n\r\n", kTargetBytes},
    {"its method", "G", "T / HTTP/1.1\r\nHost: x\r\n\r\n", kTokenBytes},
    {"a header's name", "GET / HTTP/1.1\r\nHost: x\r\nA", "B: v\r\n\r\n",
     kTokenBytes, ':'},
    {"a header's value", "GET / HTTP/1.1\r\nHost: x\r\nA: v", "w\r\n\r\n",
     kValueBytes}};

const Section kEveryByte = ForEach<PlaceRow>(
    "is passed on unchanged with every byte that a server accepts in",
    kPlaces,
    [](const PlaceRow& row) { return row.name; },
    [](const PlaceRow& row) {
      // Guards against a request of a caller that is refused on its way.
      HandPlayedServer pair;
      int accepted = 0;
      for (int byte = 0; byte <= kLastByte; ++byte) {
        const char value = static_cast<char>(byte);
        const std::string bytes = row.before + value + row.after;
        const std::optional<Request> request = Read(bytes);
        if (request && value != row.end) {
          ++accepted;
          CPPUNIT_ASSERT_EQUAL(bytes, pair.Exchange(*request));
        }
      }
      CPPUNIT_ASSERT_EQUAL(row.accepted, accepted);
    });

const Section kFolded =
    It("is passed on with a folded header as it was read", [] {
      const std::optional<Request> request =
          Read("GET / HTTP/1.1\r\nHost: x\r\nA: v\r\n\tw\r\nB:\r\n\r\n");
      CPPUNIT_ASSERT(request.has_value());
      HandPlayedServer pair;
      CPPUNIT_ASSERT_EQUAL(
          std::string("GET / HTTP/1.1\r\nHost: x\r\nA: v w\r\nB: \r\n\r\n"),
          pair.Exchange(*request));
    });

const testing::Story kPassedOn("a request of a caller", {kEveryByte, kFolded});

}  // namespace
}  // namespace acacialug::http
