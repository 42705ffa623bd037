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

}  // namespace

std::string EncodeRecord(const ConfigurationRecord& record) {
  Json object = {{"kind", NameOf(kRecordKindNames, record.kind)},
                 {"manifest", record.manifest_text},
                 {"publisher", record.publisher},
                 {"publication", ToString(record.publication)}};
  if (record.kind == RecordKind::kCheckpoint) {
    object["accepted_at"] = record.accepted_at.value;
    object["read_through"] = record.read_through.value;
  }
  // Text that is not UTF-8 is replaced, not thrown about: the manifest check
  // refuses it anyway.
  return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ConfigurationRecord> DecodeRecord(std::string_view payload) {
  const Json object = Json::parse(payload, nullptr, false);
  if (!object.is_object()) {
    return Error(ResultCode::kPlatformBadAnswer, "record is no JSON object");
  }
  const auto kind = ValueOf(kRecordKindNames, TextOf(object, "kind"));
  const auto publication = ParseRequestId(TextOf(object, "publication"));
  if (!kind || !publication || !object.contains("manifest")) {
    return Error(ResultCode::kPlatformBadAnswer,
                 "record lacks kind, publication or manifest");
  }
  return ConfigurationRecord{.kind = *kind,
                             .manifest_text = TextOf(object, "manifest"),
                             .publisher = TextOf(object, "publisher"),
                             .publication = *publication,
                             .accepted_at = OffsetOf(object, "accepted_at"),
                             .read_through = OffsetOf(object, "read_through")};
}

}  // namespace acacialug::configuration
