#ifndef GATEWAY_EVENT_SPLITTER_H_
#define GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acacialug::gateway {

// One whole event of a stream, byte for byte.
struct StreamEvent {
  std::string bytes;  // with the empty line that ends it
  std::optional<std::uint64_t> id;
};

// Cuts a stream of server-sent events into whole events, so that an endpoint
// which breaks off in the middle of one leaves no half event with the caller,
// and another endpoint can go on after the last whole one. Not thread safe.
class EventSplitter {
 public:
  // An event longer than this is no event of an endpoint's.
  static constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20;

  // The events that are whole now.
  std::vector<StreamEvent> Take(std::string_view bytes);

  // Bytes of an event that is not whole.
  const std::string& rest() const { return this->pending; }
  bool overflowed() const { return this->pending.size() > kMaxEventBytes; }
  void Clear() { this->pending.clear(); }

 private:
  std::string pending;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_EVENT_SPLITTER_H_
