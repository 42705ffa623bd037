#include "framework/log/log.h"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <unistd.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

#include "framework/log/internal/line.h"
#include "framework/log/internal/pipe_sink.h"

namespace acacialug::log {
namespace {

spdlog::level::level_enum LibraryLevel(Level level) {
  switch (level) {
    case Level::kDebug:
      return spdlog::level::debug;
    case Level::kInfo:
      return spdlog::level::info;
    case Level::kWarning:
      return spdlog::level::warn;
    case Level::kError:
      return spdlog::level::err;
    case Level::kOff:
      return spdlog::level::off;
  }
  return spdlog::level::info;
}

// Throws spdlog::spdlog_ex when the file cannot be opened.
spdlog::sink_ptr MakeSink(const LogOptions& options) {
  if (options.stream != nullptr) {
    return std::make_shared<spdlog::sinks::ostream_sink_mt>(*options.stream);
  }
  if (options.standard_output) {
    return std::make_shared<internal::PipeSink>(internal::PipeSink::Options{
        .descriptor = STDOUT_FILENO, .max_held_bytes = kMaxHeldBytes});
  }
  if (!options.file.empty()) {
    return std::make_shared<spdlog::sinks::basic_file_sink_mt>(options.file);
  }
  return std::make_shared<spdlog::sinks::stderr_sink_mt>();
}

// The destination that lines go to. A line under way keeps the old one alive
// while Configure puts another in its place.
struct Destination {
  std::string program;
  std::shared_ptr<spdlog::logger> logger;
};

class ProcessLog {
 public:
  ProcessLog() {
    const Status ignored = this->Configure({});  // standard error always opens
    (void)ignored;
  }

  Status Configure(const LogOptions& options) {
    auto destination = std::make_shared<Destination>();
    destination->program = options.program;
    try {
      destination->logger =
          std::make_shared<spdlog::logger>("acacialug", MakeSink(options));
    } catch (const spdlog::spdlog_ex& exception) {
      return acacialug::Error(ResultCode::kSettingsUnreadable,
                              exception.what());
    }
    destination->logger->set_pattern("%v");
    destination->logger->set_level(LibraryLevel(options.level));
    // Lines to standard output are written many at a time, by Flush.
    destination->logger->flush_on(
        LibraryLevel(options.standard_output ? Level::kError : Level::kDebug));
    const std::lock_guard lock(this->mutex);
    this->current = std::move(destination);
    this->level = options.level;
    return Success{};
  }

  bool Enabled(Level asked) const {
    return asked >= this->level.load(std::memory_order_relaxed);
  }

  std::shared_ptr<const Destination> Current() {
    const std::lock_guard lock(this->mutex);
    return this->current;
  }

 private:
  std::atomic<Level> level{Level::kInfo};
  std::mutex mutex;
  std::shared_ptr<const Destination> current;  // guarded by mutex
};

// Never destroyed, so that a line from a static object's destructor is good.
ProcessLog& TheLog() {
  static auto* const kLog = new ProcessLog();
  return *kLog;
}

}  // namespace

Status Configure(const LogOptions& options) {
  return TheLog().Configure(options);
}

bool Enabled(Level level) {
  return TheLog().Enabled(level);
}

void Flush() {
  TheLog().Current()->logger->flush();
}

void Write(Level level, std::string_view event, const Record& record) {
  ProcessLog& log = TheLog();
  if (level == Level::kOff || !log.Enabled(level)) {
    return;
  }
  const std::shared_ptr<const Destination> destination = log.Current();
  destination->logger->log(
      LibraryLevel(level),
      internal::Line(std::chrono::system_clock::now(), level,
                     destination->program, event, record));
}

void WriteLimited(RepeatLimiter& limiter,
                  Instant now,
                  Level level,
                  std::string_view event,
                  Record record) {
  if (!Enabled(level)) {
    return;
  }
  const std::optional<std::uint64_t> suppressed = limiter.Allow(event, now);
  if (!suppressed) {
    return;
  }
  if (*suppressed > 0) {
    record.fields.emplace_back("suppressed", *suppressed);
  }
  Write(level, event, record);
}

}  // namespace acacialug::log
