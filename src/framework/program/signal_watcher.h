#ifndef FRAMEWORK_PROGRAM_SIGNAL_WATCHER_H_
#define FRAMEWORK_PROGRAM_SIGNAL_WATCHER_H_

#include <functional>
#include <memory>

namespace acacialug::program {

// Turns signals into calls on the Qt event loop of the thread that made it, so
// that what they start may take locks and memory, which a signal handler may
// not. SIGPIPE is ignored from the first watcher on: a peer that closed its
// connection must not end this process.
//
// At most one at a time in a process. Not thread safe.
class SignalWatcher {
 public:
  struct Options {
    // SIGTERM and SIGINT; `count` is 1 for the first, so that a second one can
    // cut a graceful shutdown short.
    std::function<void(int count)> on_terminate;
    // SIGHUP: load settings files and certificates anew.
    std::function<void()> on_reload;
  };

  // Precondition: a QCoreApplication exists, and no other watcher does.
  explicit SignalWatcher(Options options);

  // Gives the signals their former handlers back.
  ~SignalWatcher();

  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::program

#endif  // FRAMEWORK_PROGRAM_SIGNAL_WATCHER_H_
