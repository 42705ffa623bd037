#include "quota/quota_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace acacialug::quota {
namespace {

// A debt is no longer than this time of the limit, whatever a peer tells.
constexpr double kLongestDebtSeconds = 8;
constexpr double kGivenOut = 0.5;  // of what may be taken beyond a limit

std::int64_t Whole(double amount) {
  return static_cast<std::int64_t>(std::llround(amount));
}

}  // namespace

bool QuotaLedger::Settled(Instant now) const {
  return this->begun != kNever && now - this->begun >= this->options.settling;
}

double QuotaLedger::RateOf(const Quota& quota) const {
  return quota.per_second * (1 + kGivenOut * this->options.tolerance.overshoot);
}

double QuotaLedger::Most(double burst) const {
  const double share = this->shares.share();
  return share * (burst + kGivenOut * this->options.tolerance.spare) +
         std::min(share, 1 - share) * (1 - kGivenOut) *
             this->options.tolerance.spare;
}

double QuotaLedger::AtStart(double burst) const {
  const double share = this->shares.share();
  return share * this->options.start_share * burst +
         std::min(share, 1 - share) * (1 - kGivenOut) *
             this->options.tolerance.spare;
}

void QuotaLedger::Refill(Account& account, const Quota& quota) const {
  const double gained =
      this->RateOf(quota) * Seconds(this->shares.accrued() - account.accrued);
  account.accrued = this->shares.accrued();
  account.quota = quota;
  account.left =
      std::clamp(account.left + gained, -kLongestDebtSeconds * quota.per_second,
                 this->Most(quota.burst));
  const auto live = static_cast<double>(this->shares.heard() + 1);
  account.promised = std::max(0.0, account.promised - gained / live);
}

QuotaLedger::Account* QuotaLedger::Open(CustomerKey customer, Instant now) {
  const Quota quota = this->options.quota_of(customer);
  if (quota.per_second <= 0) {
    return nullptr;
  }
  if (this->begun == kNever) {
    this->begun = now;
  }
  this->shares.Pass(now);
  const auto [found, created] = this->accounts.try_emplace(customer);
  Account& account = found->second;
  if (created) {
    account.number = ++this->last_account;
    account.opened_at = now;
    account.accrued = this->shares.accrued();
    account.left = this->Settled(now) ? this->Most(quota.burst)
                                      : this->AtStart(quota.burst);
  }
  this->Refill(account, quota);
  return &account;
}

void QuotaLedger::Use(Account& account, double amount, Instant now) const {
  account.left -= amount;
  account.taken += Whole(amount);
  account.used_at = now;
  account.told_until = now + this->options.telling;
}

QuotaLedger::Verdict QuotaLedger::Take(CustomerKey customer,
                                       double amount,
                                       Instant now) {
  Account* const account = this->Open(customer, now);
  if (account == nullptr) {
    return {.granted = true};
  }
  // One that is larger than all that can be saved up needs just that. A part
  // of a fleet does not lend itself the rest: all parts would.
  const double needed = std::min(
      amount, account->quota.burst + kGivenOut * this->options.tolerance.spare);
  Verdict verdict{.granted = account->left >= needed, .left = account->left};
  if (verdict.granted) {
    this->Use(*account, amount, now);
    return verdict;
  }
  const double rate = this->RateOf(account->quota) * this->shares.share();
  const auto live = static_cast<double>(this->shares.heard() + 1);
  verdict.retry_after =
      FromSeconds((needed - account->left + account->promised * live) / rate);
  account->promised += amount;
  account->used_at = now;
  return verdict;
}

void QuotaLedger::Refund(CustomerKey customer, double amount, Instant now) {
  if (Account* const account = this->Open(customer, now)) {
    this->Use(*account, -amount, now);
    account->left = std::min(account->left, this->Most(account->quota.burst));
  }
}

std::vector<QuotaUse> QuotaLedger::CollectReports(std::size_t group,
                                                  std::size_t most,
                                                  Instant now) {
  if (this->accounts.empty()) {
    return {};
  }
  std::vector<std::pair<CustomerKey, Account*>> told;
  for (auto& [customer, account] : this->accounts) {
    if (account.told_until > now) {
      told.emplace_back(customer, &account);
    }
  }
  const std::size_t count = std::min(most, told.size());
  const auto news = [group](const Account& account) {
    return std::abs(account.taken - account.told[group]);
  };
  std::partial_sort(told.begin(),
                    told.begin() + static_cast<std::ptrdiff_t>(count),
                    told.end(), [&news](const auto& one, const auto& other) {
                      return news(*one.second) > news(*other.second);
                    });
  told.resize(count);
  std::vector<QuotaUse> uses;
  uses.reserve(count);
  this->shares.Pass(now);
  for (const auto& [customer, account] : told) {
    this->Refill(*account, account->quota);
    account->told[group] = account->taken;
    uses.push_back({.customer = customer,
                    .account = account->number,
                    .age = now - account->opened_at,
                    .taken = account->taken,
                    .left = account->left});
  }
  return uses;
}

void QuotaLedger::TakeNews(Peer& peer, const QuotaUse& told, Instant now) {
  Account* const account = this->Open(told.customer, now);
  if (account == nullptr) {
    return;
  }
  Heard& heard = peer.heard[told.customer];
  if (heard.account == told.account) {
    account->left -= static_cast<double>(told.taken - heard.taken);
  } else if (now - told.age >= peer.since - this->options.settling) {
    // Opened since the peer is heard, or about when it started.
    account->left -= static_cast<double>(told.taken);
  } else {
    account->left = std::min(account->left, told.left);
  }
  heard = {.account = told.account, .taken = told.taken, .at = now};
  account->used_at = now;
  this->Refill(*account, account->quota);
}

void QuotaLedger::OnPeerReport(const std::string& peer_id,
                               Incarnation incarnation,
                               const std::vector<QuotaUse>& told,
                               Instant now) {
  if (this->begun == kNever) {
    this->begun = now;
  }
  const auto [found, unknown] = this->peers.try_emplace(peer_id);
  Peer& peer = found->second;
  if (this->shares.OnPeerReport(peer_id, incarnation, now) || unknown) {
    peer = {.since = now};
  }
  peer.heard_at = now;
  for (const QuotaUse& use : told) {
    this->TakeNews(peer, use, now);
  }
}

void QuotaLedger::Sweep(Instant now) {
  std::erase_if(this->accounts, [this, now](const auto& entry) {
    return now - entry.second.used_at >= this->options.retention;
  });
  const Duration remembered = 2 * this->options.retention;
  for (auto& [id, peer] : this->peers) {
    std::erase_if(peer.heard, [remembered, now](const auto& entry) {
      return now - entry.second.at >= remembered;
    });
  }
  std::erase_if(this->peers, [remembered, now](const auto& entry) {
    return now - entry.second.heard_at >= remembered;
  });
}

}  // namespace acacialug::quota
