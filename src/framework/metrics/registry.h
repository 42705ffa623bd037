#ifndef FRAMEWORK_METRICS_REGISTRY_H_
#define FRAMEWORK_METRICS_REGISTRY_H_

#include <atomic>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string_view>

#include "framework/metrics/types/definition.h"
#include "framework/metrics/types/snapshot.h"

namespace acacialug::metrics {

namespace internal {
class Shards;
}  // namespace internal

// Handles are cheap to copy, stay good as long as their registry, and are safe
// to use from every thread at once. Get one outside the hot path and keep it.

class Counter {
 public:
  // A handle of no registry; what it records is dropped.
  Counter() = default;

  void Add(std::uint64_t amount = 1) const;

 private:
  friend class Registry;
  Counter(internal::Shards* owner, std::size_t series)
      : shards(owner), index(series) {}

  internal::Shards* shards = nullptr;
  std::size_t index = 0;
};

class Gauge {
 public:
  Gauge() = default;

  // A value that is not finite is dropped.
  void Set(double value) const;
  void Add(double amount) const;

 private:
  friend class Registry;
  explicit Gauge(std::atomic<double>* gauge_value) : value(gauge_value) {}

  std::atomic<double>* value = nullptr;
};

class Histogram {
 public:
  Histogram() = default;

  // Records a value in the axis's unit. A value that is negative or not finite
  // is dropped, and counted under acacialug_metrics_rejected_total.
  void Record(double value) const;

 private:
  friend class Registry;
  Histogram(internal::Shards* owner, std::size_t series, Axis series_axis)
      : shards(owner), index(series), axis(series_axis) {}

  internal::Shards* shards = nullptr;
  std::size_t index = 0;
  Axis axis = Axis::kSeconds;
};

// The metrics of one process. Counters and histograms are kept in shards, each
// under its own lock; a thread always records in the same shard, so threads
// wait for each other only while a snapshot reads their shard. Thread safe.
class Registry {
 public:
  Registry();
  ~Registry();
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  // The series of these label values, made at the first call. There is one
  // value for each label; missing ones are "", further ones are ignored.
  // Beyond max_series the result is the family's series "other".
  // Precondition: one definition a name, in all calls.
  Counter Get(const CounterDefinition& definition,
              std::initializer_list<std::string_view> label_values = {});
  Gauge Get(const GaugeDefinition& definition,
            std::initializer_list<std::string_view> label_values = {});
  Histogram Get(const HistogramDefinition& definition,
                std::initializer_list<std::string_view> label_values = {});

  // All series at one time: not atomic across series, never going backwards.
  Snapshot Read() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::metrics

#endif  // FRAMEWORK_METRICS_REGISTRY_H_
