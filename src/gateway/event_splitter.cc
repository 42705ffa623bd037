#include "gateway/event_splitter.h"

#include <charconv>
#include <utility>

#include "framework/global/append_bytes.h"

namespace acacialug::gateway {
namespace {

// The end of the first complete event in `text` from `from` on, which is after
// an empty line. Lines end in LF or CRLF.
std::size_t FindEventEnd(std::string_view text, std::size_t from) {
  for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    const std::string_view rest = text.substr(at + 1);
    if (rest.starts_with('\n')) {
      return at + 2;
    }
    if (rest.starts_with("\r\n")) {
      return at + 3;
    }
  }
  return std::string_view::npos;
}

// Comments are lines that begin with a colon.
bool HasOnlyComments(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    const std::string_view line = event.substr(0, end);
    if (!line.starts_with(':') &&
        line.find_first_not_of('\r') != std::string_view::npos) {
      return false;
    }
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
  }
  return true;
}

std::optional<std::uint64_t> ParseId(std::string_view event) {
  constexpr std::string_view kField = "id:";
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (!line.starts_with(kField)) {
      continue;
    }
    line.remove_prefix(kField.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto read =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (read.ec == std::errc()) {
      return id;
    }
  }
  return std::nullopt;
}

}  // namespace

void EventSplitter::Clear() {
  FreeBytes(this->pending);
}

std::vector<StreamEvent> EventSplitter::Take(std::string_view bytes) {
  // The empty line may have begun in the bytes of an earlier call.
  constexpr std::size_t kMaxSeparatorBytes = 3;
  const std::size_t searched = this->pending.size() > kMaxSeparatorBytes
                                   ? this->pending.size() - kMaxSeparatorBytes
                                   : 0;
  AppendBytes(this->pending, bytes);
  std::vector<StreamEvent> events;
  std::size_t begin = 0;
  std::size_t from = searched;
  for (std::size_t end = FindEventEnd(this->pending, from);
       end != std::string::npos; end = FindEventEnd(this->pending, from)) {
    const std::string_view event =
        std::string_view(this->pending).substr(begin, end - begin);
    const std::optional<std::uint64_t> id = ParseId(event);
    const bool only_comments = !id && HasOnlyComments(event);
    if (only_comments && !events.empty() && events.back().only_comments) {
      events.back().bytes += event;
    } else {
      events.push_back({.bytes = std::string(event),
                        .id = id,
                        .only_comments = only_comments});
    }
    begin = end;
    from = end;
  }
  this->pending.erase(0, begin);
  return events;
}

}  // namespace acacialug::gateway
