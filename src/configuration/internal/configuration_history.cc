#include "configuration/configuration_history.h"

#include <algorithm>
#include <utility>

#include "configuration/text_deltas.h"
#include "manifest/manifest_parser.h"

namespace acacialug::configuration {
namespace {

constexpr LogOffset kFirstOffset{1};

std::string SourceName(LogOffset offset) {
  return "manifest at offset " + std::to_string(offset.value);
}

Result<manifest::Manifest> ReadManifest(const std::string& text,
                                        LogOffset accepted_at) {
  Result<manifest::Manifest> read =
      manifest::ParseManifest(text, SourceName(accepted_at));
  if (read.ok()) {
    read.value().offset = accepted_at;
  }
  return read;
}

AcceptedManifest Accept(manifest::Manifest read, std::string text) {
  return {
      .manifest = std::make_shared<const manifest::Manifest>(std::move(read)),
      .text = std::move(text)};
}

}  // namespace

ConfigurationHistory::ConfigurationHistory(LogOffset first_kept)
    : has_base(first_kept <= kFirstOffset), complete_from(first_kept) {}

void ConfigurationHistory::Apply(LogOffset offset, const std::string& payload) {
  if (offset <= this->through) {
    return;
  }
  this->through = offset;
  HeldBack held{.offset = offset, .record = std::nullopt};
  if (Result<ConfigurationRecord> read = DecodeRecord(payload); read.ok()) {
    held.record = std::move(read.value());
  }
  if (this->has_base) {
    this->Judge(held);
    return;
  }
  this->held_back.push_back(held);
  if (this->held_back.size() > kMaxHeldBack) {
    this->complete_from = LogOffset(this->held_back.front().offset.value + 1);
    this->held_back.pop_front();
  }
  if (!this->TryBase(held)) {
    this->Keep({.offset = offset, .verdict = Verdict::kUnjudged});
  }
}

// The records in the gap may have replaced the current manifest, so a publish
// that names it could be accepted here and rejected elsewhere, and two
// processes would run different configurations permanently. Hence nothing is
// judged until a checkpoint covers the gap.
void ConfigurationHistory::OnTruncated(LogOffset first_kept) {
  this->has_base = false;
  this->held_back.clear();
  this->complete_from = first_kept;
}

const AcceptedManifest* ConfigurationHistory::current() const {
  return this->accepted ? &*this->accepted : nullptr;
}

LogOffset ConfigurationHistory::CurrentOffset() const {
  return this->accepted ? this->accepted->manifest->offset : LogOffset();
}

// A checkpoint can describe only what its author had read before appending it.
// A record that names a later offset was not written by this system.
bool ConfigurationHistory::IsPlausible(const HeldBack& checkpoint) {
  const ConfigurationRecord& record = *checkpoint.record;
  return record.accepted_at.value != 0 &&
         record.accepted_at <= record.read_through &&
         record.read_through < checkpoint.offset;
}

bool ConfigurationHistory::TryBase(const HeldBack& held) {
  if (!held.record || held.record->kind != RecordKind::kCheckpoint ||
      !IsPlausible(held) ||
      held.record->read_through.value + 1 < this->complete_from.value ||
      held.record->accepted_at < this->CurrentOffset()) {
    return false;
  }
  Result<manifest::Manifest> read =
      ReadManifest(held.record->manifest_text, held.record->accepted_at);
  if (!read.ok()) {
    return false;
  }
  const LogOffset read_through = held.record->read_through;
  this->accepted = Accept(std::move(read.value()), held.record->manifest_text);
  this->full_text_offset = held.record->accepted_at;
  this->has_base = true;
  const std::deque<HeldBack> pending = std::exchange(this->held_back, {});
  for (const HeldBack& record : pending) {
    if (record.offset > read_through) {
      this->Judge(record);
    }
  }
  return true;
}

void ConfigurationHistory::Judge(const HeldBack& held) {
  if (held.record && held.record->kind == RecordKind::kCheckpoint) {
    this->JudgeCheckpoint(held);
    return;
  }
  Judgement judgement{.offset = held.offset, .verdict = Verdict::kInvalid};
  if (held.record) {
    judgement.publication = held.record->publication;
    judgement.publisher = held.record->publisher;
    this->JudgePublish(held, judgement);
  }
  judgement.current = this->CurrentOffset();
  this->Keep(std::move(judgement));
}

void ConfigurationHistory::JudgePublish(const HeldBack& held,
                                        Judgement& judgement) {
  if (held.record->kind == RecordKind::kPublish) {
    this->JudgeText(held.offset, held.record->manifest_text, judgement);
    if (judgement.verdict == Verdict::kAccepted) {
      this->full_text_offset = held.offset;
      this->copy_offset = held.offset;
    }
    return;
  }
  // The base is the text that is current at this record. It is the same for all
  // readers, and so is the result, whether or not the digest matches.
  if (!this->Replaces(held.record->replaces, judgement)) {
    return;
  }
  Result<std::string> text =
      ApplyDelta(this->accepted ? std::string_view(this->accepted->text) : "",
                 held.record->delta);
  if (!text.ok()) {
    judgement.detail = text.error().detail;
    return;
  }
  this->JudgeText(held.offset, std::move(text.value()), judgement);
}

void ConfigurationHistory::JudgeText(LogOffset offset,
                                     std::string text,
                                     Judgement& judgement) {
  Result<manifest::Manifest> read = ReadManifest(text, offset);
  if (!read.ok()) {
    judgement.detail = read.error().detail;
    return;
  }
  judgement.version = read->version;
  if (!this->Replaces(read->replaces, judgement)) {
    return;
  }
  judgement.verdict = Verdict::kAccepted;
  this->accepted = Accept(std::move(read.value()), std::move(text));
}

// Records a conflict when this returns false.
bool ConfigurationHistory::Replaces(LogOffset replaces,
                                    Judgement& judgement) const {
  if (replaces == this->CurrentOffset()) {
    return true;
  }
  judgement.verdict = Verdict::kConflict;
  judgement.detail =
      "replaces " + std::to_string(replaces.value) +
      ", but the current manifest is at offset " +
      std::to_string(this->CurrentOffset().value) +
      (this->accepted
           ? " (version \"" + this->accepted->manifest->version + "\")"
           : "");
  return false;
}

// A checkpoint never changes the current manifest: one that was overtaken by a
// publish names an older manifest and is ignored. If all publishes since then
// were deltas, the checkpoint still counts as a copy, because the deltas can be
// applied to its text.
void ConfigurationHistory::JudgeCheckpoint(const HeldBack& held) {
  if (held.record->accepted_at >= this->full_text_offset &&
      held.record->accepted_at <= this->CurrentOffset()) {
    this->copy_offset = held.offset;
  }
  this->Keep({.offset = held.offset,
              .verdict = Verdict::kCheckpoint,
              .publication = held.record->publication,
              .publisher = held.record->publisher,
              .current = this->CurrentOffset()});
}

void ConfigurationHistory::Keep(Judgement judgement) {
  this->kept.push_back(std::move(judgement));
  if (this->kept.size() > kKeptJudgements) {
    this->kept.pop_front();
  }
}

std::optional<Judgement> ConfigurationHistory::FindPublication(
    const RequestId& publication) const {
  const auto found = std::find_if(this->kept.begin(), this->kept.end(),
                                  [&publication](const Judgement& judgement) {
                                    return judgement.publication == publication;
                                  });
  return found == this->kept.end() ? std::nullopt : std::make_optional(*found);
}

ConfigurationRecord ConfigurationHistory::MakeCheckpoint(
    const std::string& author,
    RequestId publication) const {
  return {.kind = RecordKind::kCheckpoint,
          .manifest_text = this->accepted->text,
          .publisher = author,
          .publication = publication,
          .accepted_at = this->accepted->manifest->offset,
          .read_through = this->through};
}

}  // namespace acacialug::configuration
