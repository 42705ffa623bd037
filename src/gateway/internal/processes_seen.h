#ifndef GATEWAY_INTERNAL_PROCESSES_SEEN_H_
#define GATEWAY_INTERNAL_PROCESSES_SEEN_H_

#include <cstdint>
#include <map>

#include "gateway/endpoint_catalog.h"
#include "gateway/internal/timer_queue.h"
#include "gateway/types/endpoint_record.h"

namespace acacialug::gateway {

// The processes that answered under endpoints' ids, by their own reports. An
// endpoint that restarts may keep its id, and its record may tell of the former
// process for seconds. Start times are compared for equality only, since the
// clocks of hosts differ. Not thread safe.
class ProcessesSeen {
 public:
  // The process that made an answer, as far as it is known.
  struct Maker {
    std::int64_t by_record = 0;  // of the record at the time of sending
    std::int64_t by_report = 0;

    // Whether it may be the process that started at this time.
    bool MayBe(std::int64_t started_at_ms) const {
      const bool unknown = this->by_record == 0 && this->by_report == 0;
      return unknown || started_at_ms == this->by_record ||
             started_at_ms == this->by_report;
    }
  };

  // The endpoint has answered with a report. 0: it doesn't state its start.
  void Note(const EndpointId& endpoint,
            std::int64_t started_at_ms,
            Instant now);

  // Whether the endpoint's record or a report of it stated a start.
  bool TellsStart(const EndpointRecord& record) const;

  // The maker of an answer to a request that was sent to `record` at `sent_at`,
  // and whose connection ends now.
  Maker MakerOf(const EndpointRecord& record,
                Instant sent_at,
                Instant now,
                const TimerQueue& timers) const;

  // Forgets endpoints that are not in the catalog.
  void Sweep(const EndpointCatalog& catalog);

 private:
  struct Process {
    std::int64_t started_at_ms = 0;
    Instant since;  // of the first of its reports in a row
  };
  std::map<EndpointId, Process> processes;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_PROCESSES_SEEN_H_
