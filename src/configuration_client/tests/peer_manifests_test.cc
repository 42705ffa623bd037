#include "configuration_client/peer_manifests.h"

#include <cppunit/extensions/HelperMacros.h>

#include <QEventLoop>
#include <QTimer>
#include <memory>

#include "framework/http/http_server.h"
#include "framework/testing/story.h"

namespace acacialug::configuration_client {
namespace {

using testing::ForEach;
using testing::It;

constexpr int kGuardMilliseconds = 20'000;

// A peer that serves `body` as its page.
std::unique_ptr<http::Server> ServePage(const std::string& body) {
  auto server = std::make_unique<http::Server>(http::ServerOptions{
      .listen = {.ip = "127.0.0.1"}, .make_handler = [body](int) {
        return
            [body](const http::Request&, const http::ResponderPtr& responder) {
              responder->SendWhole({.body = body});
            };
      }});
  CPPUNIT_ASSERT(server->Start().ok());
  return server;
}

const testing::Story kPeers(
    "a peer's manifest",
    {It("is parsed from its rendered page",
        [] {
          const Result<PeerManifest> read = ParsePeerManifest(
              RenderPeerManifest({.offset = LogOffset(7), .text = "a\n\"b\""}));
          CPPUNIT_ASSERT(read.ok());
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, read->offset.value);
          CPPUNIT_ASSERT_EQUAL(std::string("a\n\"b\""), read->text);
        }),
     ForEach<std::string>(
         "is not parsed from",
         {"", "[]", "{\"offset\": 1}", "{\"offset\": -1, \"text\": \"x\"}",
          "{\"offset\": 1, \"text\": 2}"},
         [](const std::string& body) { return "'" + body + "'"; },
         [](const std::string& body) {
           CPPUNIT_ASSERT(!ParsePeerManifest(body).ok());
         }),
     // Symptom: a host that started in a log outage used an old manifest.
     // Sequence: the peer that answered first had itself been cut off.
     // Cause: the first answer was treated as the newest.
     It("is the newest of all valid answers", [] {
       const auto old_peer =
           ServePage(RenderPeerManifest({.offset = LogOffset(3), .text = "a"}));
       const auto new_peer =
           ServePage(RenderPeerManifest({.offset = LogOffset(9), .text = "b"}));
       const auto broken_peer = ServePage("nonsense");
       http::Client client({});
       PeerManifests peers({{"127.0.0.1", old_peer->port()},
                            {"127.0.0.1", new_peer->port()},
                            {"127.0.0.1", broken_peer->port()}},
                           client);
       std::vector<std::uint64_t> received;
       QEventLoop loop;
       QTimer::singleShot(kGuardMilliseconds, &loop, &QEventLoop::quit);
       peers.FetchNewest([&](const PeerManifest& newest) {
         received.push_back(newest.offset.value);
         loop.quit();
       });
       loop.exec();
       CPPUNIT_ASSERT((std::vector<std::uint64_t>{9}) == received);
     })});

}  // namespace
}  // namespace acacialug::configuration_client
