#include <cppunit/extensions/HelperMacros.h>

#include "framework/http/tests/tls_files.h"
#include "framework/net/frame_channel.h"
#include "framework/net/tests/channel_end.h"
#include "framework/testing/story.h"

namespace acacialug::net {
namespace {

using testing::BadFilesRow;
using testing::ChannelEnd;
using testing::ChannelFixture;
using testing::ForEach;
using testing::HostTls;
using testing::It;
using testing::Local;
using testing::RawPeer;
using testing::Section;
using testing::StrangerTls;
using testing::WaitUntil;

void CarriesLargeFramesBothWays() {
  const ChannelOptions options{.tls = HostTls(),
                               .connect_timeout = testing::kHangLimit};
  ChannelFixture fixture(options);
  ChannelEnd client;
  client.channel =
      ConnectFrameChannel(Local(fixture.port()), options, client.Hooks());
  WaitUntil("open", [&] { return client.opened && fixture.taken.opened; });
  const std::string large(3'000'000, 'a');
  CPPUNIT_ASSERT(client.channel->Send(large));
  CPPUNIT_ASSERT(fixture.taken.channel->Send("small"));
  CPPUNIT_ASSERT(fixture.taken.channel->Send(large));
  WaitUntil("the frames", [&] {
    return client.frames.size() == 2 && fixture.taken.frames.size() == 1;
  });
  CPPUNIT_ASSERT(client.frames[1] == large && fixture.taken.frames[0] == large);
  client.channel->Send("last words");
  client.channel->Close();
  fixture.taken.AwaitClosed();
  CPPUNIT_ASSERT_EQUAL(std::string("last words"), fixture.taken.frames.back());
}

struct PeersRow {
  std::string name;
  http::TlsFiles server;
  http::TlsFiles client;
  Duration handshake_timeout = testing::kHangLimit;
};

// Symptom: an order from nobody knows whom. Sequence: a process outside the
// deployment connects. Cause: a channel handed out before its peer is known.
const Section kRefused = ForEach<PeersRow>(
    "is never handed out",
    {{"to a stranger", HostTls(), StrangerTls()},
     {"to plain text, that sends nothing", HostTls(), {}, 10ms},
     {"by a stranger", StrangerTls(), HostTls()},
     {"by plain text", {}, HostTls()}},
    [](const PeersRow& row) { return row.name; },
    [](const PeersRow& row) {
      ChannelFixture fixture(
          {.tls = row.server, .connect_timeout = row.handshake_timeout});
      ChannelEnd client;
      client.channel = ConnectFrameChannel(
          Local(fixture.port()),
          {.tls = row.client, .connect_timeout = row.handshake_timeout},
          client.Hooks());
      client.AwaitClosed();
      if (row.server.enabled()) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.channels);
      } else {
        fixture.taken.AwaitClosed();
      }
      CPPUNIT_ASSERT(fixture.taken.frames.empty() && client.frames.empty());
      if (!row.client.authority_file.empty()) {
        CPPUNIT_ASSERT(!client.opened);
        CPPUNIT_ASSERT(client.closed->code ==
                           ResultCode::kUnauthenticatedPeer ||
                       !row.server.enabled());
      }
      // The place of the one that failed is free again.
      RawPeer next(fixture.port());
    });

const testing::Story kTls(
    "a frame channel over TLS",
    {It("carries large frames both ways", CarriesLargeFramesBothWays), kRefused,
     ForEach<BadFilesRow>(
         "cannot begin with",
         testing::BadTlsFiles(),
         [](const BadFilesRow& row) { return row.name; },
         [](const BadFilesRow& row) {
           FrameServer server(
               {.listen = {.ip = "127.0.0.1"}, .channel = {.tls = row.files}});
           const Status status = server.Start();
           CPPUNIT_ASSERT(status.error().code ==
                          ResultCode::kCertificateInvalid);
           ChannelEnd client;
           client.channel = ConnectFrameChannel(Local(1), {.tls = row.files},
                                                client.Hooks());
           client.AwaitClosed();
           CPPUNIT_ASSERT(client.closed->code ==
                          ResultCode::kCertificateInvalid);
         })});

}  // namespace
}  // namespace acacialug::net
