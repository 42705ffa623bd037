#include "framework/net/datagram_socket.h"

#include <QNetworkProxy>
#include <QUdpSocket>
#include <string>
#include <vector>

#include "framework/net/tests/channel_end.h"
#include "framework/testing/story.h"

namespace acacialug::testing {
namespace {

const http::Address kAnyPort{.ip = "127.0.0.1"};

// A bound socket, and what came to it.
struct Receiver {
  std::vector<std::string> datagrams;
  http::Address from;
  net::DatagramSocket socket{
      {.max_bytes = 8,
       .max_a_turn = 2,
       .on_datagram = [this](std::string_view datagram,
                             const http::Address& sender) {
         this->datagrams.emplace_back(datagram);
         this->from = sender;
       }}};

  Receiver() { CPPUNIT_ASSERT(this->socket.Bind(kAnyPort).ok()); }
  void Await(std::size_t count) {
    WaitUntil("datagrams", [&] {
      return this->datagrams.size() + this->socket.counters().too_long >= count;
    });
  }
};

const Story kDatagrams(
    "a datagram socket",
    {It("brings datagrams whole, and the address to answer to",
        [] {
          Receiver one;
          Receiver two;
          CPPUNIT_ASSERT(one.socket.Send("hello", Local(two.socket.port())));
          CPPUNIT_ASSERT(one.socket.Send("", Local(two.socket.port())));
          two.Await(2);
          CPPUNIT_ASSERT(two.datagrams ==
                         (std::vector<std::string>{"hello", ""}));
          CPPUNIT_ASSERT(two.socket.Send("answer", two.from));
          one.Await(1);
          CPPUNIT_ASSERT_EQUAL(std::string("answer"), one.datagrams.front());
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{5},
                               two.socket.counters().received_bytes);
        }),
     It("takes more than a turn's worth, in several turns",
        [] {
          Receiver one;
          Receiver two;
          for (int i = 0; i < 7; ++i) {
            one.socket.Send(std::to_string(i), Local(two.socket.port()));
          }
          two.Await(7);
          CPPUNIT_ASSERT_EQUAL(std::string("6"), two.datagrams.back());
        }),
     It("gives what lies unread when asked, up to a turn's worth",
        [] {
          Receiver one;
          Receiver two;
          for (int i = 0; i < 3; ++i) {
            one.socket.Send(std::to_string(i), Local(two.socket.port()));
          }
          CPPUNIT_ASSERT(!two.socket.ReadPending());
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, two.datagrams.size());
          CPPUNIT_ASSERT(two.socket.ReadPending());
          CPPUNIT_ASSERT_EQUAL(std::size_t{3}, two.datagrams.size());
        }),
     // Symptom: a stranger's datagram takes memory, or looks like a shorter,
     // valid one. Sequence: it is longer than any of ours. Cause: reading
     // into a buffer of the expected size cuts it silently.
     It("drops what is too long, and goes on",
        [] {
          Receiver one;
          QUdpSocket stranger;
          stranger.setProxy(QNetworkProxy::NoProxy);
          const std::string too_long(9, 'a');
          stranger.writeDatagram(too_long.data(), 9, QHostAddress("127.0.0.1"),
                                 one.socket.port());
          stranger.writeDatagram("good", 4, QHostAddress("127.0.0.1"),
                                 one.socket.port());
          one.Await(2);
          CPPUNIT_ASSERT(one.datagrams == std::vector<std::string>{"good"});
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                               one.socket.counters().too_long);
          CPPUNIT_ASSERT(!one.socket.Send(too_long, Local(1)));
        }),
     It("tells that its port is taken", [] {
       Receiver one;
       net::DatagramSocket two({});
       CPPUNIT_ASSERT(
           two.Bind(Local(one.socket.port())).error().result_code() ==
           ResultCode::kAddressInUse);
     })});

}  // namespace
}  // namespace acacialug::testing
