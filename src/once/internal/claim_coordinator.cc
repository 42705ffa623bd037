#include "once/claim_coordinator.h"

#include <algorithm>
#include <utility>

namespace acacialug::once {

ClaimCoordinator::ClaimCoordinator(CoordinatorOptions coordinator_options,
                                   RandomSource& random_source)
    : options(coordinator_options),
      random(random_source),
      claim_table(this->options.table) {}

void ClaimCoordinator::Start(Instant now) {
  this->read_at = now;
  this->OnTimer(now);
}

void ClaimCoordinator::Request(ClaimToken token, Claim claim, Instant now) {
  claim.id = this->random.Next() | 1U;
  Waiting waiting_claim{.claim = std::move(claim)};
  const ClaimTable::Holder* holder =
      this->claim_table.Find(waiting_claim.claim.key);
  const bool taken =
      holder != nullptr && !(waiting_claim.claim.replaces == holder->position);
  if (!this->ready() || this->waiting.size() >= this->options.max_pending) {
    this->Settle(token, ClaimVerdict::kUnavailable);
    return;
  }
  if (taken) {
    this->SettleKnown(token, waiting_claim);
    return;
  }
  this->waiting.emplace(token, std::move(waiting_claim));
  this->deadlines.emplace_back(now + this->options.claim_timeout, token);
  this->uncommitted.push_back(token);
  if (this->uncommitted.size() >= this->options.max_batch) {
    this->Commit();
  } else {
    this->commit_at =
        std::min(this->commit_at, now + this->options.commit_interval);
  }
}

void ClaimCoordinator::Forget(ClaimToken token) {
  this->waiting.erase(token);
}

void ClaimCoordinator::Settle(ClaimToken token, ClaimVerdict verdict) {
  this->actions.emplace_back(ClaimSettled{.token = token, .verdict = verdict});
}

void ClaimCoordinator::SettleKnown(ClaimToken token,
                                   const Waiting& waiting_claim) {
  const ClaimTable::Holder* holder =
      this->claim_table.Find(waiting_claim.claim.key);
  if (holder == nullptr) {
    this->Settle(token, ClaimVerdict::kUnavailable);
    return;
  }
  ClaimVerdict verdict = ClaimVerdict::kHeld;
  if (holder->fingerprint != waiting_claim.claim.fingerprint) {
    verdict = ClaimVerdict::kReused;
  } else if (holder->claim_id == waiting_claim.claim.id) {
    verdict = ClaimVerdict::kWon;
  }
  this->actions.emplace_back(ClaimSettled{.token = token,
                                          .verdict = verdict,
                                          .position = holder->position,
                                          .home = holder->home});
}

void ClaimCoordinator::SettleBatch(std::uint64_t batch) {
  auto node = this->in_flight.extract(batch);
  if (node.empty()) {
    return;
  }
  for (const ClaimToken token : node.mapped()) {
    const auto found = this->waiting.find(token);
    if (found != this->waiting.end()) {
      this->SettleKnown(token, found->second);
      this->waiting.erase(found);
    }
  }
}

void ClaimCoordinator::RefuseBatch(std::uint64_t batch) {
  auto node = this->in_flight.extract(batch);
  if (node.empty()) {
    return;
  }
  for (const ClaimToken token : node.mapped()) {
    if (this->waiting.erase(token) > 0) {
      this->Settle(token, ClaimVerdict::kUnavailable);
    }
  }
}

void ClaimCoordinator::Append(const ClaimBatch& batch) {
  ++this->append_count;
  this->actions.emplace_back(
      AppendBatch{.batch = batch.id, .payload = EncodeBatch(batch)});
}

void ClaimCoordinator::Commit() {
  this->commit_at = kNever;
  ClaimBatch batch{.id = this->random.Next() | 1U};
  std::vector<ClaimToken> tokens;
  for (const ClaimToken token : std::exchange(this->uncommitted, {})) {
    const auto found = this->waiting.find(token);
    if (found != this->waiting.end()) {
      batch.claims.push_back(found->second.claim);
      tokens.push_back(token);
    }
  }
  if (tokens.empty()) {
    return;
  }
  this->in_flight.emplace(batch.id, std::move(tokens));
  this->Append(batch);
}

// The batch may be in the log, may appear later, or may never appear. Reading
// alone cannot distinguish the last two; after the void the difference does not
// matter, since every reader skips a voided batch.
void ClaimCoordinator::AppendVoid(std::uint64_t batch) {
  const ClaimBatch mark{.id = this->random.Next() | 1U, .voids = batch};
  this->voids.emplace(mark.id, batch);
  this->Append(mark);
}

bool ClaimCoordinator::HasWaiters(std::uint64_t batch) const {
  const auto found = this->in_flight.find(batch);
  return found != this->in_flight.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [this](ClaimToken token) {
                       return this->waiting.contains(token);
                     });
}

// A void that is not known to be in the log is retried while any request waits;
// without one, no process acts on the batch and the void is not needed. The
// second try is immediate, and the delay of further tries grows: a log that is
// down can answer faster than a core can send requests.
void ClaimCoordinator::OnVoidFailed(std::uint64_t voided, Instant now) {
  if (!this->HasWaiters(voided)) {
    this->in_flight.erase(voided);
    return;
  }
  this->read_at = std::min(this->read_at, now);
  const Duration pause = this->void_delay;
  this->void_delay =
      std::clamp(2 * pause, this->options.min_retry, this->options.max_retry);
  if (pause == Duration::zero()) {
    this->AppendVoid(voided);
    return;
  }
  this->voids_due.push_back(voided);
  this->void_at = std::min(this->void_at, now + pause);
}

void ClaimCoordinator::AppendDueVoids() {
  this->void_at = kNever;
  for (const std::uint64_t batch : std::exchange(this->voids_due, {})) {
    if (this->HasWaiters(batch)) {
      this->AppendVoid(batch);
    } else {
      this->in_flight.erase(batch);
    }
  }
}

void ClaimCoordinator::OnAppended(std::uint64_t batch,
                                  const Result<LogOffset>& result,
                                  Instant now) {
  const auto mark = this->voids.find(batch);
  if (mark != this->voids.end()) {
    const std::uint64_t voided = mark->second;
    this->voids.erase(mark);
    if (result.ok()) {
      this->void_delay = {};
    } else {
      this->OnVoidFailed(voided, now);
    }
    return;
  }
  if (result.ok()) {
    if (this->claim_table.HasBatch(batch)) {
      this->SettleBatch(batch);
    } else if (!this->reading) {
      this->ReadNext(Duration{});
    }
    return;
  }
  if (result.error().result_code() == ResultCode::kPlatformUnavailable) {
    this->RefuseBatch(batch);
    return;
  }
  if (this->in_flight.contains(batch)) {
    this->AppendVoid(batch);
  }
}

void ClaimCoordinator::ReadNext(Duration wait) {
  if (this->reading) {
    return;
  }
  this->reading = true;
  this->read_at = kNever;
  this->actions.emplace_back(ReadClaims{
      .from = LogOffset(this->claim_table.applied_through().value + 1),
      .wait = wait});
}

void ClaimCoordinator::OnRead(const Result<cluster::ILog::Read>& read,
                              Instant now) {
  this->reading = false;
  if (!read.ok()) {
    this->retry_delay =
        std::clamp(this->retry_delay * 2, this->options.min_retry,
                   this->options.max_retry);
    this->read_at = now + FromSeconds(Seconds(this->retry_delay) *
                                      (0.5 + 0.5 * this->random.Unit()));
    return;
  }
  this->retry_delay = {};
  const LogOffset through = this->claim_table.applied_through();
  // The records read while serving have a gap: a claim in it may have been
  // missed, and a key run twice. This process makes no further claims; a fresh
  // start reads from the log's oldest record, which covers the stated window.
  if (through.value > 0 && read->first_kept.value > through.value + 1) {
    this->truncated = true;
  }
  for (const cluster::ILog::Record& record : read->records) {
    this->claim_table.Apply(record.offset, record.payload, now);
  }
  this->SettleInFlight();
  this->read_to_end =
      this->read_to_end || read->records.empty() ||
      this->claim_table.applied_through().value + 1 >= read->next.value;
  this->ReadNext(this->read_to_end ? this->options.long_poll : Duration{});
}

void ClaimCoordinator::SettleInFlight() {
  std::vector<std::uint64_t> batches;
  for (const auto& [batch, tokens] : this->in_flight) {
    batches.push_back(batch);
  }
  for (const std::uint64_t batch : batches) {
    if (this->claim_table.HasBatch(batch)) {
      this->SettleBatch(batch);
    } else if (this->claim_table.IsVoid(batch)) {
      this->RefuseBatch(batch);
    }
  }
}

void ClaimCoordinator::ExpireWaiting(Instant now) {
  while (!this->deadlines.empty() && this->deadlines.front().first <= now) {
    const ClaimToken token = this->deadlines.front().second;
    this->deadlines.pop_front();
    if (this->waiting.erase(token) > 0) {
      this->Settle(token, ClaimVerdict::kUnavailable);
    }
  }
}

void ClaimCoordinator::OnTimer(Instant now) {
  this->ExpireWaiting(now);
  if (this->commit_at <= now) {
    this->Commit();
  }
  if (this->void_at <= now) {
    this->AppendDueVoids();
  }
  if (this->read_at <= now) {
    this->ReadNext(this->read_to_end ? this->options.long_poll : Duration{});
  }
}

Instant ClaimCoordinator::next_timer() const {
  const Instant next =
      std::min({this->commit_at, this->read_at, this->void_at});
  return this->deadlines.empty()
             ? next
             : std::min(next, this->deadlines.front().first);
}

std::vector<CoordinatorAction> ClaimCoordinator::TakeActions() {
  return std::exchange(this->actions, {});
}

}  // namespace acacialug::once
