#include "once/claim_table.h"

#include <utility>

namespace acacialug::once {

void ClaimTable::Apply(LogOffset offset,
                       const std::string& payload,
                       Instant now) {
  if (offset <= this->through) {
    return;
  }
  this->through = offset;
  this->DropOld(now);
  const Result<ClaimBatch> batch = DecodeBatch(payload);
  if (!batch.ok()) {
    return;
  }
  if (batch->voids != 0) {
    // A batch that came before its void stays: the process that claimed by it
    // may have run the work.
    if (!this->HasBatch(batch->voids)) {
      this->voided.insert(batch->voids);
      this->aging.push_back({.read_at = now, .batch = batch->voids});
    }
    return;
  }
  // The same batch appears twice: the sender's first append took effect
  // although its answer was lost. The second copy has no effect.
  if (this->IsVoid(batch->id) || !this->batches.insert(batch->id).second) {
    return;
  }
  Aging entry{.read_at = now, .batch = batch->id};
  for (std::uint32_t index = 0; index < batch->claims.size(); ++index) {
    const Claim& claim = batch->claims[index];
    this->ApplyClaim({.offset = offset, .index = index}, claim);
    entry.keys.push_back(claim.key);
  }
  this->aging.push_back(std::move(entry));
}

void ClaimTable::ApplyClaim(const ClaimPosition& position, const Claim& claim) {
  const auto found = this->holders.find(claim.key);
  if (found == this->holders.end()) {
    // A claim that replaces one which this log no longer holds is beyond the
    // window: no process may run it any more.
    if (claim.replaces == ClaimPosition{}) {
      this->holders.emplace(claim.key, Holder{.position = position,
                                              .claim_id = claim.id,
                                              .fingerprint = claim.fingerprint,
                                              .home = claim.home});
    }
    return;
  }
  Holder& holder = found->second;
  if (claim.replaces == holder.position &&
      claim.fingerprint == holder.fingerprint) {
    holder.position = position;
    holder.claim_id = claim.id;
    holder.home = claim.home;
  }
}

const ClaimTable::Holder* ClaimTable::Find(const WorkKey& key) const {
  const auto found = this->holders.find(key);
  return found == this->holders.end() ? nullptr : &found->second;
}

bool ClaimTable::HasBatch(std::uint64_t batch_id) const {
  return this->batches.contains(batch_id);
}

bool ClaimTable::IsVoid(std::uint64_t batch_id) const {
  return this->voided.contains(batch_id);
}

void ClaimTable::DropOld(Instant now) {
  while (!this->aging.empty() &&
         this->aging.front().read_at + this->options.window < now) {
    for (const WorkKey& key : this->aging.front().keys) {
      this->holders.erase(key);
    }
    this->batches.erase(this->aging.front().batch);
    this->voided.erase(this->aging.front().batch);
    this->aging.pop_front();
  }
}

}  // namespace acacialug::once
