#include "entry_process/internal/service_level_book.h"

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

ServiceLevelBook::ServiceLevelBook(const Options& book_options)
    : options(book_options),
      random(book_options.seed),
      windows({}, book_options.clock()),
      digests({.entry = book_options.entry,
               .incarnation = book_options.incarnation,
               .interval =
                   service_levels::DigestInterval(book_options.live_entries)},
              this->random,
              book_options.clock()) {}

void ServiceLevelBook::CountRequest(std::string_view service,
                                    std::string_view latency_class,
                                    const LevelCounts& counts) {
  this->Count({.service = std::string(service),
               .latency_class = std::string(latency_class)},
              counts);
}

void ServiceLevelBook::CountPrefill(std::string_view service,
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

void ServiceLevelBook::Count(const SeriesKey& key, const LevelCounts& counts) {
  const std::scoped_lock lock(this->mutex);
  this->windows.Count(key, counts, this->options.clock());
  if (this->options.has_log) {
    this->digests.Count(key, counts);
  }
}

std::string ServiceLevelBook::RenderPage(const manifest::Manifest* manifest) {
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

std::optional<DigestAppend> ServiceLevelBook::OnDigestTimer(WallTime wall) {
  const std::scoped_lock lock(this->mutex);
  return this->digests.OnTimer(this->options.clock(), wall);
}

std::optional<DigestAppend> ServiceLevelBook::FinishDigests(WallTime wall) {
  const std::scoped_lock lock(this->mutex);
  return this->digests.Finish(this->options.clock(), wall);
}

void ServiceLevelBook::OnDigestAppended(std::uint64_t ticket, bool taken) {
  const std::scoped_lock lock(this->mutex);
  this->digests.OnAppended(ticket, taken, this->options.clock());
}

Duration ServiceLevelBook::UntilDigestTimer() {
  const std::scoped_lock lock(this->mutex);
  return std::max(this->digests.next_timer() - this->options.clock(),
                  Duration::zero());
}

std::uint64_t ServiceLevelBook::missed_digests() {
  const std::scoped_lock lock(this->mutex);
  return this->digests.missed();
}

}  // namespace acacialug::entry_process
