#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "framework/http/http_client.h"
#include "framework/http/tests/socket_support.h"
#include "framework/testing/story.h"

namespace acacialug::http {
namespace {

using testing::ForEach;
using testing::It;
using testing::RawPeer;
using testing::RawServer;
using testing::WaitUntil;

constexpr std::size_t kMaxBodyBytes = std::size_t{256} * 1024;
// What the buffers of two sockets may hold beside the client's limits.
constexpr std::size_t kMaxSentBytes = std::size_t{24} * 1024 * 1024;
constexpr std::size_t kBlockBytes = std::size_t{32} * 1024;

struct EndlessCase {
  std::string name;
  std::string begin;
  std::string repeated;
};

const std::string kHead = "HTTP/1.1 200 OK\r\nId: mine\r\n";
const std::string kChunked = kHead + "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<EndlessCase> kEndlessCases = {
    {"bytes that are no answer", "", "x"},
    {"empty lines", "", "\r\n"},
    {"a status line", "HTTP/1.1 200 ", "x"},
    {"a field", "HTTP/1.1 200 OK\r\nA: ", "x"},
    {"fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
    {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"interim answers with fields", "", "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n"},
    {"answers to other messages", "",
     "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
    {"an answer to another message",
     "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n",
     "1\r\nx\r\n"},
    {"a body without a length", kHead + "\r\n", "x"},
    {"a body with a length", kHead + "Content-Length: 999999999999\r\n\r\n",
     "x"},
    {"chunks", kChunked, "1\r\nx\r\n"},
    {"a chunk's size", kChunked, "0"},
    {"a chunk's extension", kChunked + "1;a=", "x"},
    {"trailers", kChunked + "0\r\n", "A: b\r\n"}};

struct Ended {
  std::optional<Error> error;
  bool whole = false;

  bool over() const { return this->error.has_value() || this->whole; }
  ExchangeHooks Hooks() {
    return {.is_answer =
                [](int, const Headers& headers) {
                  return FindHeader(headers, "Id") == "mine";
                },
            .on_end = [this](const std::string&) { this->whole = true; },
            .on_error = [this](const Error& failure,
                               bool) { this->error = failure; }};
  }
};

Client::ExchangeId SendTo(Client& client,
                          const RawServer& server,
                          Ended& ended,
                          const SendOptions& options = {}) {
  return client.Send({.ip = "127.0.0.1", .port = server.port()},
                     {.method = "GET", .target = "/"}, ended.Hooks(), options);
}

// Sends `repeated` again and again until `done`; returns how many bytes.
std::size_t SendUntil(RawPeer& peer,
                      const std::string& repeated,
                      const std::function<bool()>& done) {
  std::string block;
  while (block.size() < kBlockBytes) {
    block += repeated;
  }
  std::size_t sent = 0;
  WaitUntil("the end", [&] {
    if (!done() && peer.socket->bytesToWrite() < 65536) {
      peer.Send(block);
      sent += block.size();
    }
    return done() || sent > kMaxSentBytes;
  });
  return sent;
}

const testing::Story kEndless(
    "an exchange whose answer is without end",
    {ForEach<EndlessCase>(
         "fails within its limits for",
         kEndlessCases,
         [](const EndlessCase& row) { return row.name; },
         [](const EndlessCase& row) {
           // Guards against an endpoint's bytes that take all memory.
           RawServer server;
           Client client({.max_body_bytes = kMaxBodyBytes});
           Ended ended;
           SendTo(client, server, ended);
           const auto peer = server.Accept();
           peer->Await("GET /");
           peer->Send(row.begin);
           const std::size_t sent = SendUntil(
               *peer, row.repeated, [&ended] { return ended.over(); });
           CPPUNIT_ASSERT(ended.error.has_value());
           CPPUNIT_ASSERT(sent < kMaxSentBytes);
           peer->AwaitClose();
         }),
     ForEach<EndlessCase>(
         "fails after its time limit, sent byte by byte, for",
         kEndlessCases,
         [](const EndlessCase& row) { return row.name; },
         [](const EndlessCase& row) {
           // Guards against an exchange that is never silent, and never ends.
           RawServer server;
           Client client({.max_body_bytes = kMaxBodyBytes});
           Ended ended;
           SendTo(client, server, ended, {.timeout = 100ms});
           const auto peer = server.Accept();
           peer->Await("GET /");
           peer->Send(row.begin);
           std::size_t sent = 0;
           WaitUntil("the end", [&] {
             if (!ended.over()) {
               peer->Send(row.repeated.substr(sent % row.repeated.size(), 1));
               ++sent;
             }
             return ended.over();
           });
           CPPUNIT_ASSERT(ended.error.has_value());
         }),
     It("takes little of a turn of the event loop",
        [] {
          // Guards against endless answers for which all others wait.
          RawServer server;
          Client client({});
          Ended ended;
          ExchangeHooks hooks = ended.Hooks();
          std::size_t received = 0;
          hooks.on_data = [&received](std::string_view data) {
            received += data.size();
          };
          client.Send({.ip = "127.0.0.1", .port = server.port()},
                      {.method = "GET", .target = "/"}, hooks);
          const auto peer = server.Accept();
          peer->Await("GET /");
          peer->Send(kHead + "\r\n");
          std::size_t before = 0;
          std::size_t most = 0;
          SendUntil(*peer, "x", [&] {
            most = std::max(most, received - std::exchange(before, received));
            return received > std::size_t{1} << 20;
          });
          CPPUNIT_ASSERT(received > 0);
          CPPUNIT_ASSERT(most <= std::size_t{16} * 1024);
        }),
     It("ends with a head that says all, and its connection isn't kept",
        [] {
          // Guards against a rejection that counts only once its body has
          // ended.
          RawServer server;
          Client client({});
          for (int round = 0; round < 2; ++round) {
            Ended ended;
            ExchangeHooks hooks = ended.Hooks();
            hooks.wants_body = [](int status, const Headers&) {
              return status == 200;
            };
            client.Send({.ip = "127.0.0.1", .port = server.port()},
                        {.method = "GET", .target = "/"}, hooks);
            const auto peer = server.Accept();
            peer->Await("GET /");
            peer->Send("HTTP/1.1 503 S\r\nId: mine\r\n\r\nendless");
            WaitUntil("the end", [&] { return ended.over(); });
            CPPUNIT_ASSERT(ended.whole);
            peer->AwaitClose();
          }
        }),
     It("keeps the connection when the body that isn't wanted has arrived", [] {
       RawServer server;
       Client client({});
       std::unique_ptr<RawPeer> peer;
       for (std::size_t round = 1; round <= 3; ++round) {
         Ended ended;
         ExchangeHooks hooks = ended.Hooks();
         hooks.wants_body = [](int, const Headers&) { return false; };
         client.Send({.ip = "127.0.0.1", .port = server.port()},
                     {.method = "GET", .target = "/"}, hooks);
         if (!peer) {
           peer = server.Accept();
         }
         WaitUntil("the request", [&] {
           return testing::CountOf(peer->received, "GET /") == round;
         });
         peer->Send(
             "HTTP/1.1 503 S\r\nId: mine\r\nContent-Length: 2\r\n\r\nno");
         WaitUntil("the end", [&] { return ended.over(); });
         CPPUNIT_ASSERT(ended.whole);
       }
       CPPUNIT_ASSERT(!server.listener.hasPendingConnections());
     })});

}  // namespace
}  // namespace acacialug::http
