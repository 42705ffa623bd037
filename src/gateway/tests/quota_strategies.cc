#include <algorithm>
#include <memory>
#include <string>
#include <unordered_map>

#include "gateway/peer_rounds.h"
#include "gateway/tests/quota_fleet.h"
#include "quota/quota_ledger.h"

namespace acacialug::gateway::testing {
namespace {

using quota::Quota;
using quota::QuotaLedger;

constexpr quota::CustomerKey kCustomer{7};
constexpr double kMaxRequestTokens = 10'000;
constexpr std::size_t kMaxReportedUses = 8;

// A token bucket whose limit may change.
struct Bucket {
  double balance = 0;
  Instant at{};

  bool Take(double amount, const Quota& limit, Instant now) {
    this->balance =
        std::min(limit.burst,
                 this->balance + limit.per_second * Seconds(now - this->at));
    this->at = now;
    if (this->balance < std::min(amount, limit.burst)) {
      return false;
    }
    this->balance -= amount;
    return true;
  }
};

QuotaStrategy StrategyOfLedger(const std::shared_ptr<QuotaLedger>& ledger) {
  return {.take =
              [ledger](double amount, Instant now) {
                return ledger->Take(kCustomer, amount, now).granted;
              },
          .collect =
              [ledger](std::size_t group, Instant now) {
                return QuotaReport{.uses = ledger->CollectReports(
                                       group, kMaxReportedUses, now)};
              },
          .receive =
              [ledger](std::size_t from, Incarnation incarnation,
                       const QuotaReport& report, Instant now) {
                ledger->OnPeerReport(std::to_string(from), incarnation,
                                     report.uses, now);
              }};
}

QuotaFleet::MakeStrategy MakeLedgerStrategy(
    const QuotaLedger::Options& options) {
  return [options](const QuotaFleet& fleet, std::size_t number) {
    QuotaLedger::Options own = options;
    own.quota_of = [&fleet](quota::CustomerKey) { return fleet.limit(); };
    const auto ledger = std::make_shared<QuotaLedger>(own);
    // The store lists the peers when a process starts.
    for (std::size_t peer = 0; peer < fleet.size(); ++peer) {
      if (peer != number) {
        ledger->OnPeerListed(std::to_string(peer), fleet.now());
      }
    }
    return StrategyOfLedger(ledger);
  };
}

}  // namespace

QuotaFleet::MakeStrategy LedgerStrategy() {
  return MakeLedgerStrategy(
      {.tolerance = {.overshoot = kOvershootShare, .spare = kSlackTokens},
       .shares = {.heartbeat_timeout = HeartbeatTimeout}});
}

QuotaFleet::MakeStrategy ReportsStrategy() {
  return MakeLedgerStrategy(
      {.shares = {.heartbeat_timeout = [](std::size_t) { return 1h; },
                  .retention = 1h,
                  .listed_retention = 0s}});
}

QuotaFleet::MakeStrategy EvenSplitStrategy() {
  return [](const QuotaFleet& fleet, std::size_t /*number*/) {
    const auto bucket = std::make_shared<Bucket>(
        Bucket{.balance = kMaxRequestTokens, .at = Instant(1h)});
    return QuotaStrategy{
        .take =
            [bucket, &fleet](double amount, Instant now) {
              const Quota whole = fleet.limit();
              const auto parts = static_cast<double>(fleet.size());
              return bucket->Take(
                  amount,
                  {.per_second = whole.per_second / parts,
                   .burst = std::max(whole.burst / parts, kMaxRequestTokens)},
                  now);
            },
        .collect = [](std::size_t, Instant) { return QuotaReport{}; },
        .receive = [](std::size_t, Incarnation, const QuotaReport&,
                      Instant) {}};
  };
}

QuotaFleet::MakeStrategy DemandStrategy() {
  struct State {
    Bucket bucket;
    double demand = 0;
    Instant decayed_at{};
    std::unordered_map<std::size_t, double> peers;
  };
  return [](const QuotaFleet& fleet, std::size_t /*number*/) {
    // Share of the limit that is divided evenly.
    constexpr double kEvenShare = 0.5;
    // Time constant of the decay of the demand.
    constexpr double kDemandSeconds = 1;
    const auto state = std::make_shared<State>();
    state->bucket = {.balance = kMaxRequestTokens, .at = Instant(1h)};
    const auto decay = [state](Instant now) {
      const double elapsed = Seconds(now - state->decayed_at);
      state->decayed_at = now;
      state->demand *= std::max(0.0, 1 - elapsed / kDemandSeconds);
    };
    return QuotaStrategy{
        .take =
            [state, decay, &fleet](double amount, Instant now) {
              decay(now);
              state->demand += amount / kDemandSeconds;
              double all = state->demand;
              for (const auto& [peer, demand] : state->peers) {
                all += demand;
              }
              const double share =
                  kEvenShare / static_cast<double>(fleet.size()) +
                  (1 - kEvenShare) * state->demand / all;
              const Quota whole = fleet.limit();
              return state->bucket.Take(
                  amount,
                  {.per_second = share * whole.per_second,
                   .burst = std::max(share * whole.burst, kMaxRequestTokens)},
                  now);
            },
        .collect =
            [state, decay](std::size_t, Instant now) {
              decay(now);
              return QuotaReport{.uses = {{}}, .demand = state->demand};
            },
        .receive = [state](std::size_t from, Incarnation,
                           const QuotaReport& report,
                           Instant) { state->peers[from] = report.demand; }};
  };
}

QuotaFleet::MakeStrategy HomeProcessStrategy() {
  // The customer's home process keeps the account; a new incarnation of it
  // starts with a part of the burst.
  return [](const QuotaFleet& fleet, std::size_t number) {
    constexpr std::size_t kHomeProcess = 0;
    const auto account = std::make_shared<Bucket>(
        Bucket{.balance = kLimit.burst / 2, .at = Instant(1h)});
    const auto fallback = std::make_shared<Bucket>(
        Bucket{.balance = kMaxRequestTokens, .at = Instant(1h)});
    return QuotaStrategy{
        .take =
            [account, fallback, number, &fleet](double amount, Instant now) {
              if (number == kHomeProcess) {
                return account->Take(amount, fleet.limit(), now);
              }
              if (fleet.Reaches(number, kHomeProcess)) {
                return fleet.strategy(kHomeProcess).take(amount, now);
              }
              const auto parts = static_cast<double>(fleet.size());
              return fallback->Take(
                  amount,
                  {.per_second = fleet.limit().per_second / parts,
                   .burst = kMaxRequestTokens},
                  now);
            },
        .collect = [](std::size_t, Instant) { return QuotaReport{}; },
        .receive = [](std::size_t, Incarnation, const QuotaReport&,
                      Instant) {}};
  };
}

}  // namespace acacialug::gateway::testing
