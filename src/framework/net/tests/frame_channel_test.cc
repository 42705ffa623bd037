#include "framework/net/frame_channel.h"

#include <cppunit/extensions/HelperMacros.h>

#include "framework/net/tests/channel_end.h"
#include "framework/testing/story.h"

namespace acacialug::net {
namespace {

using testing::ChannelEnd;
using testing::ChannelFixture;
using testing::ForEach;
using testing::It;
using testing::Local;
using testing::RawPeer;
using testing::RawServer;
using testing::Section;
using testing::WaitUntil;

constexpr std::size_t kMaxFrame = 1000;
constexpr char kVersion = net::kProtocolVersion;

const ChannelOptions kOptions{.limits = {.max_frame_bytes = kMaxFrame}};

std::string Frame(const std::string& payload,
                  char version = net::kProtocolVersion) {
  const std::size_t length = payload.size() + 1;
  std::string bytes;
  for (const int shift : {0, 8, 16, 24}) {
    bytes += static_cast<char>(length >> shift & 0xff);
  }
  return bytes + version + payload;
}

struct BytesRow {
  std::string name;
  std::vector<std::string> segments;
  std::size_t frames;
  ResultCode code = ResultCode::kOk;
};

std::vector<std::string> SingleBytes(const std::string& text) {
  std::vector<std::string> bytes;
  for (const char byte : text) {
    bytes.emplace_back(1, byte);
  }
  return bytes;
}

std::string Many(std::size_t count) {
  std::string bytes;
  for (std::size_t frame = 0; frame < count; ++frame) {
    bytes += Frame(std::string(frame % 7, 'a'));
  }
  return bytes;
}

const Section kBytes = ForEach<BytesRow>(
    "that receives",
    {{"a frame in single bytes", SingleBytes(Frame("abc") + Frame("")), 2},
     {"many frames in one segment", {Many(50'000)}, 50'000},
     {"a frame of exactly the limit", {Frame(std::string(kMaxFrame, 'a'))}, 1},
     {"a frame over the limit",
      {Frame("good") + Frame(std::string(kMaxFrame + 1, 'a'))},
      1,
      ResultCode::kFrameTooLarge},
     {"a head that claims 4 GB",
      {std::string("\xff\xff\xff\xff") + kVersion},
      0,
      ResultCode::kFrameTooLarge},
     {"a frame of another version",
      {Frame("good") + Frame("bad", net::kProtocolVersion + 1) +
       Frame("never")},
      1,
      ResultCode::kProtocolVersion},
     {"what is not a frame",
      {"GET / HTTP/1.1\r\n"},
      0,
      ResultCode::kProtocolVersion},
     {"a frame of no length",
      {std::string(4, '\0') + kVersion},
      0,
      ResultCode::kBadFrame}},
    [](const BytesRow& row) { return row.name; },
    [](const BytesRow& row) {
      ChannelFixture fixture(kOptions);
      RawPeer peer(fixture.port());
      std::size_t bytes = 0;
      for (const std::string& segment : row.segments) {
        peer.Send(segment);
        bytes += segment.size();
        QCoreApplication::processEvents();
      }
      if (row.code == ResultCode::kOk) {
        WaitUntil("the frames",
                  [&] { return fixture.taken.frames.size() == row.frames; });
        CPPUNIT_ASSERT_EQUAL(
            bytes,
            static_cast<std::size_t>(fixture.taken.channel->bytes_received()));
        peer.socket->disconnectFromHost();
        fixture.taken.AwaitClosed();
        CPPUNIT_ASSERT(fixture.taken.closed->code ==
                       ResultCode::kConnectionLost);
      } else {
        fixture.taken.AwaitClosed();
        CPPUNIT_ASSERT(fixture.taken.closed->code == row.code);
        peer.AwaitClose();
      }
      CPPUNIT_ASSERT_EQUAL(row.frames, fixture.taken.frames.size());
      CPPUNIT_ASSERT(!fixture.taken.channel->open());
      CPPUNIT_ASSERT(!fixture.taken.channel->Send("late"));
      CPPUNIT_ASSERT_EQUAL(1, fixture.taken.closes);
    });

void CarriesFramesBothWays() {
  ChannelFixture fixture(kOptions);
  ChannelEnd client;
  client.channel =
      ConnectFrameChannel(Local(fixture.port()), {}, client.Hooks());
  CPPUNIT_ASSERT(!client.channel->Send("too early"));
  WaitUntil("open", [&] { return client.opened && fixture.taken.opened; });
  CPPUNIT_ASSERT(client.channel->Send("to the server"));
  CPPUNIT_ASSERT(fixture.taken.channel->Send("to the client"));
  WaitUntil("both frames", [&] {
    return !client.frames.empty() && !fixture.taken.frames.empty();
  });
  CPPUNIT_ASSERT_EQUAL(std::string("to the server"), fixture.taken.frames[0]);
  CPPUNIT_ASSERT_EQUAL(std::string("to the client"), client.frames[0]);
  CPPUNIT_ASSERT_EQUAL(client.channel->bytes_sent(),
                       fixture.taken.channel->bytes_received());
  CPPUNIT_ASSERT(!fixture.taken.channel->Send(std::string(kMaxFrame + 1, 'a')));
  CPPUNIT_ASSERT(fixture.taken.channel->open());
}

void CloseSendsWhatWasQueued() {
  ChannelFixture fixture(kOptions);
  ChannelEnd client;
  client.channel =
      ConnectFrameChannel(Local(fixture.port()), {}, client.Hooks());
  WaitUntil("open", [&] { return client.opened && fixture.taken.opened; });
  client.channel->Send("last words");
  client.channel->Close();
  client.channel.reset();
  fixture.taken.AwaitClosed();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.taken.frames.size());
  CPPUNIT_ASSERT_EQUAL(0, client.closes);
}

void MayBeLetGoFromItsHooks() {
  ChannelFixture fixture(kOptions);
  ChannelEnd client;
  int calls = 0;
  client.channel =
      ConnectFrameChannel(Local(fixture.port()), {},
                          {.on_frame =
                               [&](const std::string&) {
                                 ++calls;
                                 client.channel.reset();
                               },
                           .on_closed = [&](const Error&) { ++calls; }});
  WaitUntil("open", [&] { return fixture.taken.opened; });
  fixture.taken.channel->Send("one");
  fixture.taken.channel->Send("two");
  fixture.taken.AwaitClosed();
  CPPUNIT_ASSERT_EQUAL(1, calls);
}

void PeerThatDoesNotReadIsClosed() {
  // Symptom: the process grows without bound. Sequence: the peer's process
  // hangs while frames for it keep coming. Cause: the queue has no limit.
  RawServer server;
  ChannelEnd client;
  client.channel = ConnectFrameChannel(
      Local(server.port()), {.limits = {.max_unsent_bytes = 1'000'000}},
      client.Hooks());
  const auto peer = server.Accept();
  peer->socket->setReadBufferSize(1);
  WaitUntil("open", [&] { return client.opened; });
  const std::string payload(100'000, 'a');
  while (client.channel->Send(payload)) {
    CPPUNIT_ASSERT(client.channel->unsent_bytes() <= 1'000'000);
    QCoreApplication::processEvents();
  }
  CPPUNIT_ASSERT_EQUAL(0, client.closes);  // never from inside Send
  client.AwaitClosed();
  CPPUNIT_ASSERT(client.closed->code == ResultCode::kConnectionLost);
  CPPUNIT_ASSERT(!client.channel->open());
}

void RefusedConnectionIsTold() {
  std::uint16_t free_port = 0;
  {
    RawServer server;
    free_port = server.port();
  }
  ChannelEnd client;
  client.channel = ConnectFrameChannel(Local(free_port), {}, client.Hooks());
  CPPUNIT_ASSERT_EQUAL(0, client.closes);  // not from inside the call
  client.AwaitClosed();
  CPPUNIT_ASSERT(client.closed->code == ResultCode::kConnectionLost);
  CPPUNIT_ASSERT(!client.opened);
}

// An entry whose processor was busy for longer than the connect timeout closed
// each connection that it was opening as "not connected in time", and began
// again, though the kernel had opened them long before. The timeout rang in the
// same turn of the event loop in which the socket told that it was open: Qt
// tells of that by a queued call, which comes after the timers.
void IsOpenedInSpiteOfAStandstill() {
  RawServer server;
  ChannelEnd client;
  client.channel = ConnectFrameChannel(
      Local(server.port()), {.connect_timeout = 10ms}, client.Hooks());
  const Instant awake = MonotonicNow() + 200ms;
  while (MonotonicNow() < awake) {
    // The process does something else, and no event is handled.
  }
  WaitUntil("an end", [&] { return client.opened || client.closes > 0; });
  CPPUNIT_ASSERT_EQUAL(0, client.closes);
  CPPUNIT_ASSERT(client.channel->Send("first words"));
}

void ChannelsOverTheLimitAreClosed() {
  ChannelFixture fixture({}, 1);
  RawPeer first(fixture.port());
  WaitUntil("the first", [&] { return fixture.channels == 1; });
  RawPeer second(fixture.port());
  second.AwaitClose();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.channels);
  first.socket->disconnectFromHost();
  fixture.taken.AwaitClosed();
  RawPeer third(fixture.port());
  WaitUntil("the third", [&] { return fixture.channels == 2; });
}

const testing::Story kChannel(
    "a frame channel",
    {kBytes, It("carries frames both ways", CarriesFramesBothWays),
     It("sends what was queued before it closes", CloseSendsWhatWasQueued),
     It("may be let go from its own hooks", MayBeLetGoFromItsHooks),
     It("gives up a peer that does not read", PeerThatDoesNotReadIsClosed),
     It("tells of a refused connection", RefusedConnectionIsTold),
     It("is opened though its process stood still past the timeout",
        IsOpenedInSpiteOfAStandstill),
     It("is refused over the server's limit and taken once there is room",
        ChannelsOverTheLimitAreClosed)});

}  // namespace
}  // namespace acacialug::net
