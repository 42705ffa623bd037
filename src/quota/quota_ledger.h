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

// Limits of customers that hold over all processes together, with no store
// between them: each keeps the account of the whole, from what it gave out
// itself and what its peers tell that they did. What is taken beyond the limit
// before the news of it come is a debt that all pay. Answers a customer whose
// requests come to few of the processes, or to all, far beyond its limit.
//
// Peers that have gone silent go on with their part of the limit, and so does
// this process; each part has a little of the tolerance beside it, since a part
// alone may be less than one request. Memory is bounded by the customers that
// were active lately, at this process or at a peer. Not thread safe; `now`
// never goes backwards.
class QuotaLedger {
 public:
  struct Options {
    std::function<Quota(CustomerKey customer)> quota_of;
    // Half of it is given out, so that news that come late refuse nobody who
    // is within the limit. The other half covers what is taken before news of
    // it come, and the parts of a fleet that is cut.
    Tolerance tolerance;
    // Of the burst, at the start: nobody knows what was taken before.
    double start_share = 0.5;
    Duration settling = 2s;  // until a new process has heard its peers
    Duration telling = 1500ms;
    // An idle account is closed. What a peer told is remembered for twice as
    // long: it counts from there until the peer has closed its own.
    Duration retention = 30s;
    PeerShares::Options shares;
  };

  // Groups of peers that are told apart from each other.
  static constexpr std::size_t kGroups = 2;

  explicit QuotaLedger(Options ledger_options)
      : options(std::move(ledger_options)), shares(this->options.shares) {}

  struct Verdict {
    bool granted = false;
    double left = 0;  // before the request, by this process's account
    // Not granted: then it may be asked again. Whoever was told before goes
    // first, so that each has a time of its own.
    Duration retry_after{};
  };

  // Takes so much for one request, or nothing. Precondition: amount >= 0.
  Verdict Take(CustomerKey customer, double amount, Instant now);

  // What was taken for a request that did not run.
  void Refund(CustomerKey customer, double amount, Instant now);

  // What the peers of a group should hear, at most `most`: first what changed
  // most since they heard of it.
  std::vector<QuotaUse> CollectReports(std::size_t group,
                                       std::size_t most,
                                       Instant now);

  // A peer was heard, with what it told; and is said to be there.
  void OnPeerReport(const std::string& peer_id,
                    Incarnation incarnation,
                    const std::vector<QuotaUse>& told,
                    Instant now);
  void OnPeerListed(const std::string& peer, Instant now) {
    this->shares.OnPeerListed(peer, now);
  }

  // Forgets what is over. Call it now and then.
  void Sweep(Instant now);

  double share() const { return this->shares.share(); }
  std::size_t size() const { return this->accounts.size(); }

 private:
  struct Account {
    std::uint32_t number = 0;
    Instant opened_at{};
    Quota quota;
    double left = 0;
    double promised = 0;  // to those who were refused and may return
    Duration accrued{};   // PeerShares::accrued() as of `left`
    std::int64_t taken = 0;
    std::array<std::int64_t, kGroups> told{};
    Instant told_until{};
    Instant used_at{};
  };
  struct Heard {
    std::uint32_t account = 0;
    std::int64_t taken = 0;
    Instant at{};
  };
  struct Peer {
    Instant since{};  // it is heard in this life
    Instant heard_at{};
    std::unordered_map<CustomerKey, Heard> heard;
  };

  // Null: the customer has no limit.
  Account* Open(CustomerKey customer, Instant now);
  void Refill(Account& account, const Quota& quota) const;
  double RateOf(const Quota& quota) const;
  // That may be saved up, of a burst like this.
  double Most(double burst) const;
  // Less of it: all processes may have started, and what they gave out before
  // is of the same window.
  double AtStart(double burst) const;
  bool Settled(Instant now) const;
  void Use(Account& account, double amount, Instant now) const;
  void TakeNews(Peer& peer, const QuotaUse& told, Instant now);

  const Options options;
  PeerShares shares;
  std::unordered_map<CustomerKey, Account> accounts;
  std::unordered_map<std::string, Peer> peers;
  std::uint32_t last_account = 0;
  Instant begun = kNever;
};

}  // namespace acacialug::quota

#endif  // QUOTA_QUOTA_LEDGER_H_
