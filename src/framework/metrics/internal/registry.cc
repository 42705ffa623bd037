#include "framework/metrics/registry.h"

#include <cmath>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "framework/metrics/internal/shards.h"

namespace acacialug::metrics {
namespace {

constexpr std::string_view kOther = "other";

constexpr std::string_view kRejectedName = "acacialug_metrics_rejected_total";
constexpr std::string_view kRejectedHelp =
    "Values that no histogram takes: negative or not finite";
constexpr std::string_view kFoldedName = "acacialug_metrics_folded_total";
constexpr std::string_view kFoldedHelp =
    "Label values that were counted under other, since their family was full";

std::vector<std::string> NamesOf(const LabelNames& labels) {
  std::vector<std::string> names;
  for (const std::string_view label : labels) {
    if (!label.empty()) {
      names.emplace_back(label);
    }
  }
  return names;
}

void AddPlainCounter(Snapshot& snapshot,
                     std::string_view name,
                     std::string_view help,
                     std::uint64_t count) {
  Family family{.name = std::string(name),
                .help = std::string(help),
                .kind = Kind::kCounter};
  family.series.emplace(LabelValues{}, count);
  snapshot.families.emplace(name, std::move(family));
}

}  // namespace

void Counter::Add(std::uint64_t amount) const {
  if (this->shards != nullptr) {
    this->shards->AddToCounter(this->index, amount);
  }
}

void Gauge::Set(double new_value) const {
  if (this->value != nullptr && std::isfinite(new_value)) {
    this->value->store(new_value, std::memory_order_relaxed);
  }
}

void Gauge::Add(double amount) const {
  if (this->value != nullptr && std::isfinite(amount)) {
    this->value->fetch_add(amount, std::memory_order_relaxed);
  }
}

void Histogram::Record(double value) const {
  if (this->shards == nullptr) {
    return;
  }
  // One value that is not a number would spoil the sum for ever.
  if (!std::isfinite(value) || value < 0.0) {
    this->shards->CountRejected();
    return;
  }
  this->shards->RecordInHistogram(this->index, this->axis, value);
}

class Registry::Implementation {
 public:
  // The index of a series among those of its kind.
  template <typename Definition>
  std::size_t IndexOf(Kind kind,
                      const Definition& definition,
                      std::initializer_list<std::string_view> label_values) {
    const std::lock_guard lock(this->mutex);
    FamilyState& family = this->FamilyOf(kind, definition);
    LabelValues values(label_values.begin(), label_values.end());
    values.resize(family.empty.labels.size());
    const auto known = family.series.find(values);
    if (known != family.series.end()) {
      return known->second;
    }
    if (family.series.size() >= definition.max_series) {
      ++this->folded;
      values.assign(values.size(), std::string(kOther));
    }
    const auto [place, added] = family.series.try_emplace(values, 0);
    if (added) {
      place->second = this->NextIndex(family.empty);
    }
    return place->second;
  }

  std::atomic<double>* GaugeAt(std::size_t index) {
    const std::lock_guard lock(this->mutex);
    return &this->gauges[index];
  }

  internal::Shards* AllShards() { return &this->shards; }

  Snapshot Read() {
    Table table = this->CopyTable();
    const auto counters = this->shards.ReadCounters(table.counters);
    auto histograms = this->shards.ReadHistograms(table.axes);
    Snapshot snapshot;
    for (auto& [name, state] : table.families) {
      Family family = std::move(state.empty);
      for (auto& [values, index] : state.series) {
        family.series.emplace(
            values, family.kind == Kind::kCounter ? SeriesValue(counters[index])
                    : family.kind == Kind::kGauge
                        ? SeriesValue(table.gauges[index])
                        : SeriesValue(std::move(histograms[index])));
      }
      snapshot.families.emplace(name, std::move(family));
    }
    AddPlainCounter(snapshot, kRejectedName, kRejectedHelp,
                    this->shards.ReadRejected());
    AddPlainCounter(snapshot, kFoldedName, kFoldedHelp, table.folded);
    return snapshot;
  }

 private:
  struct FamilyState {
    Family empty;  // the definition, without series
    std::map<LabelValues, std::size_t> series;
  };

  // What a snapshot needs of the state under `mutex`.
  struct Table {
    std::map<std::string, FamilyState, std::less<>> families;
    std::size_t counters = 0;
    std::vector<Axis> axes;
    std::vector<double> gauges;
    std::uint64_t folded = 0;
  };

  // Precondition: `mutex` is held.
  template <typename Definition>
  FamilyState& FamilyOf(Kind kind, const Definition& definition) {
    const auto known = this->families.find(definition.name);
    if (known != this->families.end()) {
      return known->second;
    }
    Family family{.name = std::string(definition.name),
                  .help = std::string(definition.help),
                  .kind = kind,
                  .labels = NamesOf(definition.labels)};
    if constexpr (requires { definition.merge; }) {
      family.merge = definition.merge;
    }
    if constexpr (requires { definition.axis; }) {
      family.axis = definition.axis;
    }
    return this->families
        .emplace(definition.name, FamilyState{.empty = std::move(family)})
        .first->second;
  }

  // Precondition: `mutex` is held.
  std::size_t NextIndex(const Family& family) {
    switch (family.kind) {
      case Kind::kCounter:
        return this->counters++;
      case Kind::kGauge:
        this->gauges.emplace_back(0.0);
        return this->gauges.size() - 1;
      case Kind::kHistogram:
        break;
    }
    this->axes.push_back(family.axis);
    return this->axes.size() - 1;
  }

  Table CopyTable() {
    const std::lock_guard lock(this->mutex);
    Table table{.families = this->families,
                .counters = this->counters,
                .axes = this->axes,
                .folded = this->folded};
    for (const std::atomic<double>& gauge : this->gauges) {
      table.gauges.push_back(gauge.load(std::memory_order_relaxed));
    }
    return table;
  }

  internal::Shards shards;
  std::mutex mutex;
  // All guarded by `mutex`; the gauges' own values are atomic.
  std::map<std::string, FamilyState, std::less<>> families;
  std::size_t counters = 0;
  std::vector<Axis> axes;
  std::deque<std::atomic<double>> gauges;  // a deque: handles point into it
  std::uint64_t folded = 0;
};

Registry::Registry() : implementation(std::make_unique<Implementation>()) {}
Registry::~Registry() = default;

Counter Registry::Get(const CounterDefinition& definition,
                      std::initializer_list<std::string_view> label_values) {
  return {
      this->implementation->AllShards(),
      this->implementation->IndexOf(Kind::kCounter, definition, label_values)};
}

Gauge Registry::Get(const GaugeDefinition& definition,
                    std::initializer_list<std::string_view> label_values) {
  return Gauge(this->implementation->GaugeAt(
      this->implementation->IndexOf(Kind::kGauge, definition, label_values)));
}

Histogram Registry::Get(const HistogramDefinition& definition,
                        std::initializer_list<std::string_view> label_values) {
  return {
      this->implementation->AllShards(),
      this->implementation->IndexOf(Kind::kHistogram, definition, label_values),
      definition.axis};
}

Snapshot Registry::Read() const {
  return this->implementation->Read();
}

}  // namespace acacialug::metrics
