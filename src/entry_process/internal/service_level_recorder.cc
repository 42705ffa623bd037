#include "entry_process/internal/service_level_recorder.h"

#include <algorithm>

#include "service_levels/digest_codec.h"

namespace acacialug::entry_process {
namespace {

using service_levels::DigestAppend;
using service_levels::LevelCounts;
using service_levels::SeriesKey;
using service_levels::SeriesKind;
using service_levels::WallTime;

std::vector<service_levels::Objective> ObjectivesOf(
    const manifest::Manifest& manifest) {
  std::vector<service_levels::Objective> objectives;
  for (const manifest::Service& service : manifest.services) {
    for (const manifest::LatencyClass& latency_class : service.classes) {
      objectives.push_back(
          {.key = {.service = service.name.text,
                   .latency_class = latency_class.name},
           .share = latency_class.objective,
           .is_model = service.kind == manifest::ServiceKind::kModel,
           .first_token = latency_class.first_token,
           .token_interval = latency_class.token_interval});
    }
  }
  return objectives;
}

}  // namespace

ServiceLevelRecorder::ServiceLevelRecorder(const Options& recorder_options)
    : options(recorder_options),
      random(recorder_options.seed),
      windows({}, recorder_options.clock()),
      digests({.entry = recorder_options.entry,
               .incarnation = recorder_options.incarnation,
               .interval = service_levels::DigestInterval(
                   recorder_options.live_entries)},
              this->random,
              recorder_options.clock()) {}

void ServiceLevelRecorder::CountRequest(std::string_view service,
                                        std::string_view latency_class,
                                        const LevelCounts& counts) {
  this->Count({.service = std::string(service),
               .latency_class = std::string(latency_class)},
              counts);
}

void ServiceLevelRecorder::CountPrefill(std::string_view service,
                                        std::uint64_t computed,
                                        std::uint64_t wasted,
                                        service_levels::Cause cause) {
  LevelCounts counts{.total = computed,
                     .good = computed - std::min(computed, wasted)};
  if (wasted > 0) {
    counts.causes.push_back({.cause = cause, .count = wasted});
  }
  this->Count({.kind = SeriesKind::kPrefill, .service = std::string(service)},
              counts);
}

void ServiceLevelRecorder::Count(const SeriesKey& key,
                                 const LevelCounts& counts) {
  const std::scoped_lock lock(this->mutex);
  this->windows.Count(key, counts, this->options.clock());
  if (this->options.has_log) {
    this->digests.Count(key, counts);
  }
}

std::string ServiceLevelRecorder::RenderPage(
    const manifest::Manifest* manifest) {
  service_levels::LevelPage page{.entry = this->options.entry,
                                 .incarnation = this->options.incarnation};
  if (manifest != nullptr) {
    page.manifest = manifest->offset;
    page.objectives = ObjectivesOf(*manifest);
  }
  {
    const std::scoped_lock lock(this->mutex);
    page.levels = this->windows.Read(this->options.clock());
    page.missed_digests = this->digests.missed();
    page.pending_digests = this->digests.pending();
  }
  return service_levels::EncodeLevelPage(page);
}

std::optional<DigestAppend> ServiceLevelRecorder::OnDigestTimer(WallTime wall) {
  const std::scoped_lock lock(this->mutex);
  return this->digests.OnTimer(this->options.clock(), wall);
}

std::optional<DigestAppend> ServiceLevelRecorder::FinishDigests(WallTime wall) {
  const std::scoped_lock lock(this->mutex);
  return this->digests.Finish(this->options.clock(), wall);
}

void ServiceLevelRecorder::OnDigestAppended(std::uint64_t ticket, bool taken) {
  const std::scoped_lock lock(this->mutex);
  this->digests.OnAppended(ticket, taken, this->options.clock());
}

Duration ServiceLevelRecorder::UntilDigestTimer() {
  const std::scoped_lock lock(this->mutex);
  return std::max(this->digests.next_timer() - this->options.clock(),
                  Duration::zero());
}

std::uint64_t ServiceLevelRecorder::missed_digests() {
  const std::scoped_lock lock(this->mutex);
  return this->digests.missed();
}

}  // namespace acacialug::entry_process
