#ifndef STANDIN_SERVICE_MODEL_H_
#define STANDIN_SERVICE_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "framework/global/random_source.h"
#include "framework/global/types/enum_names.h"
#include "framework/global/types/instant.h"
#include "standin/internal/pausable_clock.h"

namespace acacialug::standin {

enum class ServiceTimes : std::uint8_t { kFixed, kExponential };
inline constexpr EnumNames<ServiceTimes, 2> kServiceTimesNames = {{
    {ServiceTimes::kFixed, "fixed"},
    {ServiceTimes::kExponential, "exponential"},
}};

struct ServiceOptions {
  std::string id;
  Duration mean_time = 10ms;
  ServiceTimes times = ServiceTimes::kExponential;
  std::uint32_t concurrency = 8;
  std::uint32_t queue_limit = 1000;
};

struct ServiceFaults {
  bool refuse = false;    // all calls, as not run
  double fail_share = 0;  // of the calls, after their effect
  double slow_factor = 1;
};

using CallId = std::uint64_t;

enum class CallResult : std::uint8_t { kDone, kFailed, kRefused, kLost };

struct CallOutput {
  CallId call = 0;
  CallResult result = CallResult::kDone;
};

// A plain service. Calls wait for one of a few workers, take effect when one
// starts them, and are counted by their keys, so that a test can check that
// none took effect twice. As EngineModel: no sockets, no clock, `now` never
// decreases, not thread safe.
class ServiceModel {
 public:
  // `random` outlives the model.
  ServiceModel(ServiceOptions service_options, RandomSource& random_source);

  // Takes a call; each of its keys is counted when it starts.
  CallId Submit(std::vector<std::string> keys, Instant now);

  // Drops a call that has not started; one that has continues without an
  // answer.
  void Cancel(CallId call, Instant now);

  Instant next_event() const;
  void Advance(Instant now);
  std::vector<CallOutput> TakeOutputs();

  void SetFaults(const ServiceFaults& new_faults);
  // Stops the service's time; no call starts or ends meanwhile.
  void Stall(Instant until, Instant now);
  void Resume(Instant now);
  // As if the process were replaced: its calls are lost, whether they took
  // effect or not. The counts are kept.
  void Restart(Instant now);

  // How often calls with a key started.
  const std::map<std::string, std::uint64_t>& executions() const;
  std::uint32_t running() const;
  std::uint32_t waiting() const;

 private:
  struct Waiting {
    CallId call = 0;
    std::vector<std::string> keys;
  };
  struct Running {
    CallId call = 0;
    bool fails = false;
  };

  Instant AdvanceClock(Instant now);
  void BeginWaiting(Instant inner);
  Duration DrawTime();

  ServiceOptions options;
  RandomSource& random;
  ServiceFaults faults;
  PausableClock clock;
  std::deque<Waiting> queue;
  std::multimap<Instant, Running> ends;
  std::vector<CallOutput> outputs;
  std::map<std::string, std::uint64_t> begun;
  CallId last_call = 0;
};

}  // namespace acacialug::standin

#endif  // STANDIN_SERVICE_MODEL_H_
