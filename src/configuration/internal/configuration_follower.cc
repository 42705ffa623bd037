#include "configuration/configuration_follower.h"

#include <algorithm>
#include <utility>

#include "manifest/manifest_parser.h"

namespace acacialug::configuration {
namespace {

// For news that a peer spoke of. A change has to be in force within 4 s, also
// with a log that does not answer.
constexpr Duration kLogPatience = 1s;

}  // namespace

ConfigurationFollower::ConfigurationFollower(FollowerOptions follower_options,
                                             RandomSource& random_source)
    : options(std::move(follower_options)), random(random_source) {}

void ConfigurationFollower::Start(Instant now) {
  this->timer = now;
  this->OnTimer(now);
}

const AcceptedManifest* ConfigurationFollower::active() const {
  return this->forced ? &*this->forced : nullptr;
}

LogOffset ConfigurationFollower::offset() const {
  return this->forced ? this->forced->manifest->offset : LogOffset();
}

// A process that starts while the log is out, and takes the first manifest
// that it hears of, could serve under one that was replaced hours ago. It
// waits for the log's end, or, with the log out, for the newest offset that
// any peer has spoken of.
bool ConfigurationFollower::ready() const {
  return this->was_ready || this->KnowsNewest();
}

bool ConfigurationFollower::KnowsNewest() const {
  const bool knows_newest =
      this->read_to_end || (this->log_failed && this->heard_from_peer);
  return this->forced && knows_newest &&
         (this->doubted || this->offset() >= this->highest_heard);
}

std::vector<FollowerAction> ConfigurationFollower::TakeActions() {
  return std::exchange(this->actions, {});
}

void ConfigurationFollower::Read(Duration wait) {
  if (this->reading) {
    return;
  }
  this->reading = true;
  const LogOffset from =
      this->history ? LogOffset(this->history->applied_through().value + 1)
                    : LogOffset(1);
  this->actions.emplace_back(ReadStream{.from = from, .wait = wait});
}

Instant ConfigurationFollower::next_timer() const {
  return std::min(this->timer, this->ask_at);
}

void ConfigurationFollower::OnTimer(Instant now) {
  if (now >= this->ask_at) {
    this->ask_at = kNever;
    this->actions.emplace_back(FetchFromPeer{.offset = this->highest_heard});
  }
  if (now < this->timer) {
    return;
  }
  this->timer = kNever;
  const bool at_end = this->read_to_end && !this->log_failed;
  this->Read(at_end ? this->options.long_poll : Duration{});
}

void ConfigurationFollower::OnRead(const Result<cluster::ILog::Read>& read,
                                   Instant now) {
  this->reading = false;
  if (!read.ok()) {
    this->ScheduleRetry(now);
    return;
  }
  this->log_failed = false;
  this->retry_delay = {};
  this->ApplyRecords(*read);
  const LogOffset next(this->history->applied_through().value + 1);
  this->read_to_end = next >= read->next || read->records.empty();
  if (const AcceptedManifest* current = this->history->current()) {
    this->TakeInForce(*current);
  }
  this->ConsiderCheckpoint(now);
  this->Doubt(now);
  this->was_ready = this->ready();
  this->ScheduleRead(now);
}

// The log is what counts: an offset that it does not hold was read in another
// log, or never. Without this one word of such a process would keep every
// process that hears it from serving, and have thousands poll the log.
void ConfigurationFollower::Doubt(Instant now) {
  this->doubted = this->doubted ||
                  (this->read_to_end && this->offset() < this->highest_heard &&
                   now - this->heard_at >= this->options.doubted_after);
  if (this->doubted) {
    this->ask_at = kNever;
  }
}

void ConfigurationFollower::ScheduleRead(Instant now) {
  const bool expects = this->offset() < this->highest_heard;
  if (!this->read_to_end) {
    this->timer = now;
  } else if (expects && !this->doubted) {
    this->timer = now + this->options.poll_interval;
  } else if (this->options.follow_stream) {
    this->timer = this->options.long_poll.count() > 0
                      ? now
                      : now + this->options.poll_interval;
  } else if (this->alone) {
    this->timer = now + this->options.alone_interval;
  } else if (expects) {
    this->timer = now + this->options.doubted_interval;
  }
}

// Entries tell an endpoint that it is to leave, and drop it. One that was
// paused meanwhile, or whose message was lost, hears of nothing any more: it
// would take itself for in use for ever.
void ConfigurationFollower::SetAlone(bool is_alone, Instant now) {
  if (is_alone == this->alone || this->options.follow_stream) {
    return;
  }
  this->alone = is_alone;
  if (this->alone && !this->reading && !this->log_failed) {
    this->timer = std::min(this->timer, now + this->options.alone_interval);
  }
}

void ConfigurationFollower::ApplyRecords(const cluster::ILog::Read& read) {
  if (!this->history) {
    this->history.emplace(read.first_kept);
  } else if (read.first_kept.value >
             this->history->applied_through().value + 1) {
    this->history->OnTruncated(read.first_kept);
  }
  for (const cluster::ILog::Record& record : read.records) {
    this->history->Apply(record.offset, record.payload);
  }
}

void ConfigurationFollower::ScheduleRetry(Instant now) {
  this->log_failed = true;
  this->ask_at = kNever;
  this->retry_delay =
      std::clamp(this->retry_delay * 2, this->options.initial_retry_delay,
                 this->options.max_retry_delay);
  // Jitter: thousands of readers whose log comes back must not all ask in the
  // same instant.
  const double share = 0.5 + 0.5 * this->random.Unit();
  this->timer = now + FromSeconds(Seconds(this->retry_delay) * share);
  // A process without any manifest asks too: nobody speaks to it yet. So does
  // one that reads without being told: with the log out, nothing else would
  // tell it.
  if (!this->forced || this->options.follow_stream || this->alone ||
      this->offset() < this->highest_heard) {
    this->actions.emplace_back(FetchFromPeer{.offset = this->highest_heard});
  }
}

// Never back: a reader behind a truncated log, or a peer that was paused, may
// offer an older manifest after a newer one.
void ConfigurationFollower::TakeInForce(const AcceptedManifest& candidate) {
  if (this->forced && candidate.manifest->offset <= this->offset()) {
    return;
  }
  this->forced = candidate;
  this->highest_heard = std::max(this->highest_heard, this->offset());
  if (this->offset() >= this->highest_heard) {
    this->ask_at = kNever;
  }
  this->actions.emplace_back(ActivateManifest{.accepted = candidate});
}

void ConfigurationFollower::OnPeerOffset(LogOffset offset, Instant now) {
  this->heard_from_peer = true;
  if (offset <= this->offset()) {
    return;
  }
  if (offset > this->highest_heard) {
    this->highest_heard = offset;
    this->heard_at = now;
    this->doubted = false;
  } else if (!this->doubted || offset == this->highest_heard) {
    return;  // looked for already
  }
  if (!this->log_failed) {
    // The log has the change as a few lines; a peer's page is the whole text,
    // and every process would fetch it from every peer, at each change. A log
    // that fails asks the peers by itself; one that only hangs does by this.
    this->ask_at = std::min(this->ask_at, now + kLogPatience);
    this->timer = this->reading ? this->timer : now;
    return;
  }
  this->actions.emplace_back(FetchFromPeer{.offset = offset});
  if (this->reading) {
    return;
  }
  // That peer has just read the log: it may be back, and a wait that grew in
  // the outage would keep an old manifest in force for seconds.
  this->retry_delay = this->options.initial_retry_delay;
  this->timer = std::min(
      this->timer,
      now + FromSeconds(Seconds(this->retry_delay) * this->random.Unit()));
}

Status ConfigurationFollower::OnPeerManifest(LogOffset offset,
                                             const std::string& text) {
  this->heard_from_peer = true;
  if (this->forced && offset <= this->offset()) {
    return Error(ResultCode::kManifestStale,
                 "offset " + std::to_string(offset.value));
  }
  Result<manifest::Manifest> read = manifest::ParseManifest(
      text, "manifest at offset " + std::to_string(offset.value));
  if (!read.ok()) {
    return Error(ResultCode::kManifestInvalid, read.error().detail);
  }
  read.value().offset = offset;
  this->TakeInForce({.manifest = std::make_shared<const manifest::Manifest>(
                         std::move(read.value())),
                     .text = text});
  this->was_ready = this->ready();
  return Success{};
}

// Retention would drop the only copy of a manifest that nobody changes for
// months, and a host started afterwards could never learn it. When the newest
// copy is half as old as the retention it is appended again. The age of the
// copy found at start is not known, and hosts that are replaced before their
// waiting time is over would never append: so the first wait is drawn without
// memory, which no restart resets. A copy seen later resets every follower's.
void ConfigurationFollower::ConsiderCheckpoint(Instant now) {
  if (this->options.retention.count() == 0 || !this->history->judged() ||
      this->history->current() == nullptr || !this->read_to_end) {
    return;
  }
  const Duration half = this->options.retention / 2;
  if (this->copy_due == kNever) {
    this->copy_seen = this->history->newest_copy();
    const double wait = this->random.Exponential(Seconds(half));
    this->copy_due = now + std::min(half, FromSeconds(wait));
    return;
  }
  if (this->history->newest_copy() != this->copy_seen) {
    this->copy_seen = this->history->newest_copy();
    this->copy_due =
        now + FromSeconds(Seconds(half) * (0.8 + 0.2 * this->random.Unit()));
    return;
  }
  if (now < this->copy_due) {
    return;
  }
  this->copy_due = now + this->options.retention / 8;  // if it fails
  this->actions.emplace_back(AppendCheckpoint{
      .payload = EncodeRecord(this->history->MakeCheckpoint(
          this->options.author, this->random.NextRequestId()))});
}

}  // namespace acacialug::configuration
