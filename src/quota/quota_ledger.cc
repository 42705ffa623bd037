#include "quota/quota_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace acacialug::quota {
namespace {

// Bounds a debt to what the limit yields in this time, whatever a peer reports.
constexpr double kMaxDebtSeconds = 8;
// Fraction of the tolerance that is granted.
constexpr double kGrantedTolerance = 0.5;

std::int64_t RoundedUnits(double amount) {
  return static_cast<std::int64_t>(std::llround(amount));
}

}  // namespace

bool QuotaLedger::Settled(Instant now) const {
  return this->started_at != kNever &&
         now - this->started_at >= this->options.settling_time;
}

double QuotaLedger::RateOf(const Quota& quota) const {
  return quota.per_second *
         (1 + kGrantedTolerance * this->options.tolerance.overshoot);
}

double QuotaLedger::MaxLeft(double burst) const {
  const double share = this->shares.share();
  return share * (burst + kGrantedTolerance * this->options.tolerance.spare) +
         std::min(share, 1 - share) * (1 - kGrantedTolerance) *
             this->options.tolerance.spare;
}

double QuotaLedger::InitialLeft(double burst) const {
  const double share = this->shares.share();
  return share * this->options.start_share * burst +
         std::min(share, 1 - share) * (1 - kGrantedTolerance) *
             this->options.tolerance.spare;
}

void QuotaLedger::Refill(Account& account, const Quota& quota) const {
  const double gained =
      this->RateOf(quota) * Seconds(this->shares.accrued() - account.accrued);
  account.accrued = this->shares.accrued();
  account.quota = quota;
  account.left =
      std::clamp(account.left + gained, -kMaxDebtSeconds * quota.per_second,
                 this->MaxLeft(quota.burst));
  const auto live = static_cast<double>(this->shares.live_peers() + 1);
  account.promised = std::max(0.0, account.promised - gained / live);
}

QuotaLedger::Account* QuotaLedger::Open(CustomerKey customer, Instant now) {
  const Quota quota = this->options.quota_of(customer);
  if (quota.per_second <= 0) {
    return nullptr;
  }
  if (this->started_at == kNever) {
    this->started_at = now;
  }
  this->shares.AdvanceTo(now);
  const auto [found, created] = this->accounts.try_emplace(customer);
  Account& account = found->second;
  if (created) {
    account.number = ++this->last_account;
    account.opened_at = now;
    account.accrued = this->shares.accrued();
    account.left = this->Settled(now) ? this->MaxLeft(quota.burst)
                                      : this->InitialLeft(quota.burst);
  }
  this->Refill(account, quota);
  return &account;
}

void QuotaLedger::Charge(Account& account, double amount, Instant now) const {
  account.left -= amount;
  account.taken += RoundedUnits(amount);
  account.used_at = now;
  account.report_until = now + this->options.report_duration;
}

QuotaLedger::Verdict QuotaLedger::Take(CustomerKey customer,
                                       double amount,
                                       Instant now) {
  Account* const account = this->Open(customer, now);
  if (account == nullptr) {
    return {.granted = true};
  }
  // A request that exceeds the largest amount that can be saved up needs only
  // that amount. A part of a partitioned fleet does not borrow the rest, since
  // every part would do so.
  const double needed =
      std::min(amount, account->quota.burst +
                           kGrantedTolerance * this->options.tolerance.spare);
  Verdict verdict{.granted = account->left >= needed, .left = account->left};
  if (verdict.granted) {
    this->Charge(*account, amount, now);
    return verdict;
  }
  const double rate = this->RateOf(account->quota) * this->shares.share();
  const auto live = static_cast<double>(this->shares.live_peers() + 1);
  verdict.retry_after =
      FromSeconds((needed - account->left + account->promised * live) / rate);
  account->promised += amount;
  account->used_at = now;
  return verdict;
}

void QuotaLedger::Refund(CustomerKey customer, double amount, Instant now) {
  if (Account* const account = this->Open(customer, now)) {
    this->Charge(*account, -amount, now);
    account->left =
        std::min(account->left, this->MaxLeft(account->quota.burst));
  }
}

std::vector<QuotaUse> QuotaLedger::CollectReports(std::size_t group,
                                                  std::size_t max_reports,
                                                  Instant now) {
  if (this->accounts.empty()) {
    return {};
  }
  std::vector<std::pair<CustomerKey, Account*>> changed;
  for (auto& [customer, account] : this->accounts) {
    if (account.report_until > now) {
      changed.emplace_back(customer, &account);
    }
  }
  const std::size_t count = std::min(max_reports, changed.size());
  const auto change = [group](const Account& account) {
    return std::abs(account.taken - account.reported[group]);
  };
  std::partial_sort(
      changed.begin(), changed.begin() + static_cast<std::ptrdiff_t>(count),
      changed.end(), [&change](const auto& one, const auto& other) {
        return change(*one.second) > change(*other.second);
      });
  changed.resize(count);
  std::vector<QuotaUse> uses;
  uses.reserve(count);
  this->shares.AdvanceTo(now);
  for (const auto& [customer, account] : changed) {
    this->Refill(*account, account->quota);
    account->reported[group] = account->taken;
    uses.push_back({.customer = customer,
                    .account = account->number,
                    .age = now - account->opened_at,
                    .taken = account->taken,
                    .left = account->left});
  }
  return uses;
}

void QuotaLedger::ApplyReport(Peer& peer, const QuotaUse& report, Instant now) {
  Account* const account = this->Open(report.customer, now);
  if (account == nullptr) {
    return;
  }
  PeerAccount& known = peer.accounts[report.customer];
  if (known.account == report.account) {
    account->left -= static_cast<double>(report.taken - known.taken);
  } else if (now - report.age >=
             peer.first_received_at - this->options.settling_time) {
    // Opened after the first report of the peer, or about when the peer
    // started.
    account->left -= static_cast<double>(report.taken);
  } else {
    account->left = std::min(account->left, report.left);
  }
  known = {
      .account = report.account, .taken = report.taken, .received_at = now};
  account->used_at = now;
  this->Refill(*account, account->quota);
}

void QuotaLedger::OnPeerReport(const std::string& peer_id,
                               Incarnation incarnation,
                               const std::vector<QuotaUse>& reports,
                               Instant now) {
  if (this->started_at == kNever) {
    this->started_at = now;
  }
  const auto [found, unknown] = this->peers.try_emplace(peer_id);
  Peer& peer = found->second;
  if (this->shares.OnPeerReport(peer_id, incarnation, now) || unknown) {
    peer = {.first_received_at = now};
  }
  peer.last_received_at = now;
  for (const QuotaUse& report : reports) {
    this->ApplyReport(peer, report, now);
  }
}

void QuotaLedger::Sweep(Instant now) {
  std::erase_if(this->accounts, [this, now](const auto& entry) {
    return now - entry.second.used_at >= this->options.retention;
  });
  const Duration report_retention = 2 * this->options.retention;
  for (auto& [id, peer] : this->peers) {
    std::erase_if(peer.accounts, [report_retention, now](const auto& entry) {
      return now - entry.second.received_at >= report_retention;
    });
  }
  std::erase_if(this->peers, [report_retention, now](const auto& entry) {
    return now - entry.second.last_received_at >= report_retention;
  });
}

}  // namespace acacialug::quota
