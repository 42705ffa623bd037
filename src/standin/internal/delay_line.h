#ifndef STANDIN_INTERNAL_DELAY_LINE_H_
#define STANDIN_INTERNAL_DELAY_LINE_H_

#include <QTimer>
#include <deque>
#include <functional>

#include "framework/global/types/instant.h"

namespace acacialug::standin {

// Runs tasks after a fixed delay, in the order in which they were added: one
// direction of a network. With no delay they run at once. Lives on one thread
// with a Qt event loop; tasks that are queued when it is destroyed never run.
class DelayLine {
 public:
  explicit DelayLine(Duration one_way_delay);

  void Run(std::function<void()> task);

 private:
  struct Waiting {
    Instant due;
    std::function<void()> task;
  };

  void RunDue();
  void Arm();

  Duration delay;
  std::deque<Waiting> waiting;
  QTimer timer;
};

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_DELAY_LINE_H_
