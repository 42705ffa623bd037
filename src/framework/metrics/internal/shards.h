#ifndef FRAMEWORK_METRICS_INTERNAL_SHARDS_H_
#define FRAMEWORK_METRICS_INTERNAL_SHARDS_H_

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <memory>
#include <mutex>
#include <tuple>
#include <vector>

#include "framework/metrics/axis.h"
#include "framework/metrics/types/snapshot.h"

namespace acacialug::metrics::internal {

// The counts of counters and histograms by series index, one share a shard.
// Thread safe: each shard has its own lock, and no two are held at a time.
class Shards {
 public:
  // More threads than this share shards: correct, but slower.
  static constexpr std::size_t kShards = 16;

  void AddToCounter(std::size_t index, std::uint64_t amount);
  // Precondition: `value` is finite and not negative.
  void RecordInHistogram(std::size_t index, Axis axis, double value);
  void CountRejected();

  // Sums over all shards.
  std::vector<std::uint64_t> ReadCounters(std::size_t count);
  // Precondition: `axes` holds the axis of each histogram by its index.
  std::vector<HistogramData> ReadHistograms(const std::vector<Axis>& axes);
  std::uint64_t ReadRejected();

 private:
  struct Cell {
    using Buckets = boost::histogram::histogram<
        std::tuple<LogAxis>,
        boost::histogram::dense_storage<std::uint64_t>>;
    explicit Cell(Axis axis) : buckets(std::tuple(AxisOf(axis))) {}

    Buckets buckets;
    double sum = 0.0;
  };

  // On cache lines of its own: a neighbour's lock must not slow this one.
  struct alignas(64) Shard {
    std::mutex mutex;
    // All guarded by `mutex`; they grow when this shard first records there.
    std::vector<std::uint64_t> counters;
    std::vector<std::unique_ptr<Cell>> histograms;
    std::uint64_t rejected = 0;
  };

  Shard& OwnShard();
  static void AddCell(const Cell& cell, HistogramData& data);

  std::array<Shard, kShards> shards;
};

}  // namespace acacialug::metrics::internal

#endif  // FRAMEWORK_METRICS_INTERNAL_SHARDS_H_
