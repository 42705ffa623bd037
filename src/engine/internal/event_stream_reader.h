#ifndef ENGINE_INTERNAL_EVENT_STREAM_READER_H_
#define ENGINE_INTERNAL_EVENT_STREAM_READER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace acacialug::engine {

// Parses server-sent events (the `data` fields of text/event-stream) from bytes
// that may be split at any point. Not thread safe.
class EventStreamReader {
 public:
  // An event of more than `max_event_bytes` bytes breaks the stream: an engine
  // that never ends a line would otherwise use all memory.
  explicit EventStreamReader(std::size_t max_event_bytes)
      : max_bytes(max_event_bytes) {}

  // Adds bytes. Next returns the events that they complete.
  void Feed(std::string_view bytes);

  // The data of the next whole event, without its line end; empty when more
  // bytes are needed. Events without data (comments) are skipped.
  std::optional<std::string> Next();

  // An event was too long; Next returns no further event.
  bool broken() const { return this->too_long; }

 private:
  std::optional<std::string_view> NextLine();
  void TakeField(std::string_view line);
  void DropTakenBytes();

  std::size_t max_bytes;
  std::string buffer;
  std::size_t taken = 0;  // bytes of `buffer` already read as lines
  std::string data;       // of the current event
  bool has_data = false;
  bool too_long = false;
};

}  // namespace acacialug::engine

#endif  // ENGINE_INTERNAL_EVENT_STREAM_READER_H_
