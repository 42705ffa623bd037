#ifndef LOAD_INTERNAL_STAND_IN_READER_H_
#define LOAD_INTERNAL_STAND_IN_READER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "framework/http/http_client.h"
#include "load/execution_check.h"
#include "load/types/load_plan.h"
#include "load/types/load_report.h"

namespace acacialug::load {

// Sums of what the stand-ins have counted since their start.
struct StandInTotals {
  StandInFigures figures;
  // Empty if there are no plain stand-ins or one did not answer.
  std::optional<Executions> executions;
};

// What was added between two readings. Thread safe.
StandInFigures Difference(const StandInTotals& before,
                          const StandInTotals& after);

// Queries all stand-ins of a plan for their counts. Lives on one thread with a
// Qt event loop; not thread safe.
class StandInReader {
 public:
  // `plan` outlives this.
  explicit StandInReader(const LoadPlan& plan);

  // `on_read` runs when all have answered or failed, never from inside Read.
  // Precondition: no reading is in progress.
  void Read(std::function<void(const StandInTotals&)> on_read);

 private:
  using Take = std::function<void(const std::string& body)>;

  void Query(const http::Address& address, const std::string& path, Take take);
  void QueryEngine(const http::Address& address);
  void OnAnswered();

  const LoadPlan& plan;
  http::Client client;
  std::function<void(const StandInTotals&)> on_read;
  StandInTotals totals;
  std::size_t awaited = 0;
};

}  // namespace acacialug::load

#endif  // LOAD_INTERNAL_STAND_IN_READER_H_
