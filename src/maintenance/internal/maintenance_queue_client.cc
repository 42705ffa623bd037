#include "maintenance/maintenance_queue_client.h"

#include <algorithm>
#include <utility>

namespace acacialug::maintenance {

MaintenanceQueueClient::MaintenanceQueueClient(MaintenanceOptions turn_options,
                                               RandomSource& random_source)
    : options(std::move(turn_options)), random(random_source) {}

void MaintenanceQueueClient::SetPool(MaintenancePool new_pool, Instant now) {
  const bool other = new_pool.stream != this->pool.stream;
  this->pool = std::move(new_pool);
  if (other) {
    // A predecessor on this host may have died in its turn: its claim stands
    // under this endpoint's name, and only this process can give it back.
    this->Forget();
    this->claim_id = 0;
    this->settled = false;
    this->due = this->Spread(now);
  }
}

void MaintenanceQueueClient::SetIntent(MaintenanceIntent new_wish,
                                       Instant now) {
  if (new_wish == this->wish) {
    return;
  }
  this->wish = new_wish;
  if (!this->settled) {
    this->due = now;
  } else if (new_wish == MaintenanceIntent::kEnter &&
             !this->pool.stream.empty()) {
    this->settled = false;
    this->due = this->Spread(now);
  }
}

void MaintenanceQueueClient::OnTimer(Instant now) {
  if (this->due <= now && !this->busy) {
    this->due = kNever;
    this->Pursue(now);
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
  // Behind a pause, or with the log out, what was read may be what another
  // start of this agent has long ended.
  if (!this->verified_at ||
      now > *this->verified_at + this->options.fresh_for) {
    return std::nullopt;
  }
  const std::optional<std::size_t> rank = this->Rank();
  return rank && *rank < this->pool.allowed_out ? rank : std::nullopt;
}

void MaintenanceQueueClient::Forget() {
  this->turn_book = MaintenanceQueue();
  this->copies.clear();
  this->read_to_end = false;
  this->verified_at.reset();
}

// ---- what is next; called when nothing is under way ----

void MaintenanceQueueClient::Pursue(Instant now) {
  if (!this->read_to_end) {
    this->Read(now);
    return;
  }
  const MaintenanceQueue::Claim* own =
      this->turn_book.OpenClaimOf(this->options.endpoint);
  if (own != nullptr) {
    this->claim_id = own->id;
    this->claim_since = own->since;
  }
  const bool releases =
      this->wish == MaintenanceIntent::kNone && this->NeedsRelease();
  const bool claims = this->wish == MaintenanceIntent::kEnter && own == nullptr;
  if ((releases || claims) && now < this->append_at) {
    this->ReadAgainAt(this->append_at);
  } else if (releases) {
    this->Release();
  } else if (claims) {
    this->Claim();
  } else if (this->wish == MaintenanceIntent::kNone ||
             (this->wish == MaintenanceIntent::kKeep && own == nullptr &&
              this->claim_id == 0)) {
    // At rest nobody reads: thousands of agents must not poll the log.
    this->Forget();
    this->claim_id = 0;
    this->settled = true;
  } else if (!this->CopyOne(now)) {
    this->ReadAgainAt(now + this->PollInterval());
  }
}

void MaintenanceQueueClient::ReadAgainAt(Instant when) {
  this->read_to_end = false;
  this->due = when;
}

bool MaintenanceQueueClient::NeedsRelease() const {
  return this->claim_id != 0 &&
         !this->turn_book.IsClosed(this->options.endpoint, this->claim_id);
}

void MaintenanceQueueClient::Claim() {
  // The same name again: the append before may have taken effect unseen.
  if (this->claim_id == 0 ||
      this->turn_book.IsClosed(this->options.endpoint, this->claim_id)) {
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

// The log drops a claim's record when it is old. A reader that starts later
// would not know of an endpoint that is still out, so whoever reads copies
// what is old; the copies of several readers count as one.
bool MaintenanceQueueClient::CopyOne(Instant now) {
  for (const auto& [since, claim] : this->turn_book.open()) {
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
  std::map<EndpointId, std::pair<LogOffset, Instant>> still;
  for (const auto& [since, claim] : this->turn_book.open()) {
    const auto before = this->copies.find(claim.endpoint);
    const bool same =
        before != this->copies.end() && before->second.first == claim.newest;
    // Spread, so that seldom two readers copy the same.
    const Instant read_at =
        now + FromSeconds(Seconds(this->options.copy_after) * 0.5 *
                          this->random.Unit());
    still[claim.endpoint] =
        same ? before->second : std::pair(claim.newest, read_at);
  }
  this->copies = std::move(still);
}

// ---- the log ----

void MaintenanceQueueClient::Read(Instant now) {
  this->busy = true;
  this->read_began = now;
  this->actions.emplace_back(ReadMaintenanceStream{
      .stream = this->pool.stream,
      .from = LogOffset(this->turn_book.applied_through().value + 1)});
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
  const LogOffset through = this->turn_book.applied_through();
  if (through.value > 0 && read->first_kept.value > through.value + 1) {
    // Releases may stand in the gap: begin anew with what the log has.
    this->Forget();
  }
  for (const cluster::ILog::Record& record : read->records) {
    this->turn_book.Apply(record.offset, record.payload);
  }
  this->NoteCopies(now);
  this->read_to_end =
      read->records.empty() ||
      this->turn_book.applied_through().value + 1 >= read->next.value;
  if (this->read_to_end) {
    this->verified_at = this->read_began;
  }
  this->Pursue(now);
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
    // It is repeated if it is not read, but not at once: an answer may be lost
    // because the log has too much to do.
    this->append_retry =
        std::clamp(this->append_retry * 2, this->options.retry_first,
                   this->options.retry_most);
    this->append_at = now + this->append_retry;
  }
  // Known or not: what counts is what stands there.
  this->Read(now);
}

Duration MaintenanceQueueClient::PollInterval() {
  if (this->wish != MaintenanceIntent::kEnter) {
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
  this->retry = std::clamp(this->retry * 2, this->options.retry_first,
                           this->options.retry_most);
  this->ReadAgainAt(now + FromSeconds(Seconds(this->retry) *
                                      (0.5 + 0.5 * this->random.Unit())));
}

Instant MaintenanceQueueClient::Spread(Instant now) {
  const double most = Seconds(this->options.spread_per_member) *
                      static_cast<double>(this->pool.members.size());
  return now + FromSeconds(most * this->random.Unit());
}

}  // namespace acacialug::maintenance
