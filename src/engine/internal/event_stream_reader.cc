#include "engine/internal/event_stream_reader.h"

#include <utility>

namespace acacialug::engine {

void EventStreamReader::Feed(std::string_view bytes) {
  if (this->too_long) {
    return;
  }
  this->DropTakenBytes();
  this->buffer.append(bytes);
}

std::optional<std::string> EventStreamReader::Next() {
  while (const auto line = this->NextLine()) {
    if (!line->empty()) {
      this->TakeField(*line);
      continue;
    }
    if (std::exchange(this->has_data, false)) {
      return std::exchange(this->data, {});
    }
  }
  return std::nullopt;
}

std::optional<std::string_view> EventStreamReader::NextLine() {
  const std::string_view rest =
      std::string_view(this->buffer).substr(this->taken);
  const std::size_t end = rest.find('\n');
  const std::size_t length = end == std::string_view::npos ? rest.size() : end;
  if (length + this->data.size() > this->max_bytes) {
    this->too_long = true;
    this->buffer.clear();
    this->taken = 0;
  }
  if (this->too_long || end == std::string_view::npos) {
    return std::nullopt;
  }
  this->taken += end + 1;
  std::string_view line = rest.substr(0, end);
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

void EventStreamReader::TakeField(std::string_view line) {
  constexpr std::string_view kData = "data:";
  if (!line.starts_with(kData)) {
    return;  // a comment, or a field that these protocols don't use
  }
  line.remove_prefix(kData.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  if (std::exchange(this->has_data, true)) {
    this->data.push_back('\n');
  }
  this->data.append(line);
}

void EventStreamReader::DropTakenBytes() {
  this->buffer.erase(0, this->taken);
  this->taken = 0;
}

}  // namespace acacialug::engine
