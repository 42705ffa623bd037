#ifndef SCENARIO_INTERNAL_PLATFORM_LOG_H_
#define SCENARIO_INTERNAL_PLATFORM_LOG_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "framework/global/random_source.h"
#include "scenario/internal/event_queue.h"
#include "standin/platform_models.h"

namespace acacialug::scenario {

// The platform's log as the processes of a simulation reach it. It may be slow
// or out, or lose the answers of appends after their effect. Not thread safe.
class PlatformLog {
 public:
  using OnAppended = std::function<void(const Result<LogOffset>&)>;
  using OnRead = std::function<void(const Result<cluster::ILog::Read>&)>;

  struct Faults {
    bool outage = false;
    bool lose_answers = false;  // of appends, after the effect
    Duration delay{};           // in addition to the simulation's
    double lost_share = 0;      // of answers, of reads and appends alike
  };

  PlatformLog(EventQueue& event_queue,
              standin::LogOptions log_options,
              Duration log_delay,
              std::uint64_t seed)
      : queue(event_queue),
        model(log_options),
        delay(log_delay),
        random(seed) {}

  // Hooks run later, never from inside the call.
  void Append(const std::string& stream,
              std::string payload,
              OnAppended on_done);
  void ReadFrom(const std::string& stream,
                LogOffset from,
                Duration wait,
                const OnRead& on_done);

  void Set(const Faults& new_faults);
  const Faults& faults() const { return this->current; }

 private:
  // A read that the log holds until it has a record for it.
  struct Waiting {
    std::string stream;
    LogOffset from;
    Instant until;
    OnRead on_done;
  };

  void Take(const std::string& stream,
            const std::string& payload,
            const OnAppended& on_done);
  void Answer(const Waiting& read);
  void AnswerWaitingReads();
  // Draws whether the next answer is lost.
  bool Loses();

  EventQueue& queue;
  standin::LogModel model;
  Duration delay;
  RandomSource random;
  Faults current;
  std::vector<Waiting> waiting;
};

}  // namespace acacialug::scenario

#endif  // SCENARIO_INTERNAL_PLATFORM_LOG_H_
