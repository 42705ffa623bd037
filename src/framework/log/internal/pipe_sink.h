#ifndef FRAMEWORK_LOG_INTERNAL_PIPE_SINK_H_
#define FRAMEWORK_LOG_INTERNAL_PIPE_SINK_H_

#include <spdlog/sinks/base_sink.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace acacialug::log::internal {

// Writes lines to a descriptor without ever waiting for its reader: a log
// collector that stands still must not stop the requests. What the reader does
// not take is held; beyond the limit whole lines are dropped, and the next line
// that fits says how many. Thread safe.
class PipeSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  struct Options {
    int descriptor = -1;  // not owned
    std::size_t max_held_bytes = 0;
  };

  explicit PipeSink(Options sink_options);
  ~PipeSink() override;

 protected:
  // NOLINTNEXTLINE(readability-identifier-naming): spdlog's name
  void sink_it_(const spdlog::details::log_msg& message) override;
  // NOLINTNEXTLINE(readability-identifier-naming): spdlog's name
  void flush_() override;

 private:
  bool Hold(std::string_view line);

  const Options options;
  std::string held;
  std::uint64_t dropped = 0;
};

}  // namespace acacialug::log::internal

#endif  // FRAMEWORK_LOG_INTERNAL_PIPE_SINK_H_
