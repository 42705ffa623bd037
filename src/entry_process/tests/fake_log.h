#ifndef ENTRY_PROCESS_TESTS_FAKE_LOG_H_
#define ENTRY_PROCESS_TESTS_FAKE_LOG_H_

#include <functional>
#include <string>
#include <utility>

#include "cluster/i_log.h"

namespace acacialug::entry_process {

// A log that answers when the test triggers it.
class FakeLog : public cluster::ILog {
 public:
  void Append(const std::string&,
              std::string,
              std::function<void(Result<LogOffset>)> on_done) override {
    this->append_done = std::move(on_done);
  }
  void ReadFrom(const std::string&,
                LogOffset,
                std::size_t,
                Duration,
                std::function<void(Result<Read>)> on_done) override {
    this->read_done = std::move(on_done);
  }

  std::function<void(Result<LogOffset>)> append_done;
  std::function<void(Result<Read>)> read_done;
};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_TESTS_FAKE_LOG_H_
