#include "maintenance/maintenance_queue_client.h"

#include <algorithm>
#include <utility>

namespace acacialug::maintenance {

MaintenanceQueueClient::MaintenanceQueueClient(
    MaintenanceOptions client_options,
    RandomSource& random_source)
    : options(std::move(client_options)), random(random_source) {}

void MaintenanceQueueClient::SetPool(MaintenancePool new_pool, Instant now) {
  const bool other = new_pool.stream != this->pool.stream;
  this->pool = std::move(new_pool);
  if (other) {
    // A previous agent process of this endpoint may have died with an open
    // claim, which only this process can release.
    this->ClearReadState();
    this->claim_id = 0;
    this->idle = false;
    this->due = this->RandomizedStart(now);
  }
}

void MaintenanceQueueClient::SetIntent(MaintenanceIntent new_intent,
                                       Instant now) {
  if (new_intent == this->intent) {
    return;
  }
  this->intent = new_intent;
  if (!this->idle) {
    this->due = now;
  } else if (new_intent == MaintenanceIntent::kEnter &&
             !this->pool.stream.empty()) {
    this->idle = false;
    this->due = this->RandomizedStart(now);
  }
}

void MaintenanceQueueClient::OnTimer(Instant now) {
  if (this->due <= now && !this->busy) {
    this->due = kNever;
    this->Proceed(now);
  }
}

Instant MaintenanceQueueClient::next_timer() const {
  return this->busy ? kNever : this->due;
}

std::vector<MaintenanceAction> MaintenanceQueueClient::TakeActions() {
  return std::exchange(this->actions, {});
}

std::optional<std::size_t> MaintenanceQueueClient::PermittedRank(
    Instant now) const {
  // After a process pause, or while the log is unavailable, the last read may
  // show a claim that a later start of this agent has already released.
  if (!this->verified_at ||
      now > *this->verified_at + this->options.fresh_for) {
    return std::nullopt;
  }
  const std::optional<std::size_t> rank = this->Rank();
  return rank && *rank < this->pool.allowed_out ? rank : std::nullopt;
}

void MaintenanceQueueClient::ClearReadState() {
  this->queue = MaintenanceQueue();
  this->copies.clear();
  this->read_to_end = false;
  this->verified_at.reset();
}

// ---- the next step; called when no read or append is in progress ----

void MaintenanceQueueClient::Proceed(Instant now) {
  if (!this->read_to_end) {
    this->Read(now);
    return;
  }
  const MaintenanceQueue::Claim* own =
      this->queue.OpenClaimOf(this->options.endpoint);
  if (own != nullptr) {
    this->claim_id = own->id;
    this->claim_since = own->since;
  }
  const bool releases =
      this->intent == MaintenanceIntent::kNone && this->NeedsRelease();
  const bool claims =
      this->intent == MaintenanceIntent::kEnter && own == nullptr;
  if ((releases || claims) && now < this->append_at) {
    this->ScheduleRead(this->append_at);
  } else if (releases) {
    this->Release();
  } else if (claims) {
    this->Claim();
  } else if (this->intent == MaintenanceIntent::kNone ||
             (this->intent == MaintenanceIntent::kKeep && own == nullptr &&
              this->claim_id == 0)) {
    // An idle client does not read: thousands of agents must not poll the log.
    this->ClearReadState();
    this->claim_id = 0;
    this->idle = true;
  } else if (!this->CopyOne(now)) {
    this->ScheduleRead(now + this->PollInterval());
  }
}

void MaintenanceQueueClient::ScheduleRead(Instant when) {
  this->read_to_end = false;
  this->due = when;
}

bool MaintenanceQueueClient::NeedsRelease() const {
  return this->claim_id != 0 &&
         !this->queue.IsClosed(this->options.endpoint, this->claim_id);
}

void MaintenanceQueueClient::Claim() {
  // Reuses the id: an earlier append may have taken effect without an answer.
  if (this->claim_id == 0 ||
      this->queue.IsClosed(this->options.endpoint, this->claim_id)) {
    this->claim_id = this->random.Next() | 1U;
    this->claim_since = {};
  }
  this->Append({.kind = MaintenanceRecordKind::kClaim,
                .endpoint = this->options.endpoint,
                .id = this->claim_id,
                .manifest = this->pool.manifest,
                .since = this->claim_since});
}

void MaintenanceQueueClient::Release() {
  this->Append({.kind = MaintenanceRecordKind::kRelease,
                .endpoint = this->options.endpoint,
                .id = this->claim_id,
                .manifest = this->pool.manifest});
}

// Log retention drops old records. A reader that starts later would not know
// of an endpoint that is still out of service, so every reader copies old
// open claims; copies by several readers count as one claim.
bool MaintenanceQueueClient::CopyOne(Instant now) {
  for (const auto& [since, claim] : this->queue.open()) {
    const auto seen = this->copies.find(claim.endpoint);
    if (seen != this->copies.end() &&
        this->pool.members.contains(claim.endpoint) &&
        now >= seen->second.second + this->options.copy_after) {
      this->Append({.kind = MaintenanceRecordKind::kClaim,
                    .endpoint = claim.endpoint,
                    .id = claim.id,
                    .manifest = this->pool.manifest,
                    .since = claim.since});
      return true;
    }
  }
  return false;
}

void MaintenanceQueueClient::NoteCopies(Instant now) {
  std::map<EndpointId, std::pair<LogOffset, Instant>> open_copies;
  for (const auto& [since, claim] : this->queue.open()) {
    const auto before = this->copies.find(claim.endpoint);
    const bool same =
        before != this->copies.end() && before->second.first == claim.newest;
    // Randomized, so that two readers rarely copy the same claim.
    const Instant read_at =
        now + FromSeconds(Seconds(this->options.copy_after) * 0.5 *
                          this->random.Unit());
    open_copies[claim.endpoint] =
        same ? before->second : std::pair(claim.newest, read_at);
  }
  this->copies = std::move(open_copies);
}

// ---- the log ----

void MaintenanceQueueClient::Read(Instant now) {
  this->busy = true;
  this->read_started_at = now;
  this->actions.emplace_back(ReadMaintenanceStream{
      .stream = this->pool.stream,
      .from = LogOffset(this->queue.applied_through().value + 1)});
}

void MaintenanceQueueClient::Append(const MaintenanceRecord& record) {
  this->busy = true;
  ++this->append_count;
  this->actions.emplace_back(AppendMaintenanceRecord{
      .stream = this->pool.stream, .payload = EncodeMaintenanceRecord(record)});
}

void MaintenanceQueueClient::OnRead(const Result<cluster::ILog::Read>& read,
                                    Instant now) {
  this->busy = false;
  if (!read.ok()) {
    this->RetryLater(now);
    return;
  }
  this->retry = {};
  const LogOffset through = this->queue.applied_through();
  if (through.value > 0 && read->first_kept.value > through.value + 1) {
    // The gap may contain releases: start again from what the log holds.
    this->ClearReadState();
  }
  for (const cluster::ILog::Record& record : read->records) {
    this->queue.Apply(record.offset, record.payload);
  }
  this->NoteCopies(now);
  this->read_to_end =
      read->records.empty() ||
      this->queue.applied_through().value + 1 >= read->next.value;
  if (this->read_to_end) {
    this->verified_at = this->read_started_at;
  }
  this->Proceed(now);
}

void MaintenanceQueueClient::OnAppended(const Result<LogOffset>& result,
                                        Instant now) {
  this->busy = false;
  this->read_to_end = false;
  if (!result.ok() &&
      result.error().result_code() == ResultCode::kPlatformUnavailable) {
    this->RetryLater(now);
    return;
  }
  if (result.ok()) {
    this->append_retry = {};
  } else {
    // An append that isn't found in the log is repeated, but only after a
    // delay: the answer may have been lost because the log is overloaded.
    this->append_retry =
        std::clamp(this->append_retry * 2, this->options.initial_retry_delay,
                   this->options.max_retry_delay);
    this->append_at = now + this->append_retry;
  }
  // Whatever the answer, only the records in the log count.
  this->Read(now);
}

Duration MaintenanceQueueClient::PollInterval() {
  if (this->intent != MaintenanceIntent::kEnter) {
    return this->options.longest_poll;
  }
  const std::optional<std::size_t> rank = this->Rank();
  const std::size_t allowed = std::max<std::size_t>(1, this->pool.allowed_out);
  const double ahead = rank ? static_cast<double>(*rank) : 0;
  const Duration paced = FromSeconds(Seconds(this->options.shortest_poll) *
                                     ahead / static_cast<double>(allowed));
  const Duration bounded = std::clamp(paced, this->options.shortest_poll,
                                      this->options.longest_poll);
  return FromSeconds(Seconds(bounded) * (0.75 + 0.5 * this->random.Unit()));
}

void MaintenanceQueueClient::RetryLater(Instant now) {
  this->retry = std::clamp(this->retry * 2, this->options.initial_retry_delay,
                           this->options.max_retry_delay);
  this->ScheduleRead(now + FromSeconds(Seconds(this->retry) *
                                       (0.5 + 0.5 * this->random.Unit())));
}

Instant MaintenanceQueueClient::RandomizedStart(Instant now) {
  const double max_delay = Seconds(this->options.spread_per_member) *
                           static_cast<double>(this->pool.members.size());
  return now + FromSeconds(max_delay * this->random.Unit());
}

}  // namespace acacialug::maintenance
