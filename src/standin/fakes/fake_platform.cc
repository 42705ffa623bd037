#include "standin/fakes/fake_platform.h"

#include <algorithm>
#include <utility>

namespace acacialug::standin {
namespace {

// How often a read that waits for a record polls.
constexpr Duration kPollInterval = 5ms;

// Runs `effect` after the delay, and passes its result to `on_done` later.
template <typename T>
void RunRemotely(const FakeOptions& options,
                 const FakeFaults& faults,
                 std::function<Result<T>()> effect,
                 std::function<void(Result<T>)> on_done) {
  if (faults.unreachable) {
    options.schedule(faults.delay, [on_done = std::move(on_done)] {
      on_done(Error(ResultCode::kPlatformUnavailable, "unreachable"));
    });
    return;
  }
  options.schedule(
      faults.delay, [schedule = options.schedule, late = faults.late,
                     effect = std::move(effect), on_done = std::move(on_done)] {
        schedule(late, [on_done, result = effect()] { on_done(result); });
      });
}

}  // namespace

FakeLog::FakeLog(LogModel& shared_model,
                 RandomSource& random_source,
                 FakeOptions fake_options)
    : model(shared_model),
      random(random_source),
      options(std::move(fake_options)) {}

void FakeLog::Append(const std::string& stream,
                     std::string payload,
                     std::function<void(Result<LogOffset>)> on_done) {
  const bool lost_before =
      this->random.Unit() < this->faults.lose_request_share;
  const bool lost = this->random.Unit() < this->faults.lose_share;
  RunRemotely<LogOffset>(
      this->options, this->faults,
      [this, stream, payload = std::move(payload), lost_before, lost] {
        if (lost_before) {
          return Result<LogOffset>(Error(ResultCode::kAppendUnresolved));
        }
        Result<LogOffset> appended =
            this->model.Append(stream, payload, this->options.now());
        return lost && appended.ok()
                   ? Result<LogOffset>(Error(ResultCode::kAppendUnresolved))
                   : appended;
      },
      std::move(on_done));
}

void FakeLog::ReadFrom(const std::string& stream,
                       LogOffset from,
                       std::size_t limit,
                       Duration wait,
                       std::function<void(Result<Read>)> on_done) {
  auto answer = [this, stream, from, limit, wait,
                 on_done = std::move(on_done)](Result<Read> read) {
    const Duration pause = std::min(wait, kPollInterval);
    if (!read.ok() || !read->records.empty() || pause == Duration::zero()) {
      on_done(std::move(read));
      return;
    }
    this->options.schedule(
        pause, [this, stream, from, limit, left = wait - pause, on_done] {
          this->ReadFrom(stream, from, limit, left, on_done);
        });
  };
  RunRemotely<Read>(
      this->options, this->faults,
      [this, stream, from, limit] {
        return this->model.ReadFrom(stream, from, limit, this->options.now());
      },
      std::move(answer));
}

FakeHostList::FakeHostList(HostListModel& shared_model,
                           FakeOptions fake_options)
    : model(shared_model), options(std::move(fake_options)) {}

void FakeHostList::Read(
    std::function<void(Result<std::vector<cluster::HostRecord>>)> on_done) {
  RunRemotely<std::vector<cluster::HostRecord>>(
      this->options, this->faults,
      [this] { return this->model.Read(this->options.now()); },
      std::move(on_done));
}

FakeWeightStore::FakeWeightStore(WeightStoreModel& shared_model,
                                 FakeOptions fake_options)
    : model(shared_model), options(std::move(fake_options)) {}

void FakeWeightStore::Acquire(const EndpointId& endpoint,
                              std::function<void(Result<Duration>)> on_done) {
  RunRemotely<Duration>(
      this->options, this->faults,
      [this, endpoint] {
        return this->model.Acquire(endpoint, this->options.now());
      },
      std::move(on_done));
}

void FakeWeightStore::Release(const EndpointId& endpoint) {
  if (!this->faults.unreachable) {
    this->options.schedule(this->faults.delay,
                           [this, endpoint] { this->model.Release(endpoint); });
  }
}

}  // namespace acacialug::standin
