#ifndef LOAD_LOAD_RUN_H_
#define LOAD_LOAD_RUN_H_

#include <functional>
#include <memory>

#include "load/types/load_plan.h"
#include "load/types/load_report.h"

namespace acacialug::load {

// Runs one plan on the thread's Qt event loop: reads the stand-ins' figures,
// sends requests at their arrivals without waiting for answers, waits for the
// last answers, reads the figures again and reports. Not thread safe.
class LoadRun {
 public:
  LoadRun(LoadPlan plan, std::function<void(const LoadReport&)> on_done);
  ~LoadRun();

  // Precondition: called once.
  void Start();

  // Sends no more requests. The report follows when all outstanding ones have
  // ended, or after the drain limit.
  void Stop();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::load

#endif  // LOAD_LOAD_RUN_H_
