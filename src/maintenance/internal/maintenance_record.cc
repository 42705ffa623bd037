#include "maintenance/types/maintenance_record.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace acacialug::maintenance {
namespace {

using Json = nlohmann::json;

std::optional<std::uint64_t> NumberOf(const Json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number_unsigned()) {
    return std::nullopt;
  }
  return found->get<std::uint64_t>();
}

std::string TextOf(const Json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

}  // namespace

std::string EncodeMaintenanceRecord(const MaintenanceRecord& record) {
  return Json{{"kind", NameOf(kMaintenanceRecordKindNames, record.kind)},
              {"endpoint", record.endpoint.text},
              {"id", record.id},
              {"manifest", record.manifest.value},
              {"since", record.since.value}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<MaintenanceRecord> DecodeMaintenanceRecord(std::string_view payload) {
  const Error malformed(
      ResultCode::kPlatformBadAnswer,
      "record is not a claim or release of the maintenance queue");
  const Json object = Json::parse(payload, nullptr, false);
  if (!object.is_object()) {
    return malformed;
  }
  const auto kind =
      ValueOf(kMaintenanceRecordKindNames, TextOf(object, "kind"));
  const auto id = NumberOf(object, "id");
  const auto manifest = NumberOf(object, "manifest");
  const auto since = NumberOf(object, "since");
  MaintenanceRecord record{.endpoint = EndpointId(TextOf(object, "endpoint"))};
  if (!kind || !id || *id == 0 || !manifest || !since ||
      record.endpoint.text.empty()) {
    return malformed;
  }
  record.kind = *kind;
  record.id = *id;
  record.manifest = LogOffset(*manifest);
  record.since = LogOffset(*since);
  return record;
}

}  // namespace acacialug::maintenance
