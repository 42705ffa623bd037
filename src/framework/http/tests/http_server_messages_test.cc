#include <cppunit/extensions/HelperMacros.h>

#include "framework/http/http_server.h"
#include "framework/http/tests/server_fixture.h"
#include "framework/http/tests/socket_support.h"
#include "framework/testing/story.h"

namespace acacialug::http {
namespace {

using testing::CountOf;
using testing::ForEach;
using testing::Get;
using testing::Post;
using testing::RawPeer;
using testing::Section;
using testing::ServerFixture;
using testing::WaitUntil;

struct FaultRow {
  std::string name;
  std::string bytes;
  int status;
  ResultCode code;
};

const Section kFaults = ForEach<FaultRow>(
    "refuses and closes on",
    {{"a body whose Content-Length is over the limit",
      Post("Content-Length: 101\r\n", ""), 413, ResultCode::kBodyTooLarge},
     {"a body that grows over the limit chunk by chunk",
      Post("Transfer-Encoding: chunked\r\n",
           "40\r\n" + std::string(64, 'a') + "\r\n40\r\n"),
      413, ResultCode::kBodyTooLarge},
     {"headers over the limit, sent as one line",
      "GET / HTTP/1.1\r\nA: " + std::string(2000, 'a'), 431,
      ResultCode::kHeadersTooLarge},
     {"headers over the limit, sent as many lines",
      [] {
        std::string lines = "GET / HTTP/1.1\r\n";
        for (int line = 0; line < 100; ++line) {
          lines += "A: aaaaaaaaaaaaaaaa\r\n";
        }
        return lines;
      }(),
      431, ResultCode::kHeadersTooLarge},
     {"what is not HTTP", "\x16\x03\x01 hello\r\n\r\n", 400,
      ResultCode::kMalformedRequest},
     {"another version", "GET / HTTP/2.0\r\n\r\n", 400,
      ResultCode::kMalformedRequest},
     {"two lengths",
      Post("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
      400, ResultCode::kMalformedRequest},
     {"lengths that differ",
      Post("Content-Length: 1\r\nContent-Length: 2\r\n", "ab"), 400,
      ResultCode::kMalformedRequest},
     {"a transfer coding that hides the length",
      Post("Transfer-Encoding: gzip\r\n", "abc"), 400,
      ResultCode::kMalformedRequest},
     {"a chunk without a size",
      Post("Transfer-Encoding: chunked\r\n", "zz\r\n"), 400,
      ResultCode::kMalformedRequest},
     {"a chunk's head without an end",
      Post("Transfer-Encoding: chunked\r\n", "1;" + std::string(2000, 'a')),
      400, ResultCode::kMalformedRequest},
     {"no Host", "GET / HTTP/1.1\r\n\r\n", 400, ResultCode::kMalformedRequest},
     {"two Hosts", Get("/", "Host: y\r\n"), 400,
      ResultCode::kMalformedRequest}},
    [](const FaultRow& row) { return row.name; },
    [](const FaultRow& row) {
      ServerFixture fixture;
      RawPeer peer(fixture.port());
      peer.Send(row.bytes);
      const std::string& answer = peer.AwaitClose();
      CPPUNIT_ASSERT_MESSAGE(
          answer,
          answer.starts_with("HTTP/1.1 " + std::to_string(row.status)) &&
              answer.ends_with("code=" +
                               std::to_string(static_cast<int>(row.code))) &&
              CountOf(answer, "HTTP/1.1") == 1 &&
              answer.find("Connection: close") != std::string::npos);
      CPPUNIT_ASSERT(fixture.requests.empty());
    });

struct TimeoutRow {
  std::string name;
  ServerLimits limits;
  std::string bytes;
  std::string answer;
};

const Section kTimeouts = ForEach<TimeoutRow>(
    "ends a connection",
    {{"that never sends a request", {.idle_timeout = 1ms}, "", ""},
     {"whose headers do not end",
      {.head_timeout = 1ms},
      "GET / HTTP/1.1\r\nA",
      "HTTP/1.1 408"},
     {"whose body does not end",
      {.body_timeout = 1ms},
      Post("Content-Length: 9\r\n", "abc"),
      "HTTP/1.1 408"}},
    [](const TimeoutRow& row) { return row.name; },
    [](const TimeoutRow& row) {
      ServerFixture fixture(row.limits);
      RawPeer peer(fixture.port());
      peer.Send(row.bytes);
      CPPUNIT_ASSERT_EQUAL(row.answer,
                           peer.AwaitClose().substr(0, row.answer.size()));
      CPPUNIT_ASSERT(fixture.requests.empty());
      WaitUntil("no connection",
                [&] { return fixture.server->open_connections() == 0; });
    });

struct FramingRow {
  std::string name;
  std::string request;
  std::string body;  // as the handler sees it
  std::string answer;
  bool closes;
};

const Section kFraming = ForEach<FramingRow>(
    "takes and answers",
    {{"a chunked body and its trailer",
      Post("Transfer-Encoding: chunked\r\n",
           "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-Trailer: t\r\n\r\n"),
      "abcde", "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 2\r\n\r\nok", false},
     {"a body with its length", Post("Content-Length: 3\r\n", "abc"), "abc",
      "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 2\r\n\r\nok", false},
     {"HEAD, without a body", "HEAD / HTTP/1.1\r\nHost: x\r\n\r\n", "",
      "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 2\r\n\r\n", false},
     {"a wish to close", Get("/", "Connection: close\r\n"), "",
      "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 2\r\nConnection: "
      "close\r\n\r\nok",
      true},
     {"HTTP/1.0", "GET / HTTP/1.0\r\n\r\n", "",
      "HTTP/1.0 200 OK\r\nX: y\r\nContent-Length: 2\r\nConnection: "
      "close\r\n\r\nok",
      true},
     {"HTTP/1.0 that keeps alive",
      "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "",
      "HTTP/1.0 200 OK\r\nX: y\r\nContent-Length: 2\r\nConnection: "
      "keep-alive\r\n\r\nok",
      false}},
    [](const FramingRow& row) { return row.name; },
    [](const FramingRow& row) {
      ServerFixture fixture;
      RawPeer peer(fixture.port());
      peer.Send(row.request);
      fixture.AwaitRequests(1);
      CPPUNIT_ASSERT_EQUAL(row.body, fixture.requests[0].body);
      CPPUNIT_ASSERT(!FindHeader(fixture.requests[0].headers, "X-Trailer"));
      fixture.responders[0]->SendWhole(
          {.headers = {{"X", "y"}, {"Content-Length", "7"}, {"B", "1\r\nC: 2"}},
           .body = "ok"});
      if (row.closes) {
        CPPUNIT_ASSERT_EQUAL(row.answer, peer.AwaitClose());
        return;
      }
      peer.Await(row.answer.substr(row.answer.size() - 4));
      peer.received.clear();
      peer.Send(Get("/again"));
      fixture.AwaitRequests(2);
      CPPUNIT_ASSERT_EQUAL(std::string("/again"), fixture.requests[1].target);
      CPPUNIT_ASSERT(!peer.closed);
    });

const testing::Story kMessages("an HTTP server, of single messages,",
                               {kFaults, kTimeouts, kFraming});

}  // namespace
}  // namespace acacialug::http
