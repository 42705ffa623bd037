#include "framework/metrics/internal/shards.h"

#include <algorithm>
#include <atomic>

namespace acacialug::metrics::internal {
namespace {

// Counters grow by 1 KiB: with a few bytes each, those of two shards would
// share a cache line and slow each other.
constexpr std::size_t kCounterBlock = 128;

std::size_t ThreadNumber() {
  static std::atomic<std::size_t> next{0};
  thread_local const std::size_t kNumber =
      next.fetch_add(1, std::memory_order_relaxed);
  return kNumber;
}

}  // namespace

Shards::Shard& Shards::OwnShard() {
  return this->shards[ThreadNumber() % kShards];
}

void Shards::AddToCounter(std::size_t index, std::uint64_t amount) {
  Shard& shard = this->OwnShard();
  const std::lock_guard lock(shard.mutex);
  if (index >= shard.counters.size()) {
    shard.counters.resize((index / kCounterBlock + 1) * kCounterBlock);
  }
  shard.counters[index] += amount;
}

void Shards::RecordInHistogram(std::size_t index, Axis axis, double value) {
  Shard& shard = this->OwnShard();
  const std::lock_guard lock(shard.mutex);
  if (index >= shard.histograms.size()) {
    shard.histograms.resize(index + 1);
  }
  std::unique_ptr<Cell>& cell = shard.histograms[index];
  if (!cell) {
    cell = std::make_unique<Cell>(axis);
  }
  cell->buckets(value);
  cell->sum += value;
}

void Shards::CountRejected() {
  Shard& shard = this->OwnShard();
  const std::lock_guard lock(shard.mutex);
  ++shard.rejected;
}

std::vector<std::uint64_t> Shards::ReadCounters(std::size_t count) {
  std::vector<std::uint64_t> totals(count);
  for (Shard& shard : this->shards) {
    const std::lock_guard lock(shard.mutex);
    // A series made since `count` was taken comes with the next snapshot.
    const std::size_t known = std::min(count, shard.counters.size());
    for (std::size_t index = 0; index < known; ++index) {
      totals[index] += shard.counters[index];
    }
  }
  return totals;
}

std::vector<HistogramData> Shards::ReadHistograms(
    const std::vector<Axis>& axes) {
  std::vector<HistogramData> totals;
  totals.reserve(axes.size());
  for (const Axis axis : axes) {
    totals.push_back(
        {.axis = axis, .counts = std::vector<std::uint64_t>(CountsOf(axis))});
  }
  for (Shard& shard : this->shards) {
    const std::lock_guard lock(shard.mutex);
    const std::size_t known = std::min(axes.size(), shard.histograms.size());
    for (std::size_t index = 0; index < known; ++index) {
      if (shard.histograms[index]) {
        AddCell(*shard.histograms[index], totals[index]);
      }
    }
  }
  return totals;
}

std::uint64_t Shards::ReadRejected() {
  std::uint64_t total = 0;
  for (Shard& shard : this->shards) {
    const std::lock_guard lock(shard.mutex);
    total += shard.rejected;
  }
  return total;
}

void Shards::AddCell(const Cell& cell, HistogramData& data) {
  // The library numbers the bucket below the axis -1.
  for (std::size_t index = 0; index < data.counts.size(); ++index) {
    data.counts[index] += cell.buckets.at(static_cast<int>(index) - 1);
  }
  data.sum += cell.sum;
}

}  // namespace acacialug::metrics::internal
