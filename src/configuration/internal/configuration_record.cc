#include "configuration/types/configuration_record.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace acacialug::configuration {
namespace {

using Json = nlohmann::json;

std::string TextOf(const Json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

LogOffset OffsetOf(const Json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_number_unsigned()
             ? LogOffset(found->get<std::uint64_t>())
             : LogOffset();
}

// The digest has the format of a request id: 128 bits in hexadecimal.
std::string DigestText(const TextDigest& digest) {
  return ToString(RequestId{.high = digest.high, .low = digest.low});
}

Json DeltaJson(const TextDelta& delta) {
  Json steps = Json::array();
  for (const DeltaStep& step : delta.steps) {
    if (const auto* copy = std::get_if<CopyLines>(&step)) {
      steps.push_back({copy->first, copy->count});
    } else {
      steps.push_back(std::get<std::string>(step));
    }
  }
  return steps;
}

std::optional<DeltaStep> ReadStep(const Json& step) {
  if (step.is_string()) {
    return step.get<std::string>();
  }
  if (!step.is_array() || step.size() != 2 || !step[0].is_number_unsigned() ||
      !step[1].is_number_unsigned()) {
    return std::nullopt;
  }
  return CopyLines{.first = step[0].get<std::uint64_t>(),
                   .count = step[1].get<std::uint64_t>()};
}

std::optional<TextDelta> ReadDelta(const Json& object) {
  const auto digest = ParseRequestId(TextOf(object, "digest"));
  const auto steps = object.find("delta");
  if (!digest || steps == object.end() || !steps->is_array()) {
    return std::nullopt;
  }
  TextDelta delta{.digest = {.high = digest->high, .low = digest->low}};
  for (const Json& step : *steps) {
    std::optional<DeltaStep> read = ReadStep(step);
    if (!read) {
      return std::nullopt;
    }
    delta.steps.push_back(*std::move(read));
  }
  return delta;
}

}  // namespace

std::string EncodeRecord(const ConfigurationRecord& record) {
  Json object = {{"kind", NameOf(kRecordKindNames, record.kind)},
                 {"publisher", record.publisher},
                 {"publication", ToString(record.publication)}};
  if (record.kind == RecordKind::kPublishDelta) {
    object["replaces"] = record.replaces.value;
    object["delta"] = DeltaJson(record.delta);
    object["digest"] = DigestText(record.delta.digest);
  } else {
    object["manifest"] = record.manifest_text;
  }
  if (record.kind == RecordKind::kCheckpoint) {
    object["accepted_at"] = record.accepted_at.value;
    object["read_through"] = record.read_through.value;
  }
  // Invalid UTF-8 is replaced rather than raised as an exception: the manifest
  // check rejects it anyway.
  return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ConfigurationRecord> DecodeRecord(std::string_view payload) {
  const Json object = Json::parse(payload, nullptr, false);
  if (!object.is_object()) {
    return Error(ResultCode::kPlatformBadAnswer, "record is no JSON object");
  }
  const auto kind = ValueOf(kRecordKindNames, TextOf(object, "kind"));
  const auto publication = ParseRequestId(TextOf(object, "publication"));
  const bool by_delta = kind == RecordKind::kPublishDelta;
  std::optional<TextDelta> delta =
      by_delta ? ReadDelta(object) : std::make_optional<TextDelta>();
  if (!kind || !publication || !delta ||
      (!by_delta && !object.contains("manifest"))) {
    return Error(ResultCode::kPlatformBadAnswer,
                 "record lacks kind, publication, manifest or delta");
  }
  return ConfigurationRecord{.kind = *kind,
                             .manifest_text = TextOf(object, "manifest"),
                             .publisher = TextOf(object, "publisher"),
                             .publication = *publication,
                             .accepted_at = OffsetOf(object, "accepted_at"),
                             .read_through = OffsetOf(object, "read_through"),
                             .replaces = OffsetOf(object, "replaces"),
                             .delta = *std::move(delta)};
}

}  // namespace acacialug::configuration
