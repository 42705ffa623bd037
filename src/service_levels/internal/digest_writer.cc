#include "service_levels/digest_writer.h"

#include <algorithm>
#include <utility>

#include "service_levels/types/live_levels.h"

namespace acacialug::service_levels {
namespace {

// All processes together append 0.25 times a second, a thousandth of the log's
// capacity, for any number of processes up to 900.
constexpr Duration kIntervalPerEntry = 4s;
constexpr Duration kMinInterval = 5min;
constexpr Duration kMaxInterval = 1h;
// Delays after a failure, and between the parts of a backlog, as shares of the
// interval.
constexpr double kRetryShare = 0.25;
constexpr double kBacklogShare = 0.02;
constexpr double kJitter = 0.1;

Duration Share(Duration duration, double share) {
  return FromSeconds(Seconds(duration) * share);
}

}  // namespace

Duration DigestInterval(std::uint32_t entries) {
  return std::clamp<Duration>(kIntervalPerEntry * entries, kMinInterval,
                              kMaxInterval);
}

DigestWriter::DigestWriter(Options writer_options,
                           RandomSource& random_source,
                           Instant now)
    : options(std::move(writer_options)),
      random(random_source),
      opened(now),
      close_at(now + Share(this->options.interval, this->random.Unit())) {}

void DigestWriter::Count(const SeriesKey& key, const LevelCounts& counts) {
  const bool full = this->open.size() >= this->options.max_series &&
                    !this->open.contains(key);
  const SeriesKey other{.kind = key.kind, .service = std::string(kOtherSeries)};
  this->open[full ? other : key].Add(counts, this->options.max_causes);
}

std::optional<DigestAppend> DigestWriter::OnTimer(Instant now, WallTime wall) {
  if (now >= this->close_at) {
    this->CloseWindow(now, wall);
    this->close_at = now + this->Jittered(this->options.interval);
    if (!this->under_way) {
      this->append_at = std::min(this->append_at, now);
    }
  }
  if (now < this->append_at) {
    return std::nullopt;
  }
  if (this->under_way) {
    // Without this, a single answer that never arrives would stop all digests.
    this->OnAppended(this->last_ticket, false, now);
    return std::nullopt;
  }
  return this->Append(0, now);
}

std::optional<DigestAppend> DigestWriter::Finish(Instant now, WallTime wall) {
  this->CloseWindow(now, wall);
  this->close_at = kNever;
  const std::size_t max_windows = this->options.max_windows_per_append;
  const std::size_t count = this->waiting.size();
  return this->Append(count > max_windows ? count - max_windows : 0, now);
}

void DigestWriter::CloseWindow(Instant now, WallTime wall) {
  const Duration length = now - this->opened;
  this->opened = now;
  if (this->open.empty()) {
    return;  // an idle process appends nothing
  }
  DigestWindow window{
      .sequence = this->next_sequence,
      .start =
          wall - std::chrono::duration_cast<std::chrono::milliseconds>(length),
      .length = length,
      .series = std::exchange(this->open, {})};
  ++this->next_sequence.value;
  this->waiting.push_back(std::move(window));
  if (this->waiting.size() > this->options.max_pending) {
    this->waiting.pop_front();
    ++this->missed_windows;
  }
}

std::optional<DigestAppend> DigestWriter::Append(std::size_t first,
                                                 Instant now) {
  const std::size_t end = std::min(
      this->waiting.size(), first + this->options.max_windows_per_append);
  if (first >= end) {
    this->append_at = kNever;
    return std::nullopt;
  }
  DigestAppend append{.ticket = ++this->last_ticket,
                      .digest = {.entry = this->options.entry,
                                 .incarnation = this->options.incarnation,
                                 .missed = this->missed_windows}};
  for (std::size_t index = first; index < end; ++index) {
    append.digest.windows.push_back(this->waiting[index]);
  }
  this->under_way = true;
  this->last_sent = append.digest.windows.back().sequence;
  this->append_at = now + this->options.append_timeout;
  return append;
}

void DigestWriter::OnAppended(std::uint64_t ticket,
                              bool accepted,
                              Instant now) {
  if (!this->under_way || ticket != this->last_ticket) {
    return;
  }
  this->under_way = false;
  while (accepted && !this->waiting.empty() &&
         this->waiting.front().sequence <= this->last_sent) {
    this->waiting.pop_front();
  }
  const Duration delay =
      Share(this->options.interval, accepted ? kBacklogShare : kRetryShare);
  this->append_at =
      this->waiting.empty() ? kNever : now + this->Jittered(delay);
}

Instant DigestWriter::next_timer() const {
  return std::min(this->close_at, this->append_at);
}

Duration DigestWriter::Jittered(Duration duration) {
  return Share(duration, 1 - kJitter + 2 * kJitter * this->random.Unit());
}

}  // namespace acacialug::service_levels
