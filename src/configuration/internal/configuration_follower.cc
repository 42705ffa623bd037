#include "configuration/configuration_follower.h"

#include <algorithm>
#include <utility>

#include "manifest/manifest_parser.h"

namespace acacialug::configuration {
namespace {

// Time for the log to deliver a change that a peer reported. A change has to be
// active within 4 s, also when the log does not answer.
constexpr Duration kLogTimeout = 1s;

}  // namespace

ConfigurationFollower::ConfigurationFollower(FollowerOptions follower_options,
                                             RandomSource& random_source)
    : options(std::move(follower_options)), random(random_source) {}

void ConfigurationFollower::Start(Instant now) {
  this->timer = now;
  this->OnTimer(now);
}

const AcceptedManifest* ConfigurationFollower::active() const {
  return this->active_manifest ? &*this->active_manifest : nullptr;
}

LogOffset ConfigurationFollower::offset() const {
  return this->active_manifest ? this->active_manifest->manifest->offset
                               : LogOffset();
}

// If a process that starts while the log is unavailable used the first manifest
// that it receives, it could serve under one that was replaced hours ago. It
// waits for the end of the log or, with the log unavailable, for the newest
// offset that any peer has reported.
bool ConfigurationFollower::ready() const {
  return this->was_ready || this->KnowsNewest();
}

bool ConfigurationFollower::KnowsNewest() const {
  const bool knows_newest =
      this->read_to_end || (this->log_failed && this->received_from_peer);
  return this->active_manifest && knows_newest &&
         (this->unconfirmed || this->offset() >= this->highest_reported);
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
  return std::min(this->timer, this->fetch_at);
}

void ConfigurationFollower::OnTimer(Instant now) {
  if (now >= this->fetch_at) {
    this->fetch_at = kNever;
    this->actions.emplace_back(FetchFromPeer{.offset = this->highest_reported});
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
    this->Activate(*current);
  }
  this->ConsiderCheckpoint(now);
  this->UpdateUnconfirmed(now);
  this->was_ready = this->ready();
  this->ScheduleRead(now);
}

// The log is authoritative: an offset that it does not hold was read in another
// log, or never. Without this rule, one wrong report would keep every process
// that receives it from serving, and make thousands of processes poll the log.
void ConfigurationFollower::UpdateUnconfirmed(Instant now) {
  this->unconfirmed =
      this->unconfirmed ||
      (this->read_to_end && this->offset() < this->highest_reported &&
       now - this->highest_received_at >= this->options.unconfirmed_after);
  if (this->unconfirmed) {
    this->fetch_at = kNever;
  }
}

void ConfigurationFollower::ScheduleRead(Instant now) {
  const bool expects = this->offset() < this->highest_reported;
  if (!this->read_to_end) {
    this->timer = now;
  } else if (expects && !this->unconfirmed) {
    this->timer = now + this->options.poll_interval;
  } else if (this->options.follow_stream) {
    this->timer = this->options.long_poll.count() > 0
                      ? now
                      : now + this->options.poll_interval;
  } else if (this->alone) {
    this->timer = now + this->options.alone_interval;
  } else if (expects) {
    this->timer = now + this->options.unconfirmed_interval;
  }
}

// Entries notify an endpoint that it is to leave, and then drop it. An endpoint
// that was paused meanwhile, or whose message was lost, receives nothing more:
// without reads of its own it would consider itself in use permanently.
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
  this->fetch_at = kNever;
  this->retry_delay =
      std::clamp(this->retry_delay * 2, this->options.initial_retry_delay,
                 this->options.max_retry_delay);
  // Jitter: thousands of readers must not all read at the same instant when the
  // log recovers.
  const double share = 0.5 + 0.5 * this->random.Unit();
  this->timer = now + FromSeconds(Seconds(this->retry_delay) * share);
  // A process without a manifest fetches too: no peer contacts it yet. So does
  // a process that reads without being notified: while the log is unavailable,
  // it learns of changes in no other way.
  if (!this->active_manifest || this->options.follow_stream || this->alone ||
      this->offset() < this->highest_reported) {
    this->actions.emplace_back(FetchFromPeer{.offset = this->highest_reported});
  }
}

// Never activates an older manifest: a reader of a truncated log, or a peer
// that was paused, may offer an older manifest after a newer one.
void ConfigurationFollower::Activate(const AcceptedManifest& candidate) {
  if (this->active_manifest && candidate.manifest->offset <= this->offset()) {
    return;
  }
  this->active_manifest = candidate;
  this->highest_reported = std::max(this->highest_reported, this->offset());
  if (this->offset() >= this->highest_reported) {
    this->fetch_at = kNever;
  }
  this->actions.emplace_back(ActivateManifest{.accepted = candidate});
}

void ConfigurationFollower::OnPeerOffset(LogOffset offset, Instant now) {
  this->received_from_peer = true;
  if (offset <= this->offset()) {
    return;
  }
  if (offset > this->highest_reported) {
    this->highest_reported = offset;
    this->highest_received_at = now;
    this->unconfirmed = false;
  } else if (!this->unconfirmed || offset == this->highest_reported) {
    return;  // a read or fetch for it is scheduled already
  }
  if (!this->log_failed) {
    // The log has the change as a few lines, whereas a peer's page is the full
    // text, which every process would fetch from every peer at each change. A
    // failed read triggers the fetch by itself; this timer covers a log that
    // does not answer.
    this->fetch_at = std::min(this->fetch_at, now + kLogTimeout);
    this->timer = this->reading ? this->timer : now;
    return;
  }
  this->actions.emplace_back(FetchFromPeer{.offset = offset});
  if (this->reading) {
    return;
  }
  // The peer has just read the log, which may have recovered; a delay that grew
  // during the outage would keep an old manifest active for seconds.
  this->retry_delay = this->options.initial_retry_delay;
  this->timer = std::min(
      this->timer,
      now + FromSeconds(Seconds(this->retry_delay) * this->random.Unit()));
}

Status ConfigurationFollower::OnPeerManifest(LogOffset offset,
                                             const std::string& text) {
  this->received_from_peer = true;
  if (this->active_manifest && offset <= this->offset()) {
    return Error(ResultCode::kManifestStale,
                 "offset " + std::to_string(offset.value));
  }
  Result<manifest::Manifest> read = manifest::ParseManifest(
      text, "manifest at offset " + std::to_string(offset.value));
  if (!read.ok()) {
    return Error(ResultCode::kManifestInvalid, read.error().detail);
  }
  read.value().offset = offset;
  this->Activate({.manifest = std::make_shared<const manifest::Manifest>(
                      std::move(read.value())),
                  .text = text});
  this->was_ready = this->ready();
  return Success{};
}

// Retention would drop the only copy of a manifest that stays unchanged for
// months, and a host started afterwards could never learn it. The manifest is
// appended again when its newest copy is half as old as the retention. The age
// of the copy found at start is not known, and hosts that are replaced before
// their wait ends would never append. The first wait is therefore drawn from a
// memoryless (exponential) distribution, which restarts do not reset. A newer
// copy resets the wait of every follower.
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
  this->copy_due =
      now + this->options.retention / 8;  // retry if this append fails
  this->actions.emplace_back(AppendCheckpoint{
      .payload = EncodeRecord(this->history->MakeCheckpoint(
          this->options.author, this->random.NextRequestId()))});
}

}  // namespace acacialug::configuration
