#ifndef STANDIN_FAKES_FAKE_PLATFORM_H_
#define STANDIN_FAKES_FAKE_PLATFORM_H_

#include <functional>
#include <string>
#include <vector>

#include "cluster/i_host_list.h"
#include "cluster/i_log.h"
#include "cluster/i_weight_store.h"
#include "framework/global/random_source.h"
#include "standin/platform_models.h"

// The platform's interfaces in the process and virtual time of a test. Several
// fakes may share one model, as processes share the platform. Not thread safe.
namespace acacialug::standin {

// Options of a fake.
struct FakeOptions {
  std::function<Instant()> now;
  // Runs a task after a delay; never from inside the call.
  std::function<void(Duration delay, std::function<void()> task)> schedule;
};

// Faults between this client and the platform.
struct FakeFaults {
  Duration delay{};  // from the call to its effect
  Duration late{};   // from the effect to its answer
  bool unreachable = false;
  double lose_request_share = 0;  // before the effect
  double lose_share = 0;          // of answers, after the effect
};

class FakeLog : public cluster::ILog {
 public:
  // All three outlive the fake.
  FakeLog(LogModel& shared_model,
          RandomSource& random_source,
          FakeOptions fake_options);

  void Append(const std::string& stream,
              std::string payload,
              std::function<void(Result<LogOffset>)> on_done) override;
  void ReadFrom(const std::string& stream,
                LogOffset from,
                std::size_t limit,
                Duration wait,
                std::function<void(Result<Read>)> on_done) override;

  FakeFaults faults;

 private:
  LogModel& model;
  RandomSource& random;
  FakeOptions options;
};

class FakeHostList : public cluster::IHostList {
 public:
  FakeHostList(HostListModel& shared_model, FakeOptions fake_options);

  void Read(std::function<void(Result<std::vector<cluster::HostRecord>>)>
                on_done) override;

  FakeFaults faults;

 private:
  HostListModel& model;
  FakeOptions options;
};

class FakeWeightStore : public cluster::IWeightStore {
 public:
  FakeWeightStore(WeightStoreModel& shared_model, FakeOptions fake_options);

  void Acquire(const EndpointId& endpoint,
               std::function<void(Result<Duration>)> on_done) override;
  void Release(const EndpointId& endpoint) override;

  FakeFaults faults;

 private:
  WeightStoreModel& model;
  FakeOptions options;
};

}  // namespace acacialug::standin

#endif  // STANDIN_FAKES_FAKE_PLATFORM_H_
