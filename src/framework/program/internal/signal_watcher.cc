#include "framework/program/signal_watcher.h"

#include <fcntl.h>
#include <unistd.h>

#include <QSocketNotifier>
#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <utility>

namespace acacialug::program {
namespace {

constexpr std::array<int, 3> kWatched = {SIGTERM, SIGINT, SIGHUP};

// The writing end of the watcher's pipe; -1 without a watcher.
std::atomic<int> pipe_input{-1};

// Runs in signal context: write() is one of the few calls allowed here. A full
// pipe drops the signal; thousands are then waiting already.
void HandleSignal(int signal) {
  const int saved_errno = errno;
  const auto byte = static_cast<unsigned char>(signal);
  [[maybe_unused]] const ssize_t written = write(pipe_input, &byte, 1);
  errno = saved_errno;
}

}  // namespace

class SignalWatcher::Implementation {
 public:
  explicit Implementation(Options watcher_options)
      : options(std::move(watcher_options)) {
    if (pipe2(this->pipe_ends.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
      return;  // out of descriptors at start: signals keep their defaults
    }
    pipe_input = this->pipe_ends[1];
    this->notifier = std::make_unique<QSocketNotifier>(this->pipe_ends[0],
                                                       QSocketNotifier::Read);
    QObject::connect(this->notifier.get(), &QSocketNotifier::activated,
                     [this] { this->Drain(); });
    this->Install();
  }

  ~Implementation() {
    if (!this->notifier) {
      return;
    }
    for (std::size_t index = 0; index < kWatched.size(); ++index) {
      sigaction(kWatched[index], &this->former[index], nullptr);
    }
    this->notifier.reset();
    pipe_input = -1;
    close(this->pipe_ends[0]);
    close(this->pipe_ends[1]);
  }

 private:
  void Install() {
    struct sigaction action {};
    action.sa_handler = HandleSignal;
    action.sa_flags = SA_RESTART;
    sigemptyset(&action.sa_mask);
    for (std::size_t index = 0; index < kWatched.size(); ++index) {
      sigaction(kWatched[index], &action, &this->former[index]);
    }
    struct sigaction ignore {};
    ignore.sa_handler = SIG_IGN;
    sigaction(SIGPIPE, &ignore, nullptr);
  }

  void Drain() {
    std::array<unsigned char, 64> bytes{};
    const ssize_t count = read(this->pipe_ends[0], bytes.data(), bytes.size());
    for (ssize_t index = 0; index < count; ++index) {
      this->Dispatch(bytes[static_cast<std::size_t>(index)]);
    }
  }

  void Dispatch(int signal) {
    if (signal == SIGHUP) {
      if (this->options.on_reload) {
        this->options.on_reload();
      }
      return;
    }
    ++this->terminations;
    if (this->options.on_terminate) {
      this->options.on_terminate(this->terminations);
    }
  }

  Options options;
  int terminations = 0;
  std::array<int, 2> pipe_ends{-1, -1};
  std::array<struct sigaction, kWatched.size()> former{};
  std::unique_ptr<QSocketNotifier> notifier;
};

SignalWatcher::SignalWatcher(Options options)
    : implementation(std::make_unique<Implementation>(std::move(options))) {}
SignalWatcher::~SignalWatcher() = default;

}  // namespace acacialug::program
