#ifndef FRAMEWORK_NET_DATAGRAM_SOCKET_H_
#define FRAMEWORK_NET_DATAGRAM_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "framework/global/types/instant.h"
#include "framework/global/types/result.h"
#include "framework/http/http_types.h"

namespace acacialug::net {

struct DatagramCounters {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;  // of contents, without headers
  std::uint64_t not_sent = 0;    // the operating system did not take it
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t too_long = 0;  // dropped unread
};

// A UDP socket for small datagrams. Lives on one thread with a Qt event loop;
// not thread safe.
class DatagramSocket {
 public:
  struct Options {
    std::size_t max_bytes = 1200;
    // Taken in one turn of the event loop: a flood of datagrams must not keep
    // the loop from the frames.
    std::size_t max_a_turn = 64;
    // `datagram` is valid during the call.
    std::function<void(std::string_view datagram, const http::Address& from)>
        on_datagram;
    // Every datagram that had arrived by `since` has been handed over. May be
    // empty.
    std::function<void(Instant since)> on_emptied;
    std::function<Instant()> now = MonotonicNow;
  };

  explicit DatagramSocket(Options options);
  ~DatagramSocket();

  // Port 0: the operating system chooses. Errors: kAddressInUse.
  Status Bind(const http::Address& address);
  // Zero before Bind.
  std::uint16_t port() const;

  // Sends at once or, when the operating system has no room, not at all:
  // datagrams get lost on the way as well. False: not sent, or too long.
  bool Send(std::string_view datagram, const http::Address& to);

  // Takes what lies unread now, as the event loop would in its next turn, for
  // an owner that is about to conclude something from silence: after its thread
  // stood still, its timers may run first. False: more is left than is taken in
  // a turn, and comes by the event loop. Not from on_datagram.
  bool ReadPending();

  const DatagramCounters& counters() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::net

#endif  // FRAMEWORK_NET_DATAGRAM_SOCKET_H_
