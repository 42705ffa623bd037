#ifndef CONFIGURATION_CONFIGURATION_HISTORY_H_
#define CONFIGURATION_CONFIGURATION_HISTORY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "configuration/types/configuration_record.h"
#include "framework/global/types/enum_names.h"
#include "framework/global/types/identifiers.h"
#include "manifest/types/manifest.h"

namespace acacialug::configuration {

enum class Verdict : std::uint8_t {
  kAccepted,
  kConflict,  // it replaces a manifest that is not the current one
  kInvalid,   // it violates the schema, or is not a valid record
  kCheckpoint,
  kUnjudged,  // the stream's start is gone, and no checkpoint covers it
};
inline constexpr EnumNames<Verdict, 5> kVerdictNames = {{
    {Verdict::kAccepted, "accepted"},
    {Verdict::kConflict, "conflict"},
    {Verdict::kInvalid, "invalid"},
    {Verdict::kCheckpoint, "checkpoint"},
    {Verdict::kUnjudged, "unjudged"},
}};

// The result of judging one record; kept for the newest records only.
struct Judgement {
  LogOffset offset;
  Verdict verdict = Verdict::kUnjudged;
  RequestId publication;
  std::string publisher;
  std::string version;  // as the manifest names itself
  LogOffset current;    // current manifest after this record
  std::string detail;   // reason for a rejection; for people only
};

// An accepted manifest with the text that it was parsed from, which peers and
// checkpoints need.
struct AcceptedManifest {
  std::shared_ptr<const manifest::Manifest> manifest;
  std::string text;
};

// The configuration as a pure function of the log's prefix: all readers that
// applied the same records have the same current manifest, regardless of the
// order or time in which they read them. A record is accepted only if it
// replaces the manifest that is current at its offset, so that one of several
// concurrent publishers wins.
//
// A reader that starts on a stream whose beginning was dropped by retention
// cannot judge a publish before it knows which manifest was current. It holds
// records back until it reads a checkpoint whose author had read through an
// offset after which this reader has all records; from there on its verdicts
// equal those of all other readers.
//
// A publish by delta is judged like a publish of the text that the delta makes
// from the manifest that is current at its offset. A publish whose digest
// differs is invalid for all readers, because the current text is the same for
// all of them.
//
// Not thread safe; no I/O.
class ConfigurationHistory {
 public:
  static constexpr std::size_t kKeptJudgements = 256;
  // Records held back beyond this number are dropped, oldest first. A
  // checkpoint that needs the dropped records is then unusable; a later one is
  // usable.
  static constexpr std::size_t kMaxHeldBack = 4096;

  // `first_kept`: the oldest offset that the log held when reading began.
  explicit ConfigurationHistory(LogOffset first_kept);

  // Applies the record at `offset`. Precondition: offsets increase; an offset
  // that was applied before is ignored. `payload` may be any bytes.
  void Apply(LogOffset offset, const std::string& payload);

  // To be called when the log no longer holds the record that this reader was
  // to read next: the reader has missed records and needs a checkpoint again.
  // The current manifest stays, as it is never replaced by an older one;
  // verdicts pause until a checkpoint covers the gap.
  void OnTruncated(LogOffset first_kept);

  // Null while no manifest is known.
  const AcceptedManifest* current() const;

  // Whether every record up to applied_through() is judged.
  bool judged() const { return this->has_base; }
  LogOffset applied_through() const { return this->through; }

  // The newest record with a full text (publish or checkpoint) from which the
  // current manifest can be made with the deltas after it; zero if none.
  LogOffset newest_copy() const { return this->copy_offset; }

  // The judgement of a publication, if it is among the kept ones.
  std::optional<Judgement> FindPublication(const RequestId& publication) const;

  const std::deque<Judgement>& judgements() const { return this->kept; }

  // A checkpoint record of the current manifest. Precondition: current() is not
  // null, and judged() is true.
  ConfigurationRecord MakeCheckpoint(const std::string& author,
                                     RequestId publication) const;

 private:
  struct HeldBack {
    LogOffset offset;
    std::optional<ConfigurationRecord> record;  // empty: not a valid record
  };

  void Judge(const HeldBack& held);
  void JudgePublish(const HeldBack& held, Judgement& judgement);
  void JudgeText(LogOffset offset, std::string text, Judgement& judgement);
  bool Replaces(LogOffset replaces, Judgement& judgement) const;
  void JudgeCheckpoint(const HeldBack& held);
  static bool IsPlausible(const HeldBack& checkpoint);
  bool TryBase(const HeldBack& held);
  void Keep(Judgement judgement);
  LogOffset CurrentOffset() const;

  bool has_base;            // verdicts equal those of all readers
  LogOffset complete_from;  // all records from this offset on were applied
  LogOffset through;
  LogOffset copy_offset;
  // Of the newest accepted text that is known to be published in full.
  LogOffset full_text_offset;
  std::optional<AcceptedManifest> accepted;
  std::deque<HeldBack> held_back;
  std::deque<Judgement> kept;
};

}  // namespace acacialug::configuration

#endif  // CONFIGURATION_CONFIGURATION_HISTORY_H_
