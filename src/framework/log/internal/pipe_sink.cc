#include "framework/log/internal/pipe_sink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <string_view>

namespace acacialug::log::internal {
namespace {

// Held lines are written in pieces of this size: it is what the operating
// system surely takes of a pipe that it calls writable.
constexpr std::size_t kPieceBytes = PIPE_BUF;

bool IsWritable(int descriptor) {
  pollfd asked{.fd = descriptor, .events = POLLOUT, .revents = 0};
  return ::poll(&asked, 1, 0) > 0 && (asked.revents & POLLOUT) != 0;
}

}  // namespace

PipeSink::PipeSink(Options sink_options) : options(sink_options) {}

PipeSink::~PipeSink() {
  this->flush_();
}

bool PipeSink::Hold(std::string_view line) {
  if (this->held.size() + line.size() > this->options.max_held_bytes) {
    return false;
  }
  this->held += line;
  return true;
}

void PipeSink::sink_it_(const spdlog::details::log_msg& message) {
  if (this->dropped > 0 &&
      this->Hold(R"({"level":"warning","event":"log_lines_dropped","count":)" +
                 std::to_string(this->dropped) + "}\n")) {
    this->dropped = 0;
  }
  const std::string_view text(message.payload.data(), message.payload.size());
  if (this->dropped > 0 || !this->Hold(std::string(text) + '\n')) {
    ++this->dropped;
  }
  if (this->held.size() >= kPieceBytes) {
    this->flush_();
  }
}

void PipeSink::flush_() {
  std::size_t written = 0;
  while (written < this->held.size() && IsWritable(this->options.descriptor)) {
    const std::size_t piece =
        std::min(kPieceBytes, this->held.size() - written);
    const ssize_t taken =
        ::write(this->options.descriptor, this->held.data() + written, piece);
    if (taken <= 0) {
      break;
    }
    written += static_cast<std::size_t>(taken);
  }
  this->held.erase(0, written);
}

}  // namespace acacialug::log::internal
