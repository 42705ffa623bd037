#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "framework/metrics/axis.h"
#include "framework/metrics/exposition.h"

namespace acacialug::metrics {
namespace {

using nlohmann::json;

json SeriesToJson(const LabelValues& labels, const SeriesValue& value) {
  json series = {{"labels", labels}};
  if (const auto* count = std::get_if<std::uint64_t>(&value)) {
    series["count"] = *count;
  } else if (const auto* gauge = std::get_if<double>(&value)) {
    series["gauge"] = *gauge;
  } else {
    const auto& data = std::get<HistogramData>(value);
    json buckets = json::array();  // most are empty: [number, count] pairs
    for (std::size_t index = 0; index < data.counts.size(); ++index) {
      if (data.counts[index] > 0) {
        buckets.push_back({index, data.counts[index]});
      }
    }
    series["sum"] = data.sum;
    series["buckets"] = std::move(buckets);
  }
  return series;
}

json FamilyToJson(const Family& family) {
  json series = json::array();
  for (const auto& [labels, value] : family.series) {
    series.push_back(SeriesToJson(labels, value));
  }
  return {{"name", family.name},
          {"help", family.help},
          {"kind", NameOf(kKindNames, family.kind)},
          {"merge", NameOf(kGaugeMergeNames, family.merge)},
          {"axis", NameOf(kAxisNames, family.axis)},
          {"labels", family.labels},
          {"series", std::move(series)}};
}

// Thrown within this file only; FromJson turns it into an Error.
struct WrongForm {
  std::string what;
};

HistogramData HistogramFromJson(const json& series, Axis axis) {
  HistogramData data{.axis = axis,
                     .counts = std::vector<std::uint64_t>(CountsOf(axis)),
                     .sum = series.at("sum").get<double>()};
  for (const json& bucket : series.at("buckets")) {
    const json& index = bucket.at(0);
    const json& count = bucket.at(1);
    if (!index.is_number_unsigned() || !count.is_number_unsigned() ||
        index.get<std::uint64_t>() >= data.counts.size()) {
      throw WrongForm{"a bucket outside the axis"};
    }
    data.counts[index.get<std::size_t>()] = count.get<std::uint64_t>();
  }
  return data;
}

SeriesValue ValueFromJson(const json& series, const Family& family) {
  switch (family.kind) {
    case Kind::kCounter:
      if (!series.at("count").is_number_unsigned()) {
        throw WrongForm{"a count that is no whole number"};
      }
      return series.at("count").get<std::uint64_t>();
    case Kind::kGauge:
      return series.at("gauge").get<double>();
    case Kind::kHistogram:
      break;
  }
  return HistogramFromJson(series, family.axis);
}

template <typename Names>
auto EnumFromJson(const json& object, const char* key, const Names& names) {
  const auto value =
      ValueOf(names, object.at(key).template get_ref<const std::string&>());
  if (!value) {
    throw WrongForm{std::string("an unknown ") + key};
  }
  return *value;
}

Family FamilyFromJson(const json& object) {
  Family family{.name = object.at("name").get<std::string>(),
                .help = object.at("help").get<std::string>(),
                .kind = EnumFromJson(object, "kind", kKindNames),
                .merge = EnumFromJson(object, "merge", kGaugeMergeNames),
                .axis = EnumFromJson(object, "axis", kAxisNames),
                .labels = object.at("labels").get<std::vector<std::string>>()};
  for (const json& series : object.at("series")) {
    auto labels = series.at("labels").get<LabelValues>();
    if (labels.size() != family.labels.size()) {
      throw WrongForm{"label values that do not match the names"};
    }
    family.series.insert_or_assign(std::move(labels),
                                   ValueFromJson(series, family));
  }
  return family;
}

}  // namespace

std::string ToJson(const Snapshot& snapshot) {
  json families = json::array();
  for (const auto& [name, family] : snapshot.families) {
    families.push_back(FamilyToJson(family));
  }
  const json page = {{"families", std::move(families)}};
  return page.dump(-1, ' ', /*ensure_ascii=*/false,
                   json::error_handler_t::replace);
}

Result<Snapshot> FromJson(std::string_view text) {
  Snapshot snapshot;
  try {
    const json page = json::parse(text);
    for (const json& object : page.at("families")) {
      Family family = FamilyFromJson(object);
      std::string name = family.name;
      snapshot.families.insert_or_assign(std::move(name), std::move(family));
    }
  } catch (const json::exception& exception) {
    return Error(ResultCode::kMalformedJson, exception.what());
  } catch (const WrongForm& wrong) {
    return Error(ResultCode::kMalformedJson, wrong.what);
  }
  return snapshot;
}

}  // namespace acacialug::metrics
