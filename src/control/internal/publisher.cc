#include "control/publisher.h"

#include <memory>
#include <utility>

#include "configuration/text_deltas.h"
#include "manifest/manifest_parser.h"

namespace acacialug::control {
namespace {

constexpr std::size_t kRecordsPerRead = 512;
constexpr Duration kAnswerTimeout = 5s;

using configuration::ConfigurationHistory;
using configuration::Judgement;
using configuration::Verdict;

Error ConflictError(const Judgement& judgement) {
  return {ResultCode::kManifestConflict, judgement.detail};
}

}  // namespace

Publisher::Publisher(PublisherOptions publisher_options,
                     cluster::ILog& platform_log,
                     RandomSource& random_source)
    : options(std::move(publisher_options)),
      log(platform_log),
      random(random_source) {}

Result<cluster::ILog::Read> Publisher::ReadFrom(LogOffset from) {
  auto answer = std::make_shared<std::optional<Result<cluster::ILog::Read>>>();
  this->log.ReadFrom(this->options.stream, from, kRecordsPerRead,
                     Duration::zero(),
                     [answer](Result<cluster::ILog::Read> read) {
                       *answer = std::move(read);
                     });
  if (!this->options.wait([answer] { return answer->has_value(); },
                          kAnswerTimeout)) {
    return Error(ResultCode::kPlatformUnavailable, "the log does not answer");
  }
  return **answer;
}

Result<LogOffset> Publisher::Append(const std::string& payload) {
  auto answer = std::make_shared<std::optional<Result<LogOffset>>>();
  this->log.Append(
      this->options.stream, payload,
      [answer](const Result<LogOffset>& result) { *answer = result; });
  if (!this->options.wait([answer] { return answer->has_value(); },
                          kAnswerTimeout)) {
    return Error(ResultCode::kAppendUnresolved, "the log does not answer");
  }
  return **answer;
}

Result<ConfigurationHistory> Publisher::ReadHistory() {
  std::optional<ConfigurationHistory> history;
  LogOffset from(1);
  for (;;) {
    Result<cluster::ILog::Read> read = this->ReadFrom(from);
    if (!read.ok()) {
      return read.error();
    }
    if (!history) {
      history.emplace(read->first_kept);
    }
    for (const cluster::ILog::Record& record : read->records) {
      history->Apply(record.offset, record.payload);
    }
    if (read->records.empty()) {
      break;
    }
    from = LogOffset(history->applied_through().value + 1);
    if (from >= read->next) {
      break;
    }
  }
  if (!history->judged()) {
    return Error(ResultCode::kManifestStale,
                 "the stream's start is gone, and no checkpoint covers it yet");
  }
  return *std::move(history);
}

Result<std::string> Publisher::CheckCurrent(const std::string& text,
                                            const std::string& source) {
  const Result<manifest::Manifest> read = manifest::ParseManifest(text, source);
  if (!read.ok()) {
    return read.error();
  }
  const Result<ConfigurationHistory> history = this->ReadHistory();
  if (!history.ok()) {
    return history.error();
  }
  const configuration::AcceptedManifest* current = history->current();
  const LogOffset offset =
      current == nullptr ? LogOffset() : current->manifest->offset;
  if (read->replaces != offset) {
    return Error(
        ResultCode::kManifestConflict,
        source + " replaces " + std::to_string(read->replaces.value) +
            ", but the current manifest is at offset " +
            std::to_string(offset.value) +
            (current == nullptr
                 ? std::string()
                 : " (version \"" + current->manifest->version + "\")"));
  }
  return current == nullptr ? std::string() : current->text;
}

configuration::ConfigurationRecord Publisher::MakeRecord(
    const std::string& text,
    const std::string& current) {
  configuration::ConfigurationRecord record{
      .kind = configuration::RecordKind::kPublish,
      .manifest_text = text,
      .publisher = this->options.publisher,
      .publication = this->random.NextRequestId()};
  if (this->options.as_delta && !current.empty()) {
    record.kind = configuration::RecordKind::kPublishDelta;
    record.replaces = manifest::ParseManifest(text, "")->replaces;
    record.delta = configuration::MakeDelta(current, text);
  }
  return record;
}

Result<Judgement> Publisher::Publish(const std::string& text,
                                     const std::string& source) {
  const Result<std::string> current = this->CheckCurrent(text, source);
  if (!current.ok()) {
    return current.error();
  }
  const configuration::ConfigurationRecord record =
      this->MakeRecord(text, *current);
  const RequestId publication = record.publication;
  const std::string payload = configuration::EncodeRecord(record);
  const Result<LogOffset> appended = this->Append(payload);
  if (!appended.ok() &&
      appended.error().result_code() == ResultCode::kPlatformUnavailable) {
    return appended.error();
  }
  return this->Resolve(appended.ok() ? std::string() : payload, publication);
}

// With an empty `payload` the append was answered, and only the judgement is
// read. Otherwise the record may or may not be in the log: it is searched for
// and sent again.
Result<Judgement> Publisher::Resolve(const std::string& payload,
                                     const RequestId& publication) {
  const auto tries =
      this->options.outcome_timeout / this->options.retry_interval;
  bool appended = payload.empty();
  for (auto i = tries; i > 0; --i) {
    const Result<ConfigurationHistory> history = this->ReadHistory();
    if (history.ok()) {
      if (const auto judgement = history->FindPublication(publication)) {
        return judgement->verdict == Verdict::kAccepted
                   ? Result<Judgement>(*judgement)
                   : Result<Judgement>(ConflictError(*judgement));
      }
      if (!appended) {
        appended = this->Append(payload).ok();
        continue;
      }
    }
    this->options.wait([] { return false; }, this->options.retry_interval);
  }
  return Error(ResultCode::kAppendUnresolved,
               "publication " + ToString(publication) +
                   ": look for it with `manifest history`");
}

}  // namespace acacialug::control
