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
  kConflict,  // it names another manifest than the current one
  kInvalid,   // it breaks the schema, or is no record of ours
  kCheckpoint,
  kUnjudged,  // the start of the stream is gone and no checkpoint covers it
};
inline constexpr EnumNames<Verdict, 5> kVerdictNames = {{
    {Verdict::kAccepted, "accepted"},
    {Verdict::kConflict, "conflict"},
    {Verdict::kInvalid, "invalid"},
    {Verdict::kCheckpoint, "checkpoint"},
    {Verdict::kUnjudged, "unjudged"},
}};

// What became of one record; kept for the newest records only.
struct Judgement {
  LogOffset offset;
  Verdict verdict = Verdict::kUnjudged;
  RequestId publication;
  std::string publisher;
  std::string version;  // the manifest's own name for itself
  LogOffset current;    // in force after this record
  std::string detail;   // why not, for people
};

// An accepted manifest with the text that it was read from (a peer or a
// checkpoint needs the text).
struct AcceptedManifest {
  std::shared_ptr<const manifest::Manifest> manifest;
  std::string text;
};

// The configuration as a pure function of the log's prefix: every reader that
// applied the same records has the same current manifest, whatever order or
// time it read them in. A record is accepted only if it replaces the manifest
// that is current at its offset, so of racing publishers one wins.
//
// A reader that starts on a stream whose beginning retention dropped cannot
// judge a publish before it knows what was current. It holds records back
// until a checkpoint whose author had read through an offset that this reader
// has everything after; from there its verdicts equal everyone's.
//
// A publish by delta is judged like one of the text that it makes from what is
// current at its offset. A digest that differs is invalid for everyone: the
// text that is current is the same for everyone.
//
// Not thread safe; no I/O.
class ConfigurationHistory {
 public:
  static constexpr std::size_t kKeptJudgements = 256;
  // Records held back beyond this number are dropped, oldest first: the
  // checkpoint that covers them is then no longer usable, a later one is.
  static constexpr std::size_t kMaxHeldBack = 4096;

  // `first_kept`: the oldest offset that the log held when reading began.
  explicit ConfigurationHistory(LogOffset first_kept);

  // Applies the record at `offset`. Precondition: offsets rise; an offset
  // already applied is ignored. `payload` may be any bytes.
  void Apply(LogOffset offset, const std::string& payload);

  // The log no longer holds what this reader was to read next: it has missed
  // records and must find a checkpoint again. What is current stays (it never
  // goes back); verdicts pause until a checkpoint covers the gap.
  void OnTruncated(LogOffset first_kept);

  // Null while none is known.
  const AcceptedManifest* current() const;

  // True when every record up to applied_through() is judged.
  bool judged() const { return this->based; }
  LogOffset applied_through() const { return this->through; }

  // The newest record with a whole text (publish or checkpoint) from which the
  // current manifest can be made, by the deltas after it; zero if none.
  LogOffset newest_copy() const { return this->copy; }

  // What became of a publication, if it is among the kept judgements.
  std::optional<Judgement> FindPublication(const RequestId& publication) const;

  const std::deque<Judgement>& judgements() const { return this->kept; }

  // A checkpoint record of what is current. Precondition: current() and
  // judged().
  ConfigurationRecord MakeCheckpoint(const std::string& author,
                                     RequestId publication) const;

 private:
  struct HeldBack {
    LogOffset offset;
    std::optional<ConfigurationRecord> record;  // empty: no record of ours
  };

  void Judge(const HeldBack& held);
  void JudgePublish(const HeldBack& held, Judgement& judgement);
  void JudgeText(LogOffset offset, std::string text, Judgement& judgement);
  bool Replaces(LogOffset replaces, Judgement& judgement) const;
  void JudgeCheckpoint(const HeldBack& held);
  static bool CanBeTrue(const HeldBack& checkpoint);
  bool TryBase(const HeldBack& held);
  void Keep(Judgement judgement);
  LogOffset CurrentOffset() const;

  bool based;               // verdicts are everyone's
  LogOffset complete_from;  // all records from here on were applied
  LogOffset through;
  LogOffset copy;
  LogOffset whole;  // newest accepted text that is known not to be a delta
  std::optional<AcceptedManifest> accepted;
  std::deque<HeldBack> held_back;
  std::deque<Judgement> kept;
};

}  // namespace acacialug::configuration

#endif  // CONFIGURATION_CONFIGURATION_HISTORY_H_
