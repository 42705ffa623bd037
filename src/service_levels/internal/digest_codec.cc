#include "service_levels/digest_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "service_levels/internal/json_reader.h"

namespace acacialug::service_levels {
namespace {

using Json = nlohmann::json;
using internal::JsonReader;

constexpr std::size_t kMaxSeries = 1024;
constexpr std::size_t kMaxWindows = 64;
constexpr std::uint64_t kVersion = 1;

std::int64_t CountMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

std::string Dump(const Json& json) {
  // Names come from other processes and may contain any bytes.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json KeyJson(const SeriesKey& key) {
  return {{"kind", NameOf(kSeriesKindNames, key.kind)},
          {"service", key.service},
          {"class", key.latency_class}};
}

SeriesKey ReadKey(JsonReader& reader, const Json& object) {
  const auto kind = ValueOf(kSeriesKindNames, reader.Text(object, "kind"));
  if (!kind) {
    reader.Fail("unknown kind of series");
  }
  return {.kind = kind.value_or(SeriesKind::kRequests),
          .service = reader.Text(object, "service"),
          .latency_class = reader.Text(object, "class")};
}

Json CountsJson(const LevelCounts& counts) {
  Json json = {{"total", counts.total}, {"good", counts.good}};
  if (!counts.causes.empty()) {
    Json& causes = json["causes"] = Json::object();
    for (const CauseCount& item : counts.causes) {
      causes[std::string(CauseName(item.cause))] = item.count;
    }
  }
  return json;
}

LevelCounts ReadCounts(JsonReader& reader, const Json& object) {
  LevelCounts counts{.total = reader.Number(object, "total"),
                     .good = reader.Number(object, "good")};
  if (counts.good > counts.total) {
    reader.Fail("more good than in all");
  }
  if (!object.is_object() || !object.contains("causes")) {
    return counts;
  }
  const Json& causes = reader.Member(object, "causes");
  if (!causes.is_object()) {
    reader.Fail("expected \"causes\" by name");
    return counts;
  }
  for (const auto& [name, count] : causes.items()) {
    counts.AddCause(CauseFromName(name).value_or(Cause::kOther),
                    reader.Number(causes, name.c_str()), kAllCauses);
  }
  // Sorts by name, also where an unknown name became kOther: otherwise counts
  // would differ from themselves after another encoding and decoding.
  std::sort(counts.causes.begin(), counts.causes.end(),
            [](const auto& left, const auto& right) {
              return CauseName(left.cause) < CauseName(right.cause);
            });
  return counts;
}

Json WindowJson(const DigestWindow& window) {
  Json series = Json::array();
  for (const auto& [key, counts] : window.series) {
    Json item = KeyJson(key);
    item.update(CountsJson(counts));
    series.push_back(std::move(item));
  }
  return {{"sequence", window.sequence.value},
          // A clock that was never set may read 1970.
          {"start_ms",
           std::max<std::int64_t>(0, window.start.time_since_epoch().count())},
          {"length_ms", CountMilliseconds(window.length)},
          {"series", std::move(series)}};
}

DigestWindow ReadWindow(JsonReader& reader, const Json& object) {
  DigestWindow window{
      .sequence = WindowSequence(reader.Number(object, "sequence")),
      .start = WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
          reader.Milliseconds(object, "start_ms"))),
      .length = reader.Milliseconds(object, "length_ms")};
  const Json& series = reader.List(object, "series");
  if (series.size() > kMaxSeries) {
    reader.Fail("too many series");
  }
  for (const Json& item : series) {
    if (!reader.ok()) {
      break;
    }
    window.series[ReadKey(reader, item)].Add(ReadCounts(reader, item));
  }
  return window;
}

Json RingJson(const std::vector<LevelBin>& bins) {
  Json ring = Json::array();
  for (const LevelBin& bin : bins) {
    Json item = CountsJson(bin.counts);
    item["age_ms"] = CountMilliseconds(bin.age);
    ring.push_back(std::move(item));
  }
  return ring;
}

std::vector<LevelBin> ReadRing(JsonReader& reader,
                               const Json& ring,
                               std::size_t max_items) {
  std::vector<LevelBin> bins;
  if (!ring.is_array() || ring.size() > max_items) {
    reader.Fail("expected a list of bins");
    return bins;
  }
  for (const Json& item : ring) {
    bins.push_back({.age = reader.Milliseconds(item, "age_ms"),
                    .counts = ReadCounts(reader, item)});
  }
  return bins;
}

Json SeriesJson(const LiveSeries& series) {
  Json rings = Json::array();
  for (const std::vector<LevelBin>& ring : series.rings) {
    rings.push_back(RingJson(ring));
  }
  Json json = KeyJson(series.key);
  json["rings"] = std::move(rings);
  return json;
}

LiveSeries ReadSeries(JsonReader& reader, const Json& object) {
  LiveSeries series{.key = ReadKey(reader, object)};
  const Json& rings = reader.List(object, "rings");
  if (rings.size() != series.rings.size()) {
    reader.Fail("another number of resolutions");
    return series;
  }
  for (std::size_t index = 0; index < series.rings.size(); ++index) {
    series.rings[index] =
        ReadRing(reader, rings[index], kResolutions[index].bins);
  }
  return series;
}

Json ObjectiveJson(const Objective& objective) {
  Json json = KeyJson(objective.key);
  json["objective"] = objective.share;
  json["model"] = objective.is_model;
  json["first_token_ms"] = CountMilliseconds(objective.first_token);
  json["token_interval_ms"] = CountMilliseconds(objective.token_interval);
  return json;
}

Objective ReadObjective(JsonReader& reader, const Json& object) {
  const Json& model = reader.Member(object, "model");
  return {.key = ReadKey(reader, object),
          .share = reader.Share(object, "objective"),
          .is_model = model.is_boolean() && model.get<bool>(),
          .first_token = reader.Milliseconds(object, "first_token_ms"),
          .token_interval = reader.Milliseconds(object, "token_interval_ms")};
}

template <typename Value, typename Read>
std::vector<Value> ReadList(JsonReader& reader,
                            const Json& object,
                            const char* key,
                            std::size_t max_items,
                            Read read) {
  std::vector<Value> values;
  const Json& list = reader.List(object, key);
  if (list.size() > max_items) {
    reader.Fail(std::string("too many \"") + key + "\"");
  }
  for (const Json& item : list) {
    if (!reader.ok()) {
      break;
    }
    values.push_back(read(reader, item));
  }
  return values;
}

// In a text of another version the same names may have other meanings.
void CheckVersion(JsonReader& reader, const Json& object) {
  if (reader.Number(object, "format") != kVersion) {
    reader.Fail("another version of the format");
  }
}

Error BadText(const JsonReader& reader) {
  return {ResultCode::kPlatformBadAnswer, "service levels: " + reader.error()};
}

}  // namespace

std::string EncodeDigest(const Digest& digest) {
  Json windows = Json::array();
  for (const DigestWindow& window : digest.windows) {
    windows.push_back(WindowJson(window));
  }
  return Dump({{"format", kVersion},
               {"entry", digest.entry.text},
               {"incarnation", digest.incarnation.value},
               {"missed", digest.missed},
               {"windows", std::move(windows)}});
}

Result<Digest> DecodeDigest(std::string_view payload) {
  const Json object = Json::parse(payload, nullptr, false);
  JsonReader reader;
  CheckVersion(reader, object);
  Digest digest{
      .entry = EntryId(reader.Text(object, "entry")),
      .incarnation = Incarnation(reader.Number(object, "incarnation")),
      .missed = reader.Number(object, "missed"),
      .windows = ReadList<DigestWindow>(reader, object, "windows", kMaxWindows,
                                        ReadWindow)};
  if (!reader.ok()) {
    return BadText(reader);
  }
  return digest;
}

std::string EncodeLevelPage(const LevelPage& page) {
  Json objectives = Json::array();
  for (const Objective& objective : page.objectives) {
    objectives.push_back(ObjectiveJson(objective));
  }
  std::string text =
      Dump({{"format", kVersion},
            {"entry", page.entry.text},
            {"incarnation", page.incarnation.value},
            {"manifest", page.manifest.value},
            {"objectives", std::move(objectives)},
            {"missed_digests", page.missed_digests},
            {"pending_digests", page.pending_digests},
            {"covered_ms", CountMilliseconds(page.levels.covered)}});
  // Encodes the series one by one: a JSON tree of all series would take many
  // times the memory of an entry's windows while a report queries it.
  text.back() = ',';
  text += R"("series":[)";
  for (const LiveSeries& series : page.levels.series) {
    text += (text.back() == '[' ? "" : ",") + Dump(SeriesJson(series));
  }
  return text + "]}";
}

Result<LevelPage> DecodeLevelPage(std::string_view text) {
  const Json object = Json::parse(text, nullptr, false);
  JsonReader reader;
  CheckVersion(reader, object);
  LevelPage page{
      .entry = EntryId(reader.Text(object, "entry")),
      .incarnation = Incarnation(reader.Number(object, "incarnation")),
      .manifest = LogOffset(reader.Number(object, "manifest")),
      .objectives = ReadList<Objective>(reader, object, "objectives",
                                        kMaxSeries, ReadObjective),
      .missed_digests = reader.Number(object, "missed_digests"),
      .pending_digests = reader.Number(object, "pending_digests"),
      .levels = {.covered = reader.Milliseconds(object, "covered_ms"),
                 .series = ReadList<LiveSeries>(reader, object, "series",
                                                kMaxSeries, ReadSeries)}};
  if (!reader.ok()) {
    return BadText(reader);
  }
  return page;
}

}  // namespace acacialug::service_levels
