#ifndef QUOTA_QUOTA_LEDGER_H_
#define QUOTA_QUOTA_LEDGER_H_

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "quota/peer_shares.h"
#include "quota/types/quota_use.h"

namespace acacialug::quota {

// Enforces limits of customers over all processes together, without a shared
// store: each process keeps an account of the whole, from what it granted
// itself and what its peers report. Usage beyond the limit that occurs before
// the reports of it arrive is a debt of all processes. Handles a customer whose
// requests arrive at few of the processes, or at all, far beyond its limit.
//
// Unresponsive peers continue with their share of the limit, and so does this
// process; each share has a little of the tolerance added, since a share alone
// may be less than one request. Memory is bounded by the number of customers
// that were recently active at this process or at a peer. Not thread safe;
// `now` never decreases.
class QuotaLedger {
 public:
  struct Options {
    std::function<Quota(CustomerKey customer)> quota_of;
    // Half of the tolerance is granted, so that late reports cause no refusal
    // of a customer within its limit. The other half covers usage whose reports
    // have not arrived yet, and the shares of a partitioned fleet.
    Tolerance tolerance;
    // Fraction of the burst that is available at the start, when earlier usage
    // is unknown.
    double start_share = 0.5;
    // Time until a new process has received the reports of its peers.
    Duration settling_time = 2s;
    // Time for which an account is reported after each change.
    Duration report_duration = 1500ms;
    // Time after which an idle account is closed. What a peer reported is kept
    // for twice this time: the peer's reports count on from that value until
    // the peer has closed its account.
    Duration retention = 30s;
    PeerShares::Options shares;
  };

  // Number of peer groups; unreported changes are tracked separately for each.
  static constexpr std::size_t kGroups = 2;

  explicit QuotaLedger(Options ledger_options)
      : options(std::move(ledger_options)), shares(this->options.shares) {}

  struct Verdict {
    bool granted = false;
    double left = 0;  // before the request, by this process's account
    // If not granted: when to retry. Requests that were refused earlier have
    // precedence, so that each has a distinct time.
    Duration retry_after{};
  };

  // Takes `amount` for one request, or nothing. Precondition: amount >= 0.
  Verdict Take(CustomerKey customer, double amount, Instant now);

  // Returns the amount that was taken for a request that did not run.
  void Refund(CustomerKey customer, double amount, Instant now);

  // Reports for the peers of a group, at most `max_reports`: the accounts
  // with the largest change since the group's last report.
  std::vector<QuotaUse> CollectReports(std::size_t group,
                                       std::size_t max_reports,
                                       Instant now);

  // Applies the reports of a peer.
  void OnPeerReport(const std::string& peer_id,
                    Incarnation incarnation,
                    const std::vector<QuotaUse>& reports,
                    Instant now);
  // Records that the peer exists according to a listing.
  void OnPeerListed(const std::string& peer, Instant now) {
    this->shares.OnPeerListed(peer, now);
  }

  // Drops expired accounts, reports and peers. Call it periodically.
  void Sweep(Instant now);

  double share() const { return this->shares.share(); }
  std::size_t size() const { return this->accounts.size(); }

 private:
  struct Account {
    std::uint32_t number = 0;
    Instant opened_at{};
    Quota quota;
    double left = 0;
    double promised = 0;  // to refused requests that may be retried
    Duration accrued{};   // PeerShares::accrued() as of `left`
    std::int64_t taken = 0;
    std::array<std::int64_t, kGroups> reported{};
    Instant report_until{};
    Instant used_at{};
  };
  struct PeerAccount {
    std::uint32_t account = 0;
    std::int64_t taken = 0;
    Instant received_at{};
  };
  struct Peer {
    Instant first_received_at{};  // in its present incarnation
    Instant last_received_at{};
    std::unordered_map<CustomerKey, PeerAccount> accounts;
  };

  // Null: the customer has no limit.
  Account* Open(CustomerKey customer, Instant now);
  void Refill(Account& account, const Quota& quota) const;
  double RateOf(const Quota& quota) const;
  // Largest amount that can be saved up with this burst.
  double MaxLeft(double burst) const;
  // Amount of a new account until the process has settled. Less than MaxLeft:
  // all processes may have started, and what they granted before is of the same
  // window.
  double InitialLeft(double burst) const;
  bool Settled(Instant now) const;
  void Charge(Account& account, double amount, Instant now) const;
  void ApplyReport(Peer& peer, const QuotaUse& report, Instant now);

  const Options options;
  PeerShares shares;
  std::unordered_map<CustomerKey, Account> accounts;
  std::unordered_map<std::string, Peer> peers;
  std::uint32_t last_account = 0;
  Instant started_at = kNever;
};

}  // namespace acacialug::quota

#endif  // QUOTA_QUOTA_LEDGER_H_
