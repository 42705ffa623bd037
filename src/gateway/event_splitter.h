#ifndef GATEWAY_EVENT_SPLITTER_H_
#define GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acacialug::gateway {

// One complete event of a stream, byte for byte, or several in a row that have
// only comments.
struct StreamEvent {
  std::string bytes;  // with the empty line that ends each
  std::optional<std::uint64_t> id;
  bool only_comments = false;  // keeps the connection alive and has no content
};

// Splits a stream of server-sent events into complete events. If an endpoint
// breaks off in the middle of an event, the caller has received no partial
// event, and another endpoint can continue after the last complete one. Not
// thread safe.
class EventSplitter {
 public:
  // Endpoints send no event longer than this.
  static constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20;

  // Adds `bytes` and returns the events that are complete now.
  std::vector<StreamEvent> Take(std::string_view bytes);

  // The bytes of an event that is not complete.
  const std::string& rest() const { return this->pending; }
  // Whether an event has begun and is not complete. Empty lines begin none.
  bool inside_event() const {
    return this->pending.find_first_not_of("\r\n") != std::string::npos;
  }
  bool overflowed() const { return this->pending.size() > kMaxEventBytes; }
  // Frees what an incomplete event has allocated.
  void Clear();

 private:
  std::string pending;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_EVENT_SPLITTER_H_
