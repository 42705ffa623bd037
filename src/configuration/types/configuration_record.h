#ifndef CONFIGURATION_TYPES_CONFIGURATION_RECORD_H_
#define CONFIGURATION_TYPES_CONFIGURATION_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "configuration/types/text_delta.h"
#include "framework/global/types/enum_names.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/result.h"

namespace acacialug::configuration {

enum class RecordKind : std::uint8_t { kPublish, kCheckpoint, kPublishDelta };
inline constexpr EnumNames<RecordKind, 3> kRecordKindNames = {{
    {RecordKind::kPublish, "publish"},
    {RecordKind::kCheckpoint, "checkpoint"},
    {RecordKind::kPublishDelta, "publish_delta"},
}};

// One record of the configuration stream, a JSON object in the log.
//
// A publish requests that `manifest_text` replace the manifest that the text
// itself names (`replaces`). A checkpoint repeats a manifest that was accepted
// at `accepted_at`, so that log retention never drops the only copy; its author
// had read the stream up to and including `read_through`. A publish by delta is
// a publish whose text is made from the text of the manifest at `replaces`.
struct ConfigurationRecord {
  RecordKind kind = RecordKind::kPublish;
  std::string manifest_text;
  std::string publisher;   // origin of the request; for people only
  RequestId publication;   // random; finds a record whose append answer is lost
  LogOffset accepted_at;   // kCheckpoint
  LogOffset read_through;  // kCheckpoint
  LogOffset replaces;      // kPublishDelta
  TextDelta delta;         // kPublishDelta

  friend bool operator==(const ConfigurationRecord&,
                         const ConfigurationRecord&) = default;
};

// Both functions are thread safe. Errors: kPlatformBadAnswer for any payload
// that is not such an object.
std::string EncodeRecord(const ConfigurationRecord& record);
Result<ConfigurationRecord> DecodeRecord(std::string_view payload);

}  // namespace acacialug::configuration

#endif  // CONFIGURATION_TYPES_CONFIGURATION_RECORD_H_
