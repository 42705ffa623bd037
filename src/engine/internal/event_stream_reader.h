#ifndef ENGINE_INTERNAL_EVENT_STREAM_READER_H_
#define ENGINE_INTERNAL_EVENT_STREAM_READER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace acacialug::engine {

// Takes server-sent events (the `data` fields of text/event-stream) out of
// bytes that come cut anywhere. Not thread safe.
class EventStreamReader {
 public:
  // An event of more bytes than `max_event_bytes` breaks the stream: an
  // engine that never ends a line would otherwise take all memory.
  explicit EventStreamReader(std::size_t max_event_bytes)
      : max_bytes(max_event_bytes) {}

  // Adds bytes; take the events they complete by Next.
  void Feed(std::string_view bytes);

  // The data of the next whole event, without its line end; empty when more
  // bytes are needed. Events without data (comments) are skipped.
  std::optional<std::string> Next();

  // An event was too long; nothing more will come.
  bool broken() const { return this->too_long; }

 private:
  std::optional<std::string_view> NextLine();
  void TakeField(std::string_view line);
  void DropTakenBytes();

  std::size_t max_bytes;
  std::string buffer;
  std::size_t taken = 0;  // bytes of `buffer` already read as lines
  std::string data;       // of the event under way
  bool has_data = false;
  bool too_long = false;
};

}  // namespace acacialug::engine

#endif  // ENGINE_INTERNAL_EVENT_STREAM_READER_H_
