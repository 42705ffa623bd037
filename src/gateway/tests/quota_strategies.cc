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
constexpr double kLargestRequest = 10'000;
constexpr std::size_t kMaxReported = 8;

// A bucket whose size may change.
struct Bucket {
  double saved = 0;
  Instant at{};

  bool Take(double amount, const Quota& limit, Instant now) {
    this->saved = std::min(
        limit.burst, this->saved + limit.per_second * Seconds(now - this->at));
    this->at = now;
    if (this->saved < std::min(amount, limit.burst)) {
      return false;
    }
    this->saved -= amount;
    return true;
  }
};

QuotaStrategy StrategyOf(const std::shared_ptr<QuotaLedger>& ledger) {
  return {.take =
              [ledger](double amount, Instant now) {
                return ledger->Take(kCustomer, amount, now).granted;
              },
          .collect =
              [ledger](std::size_t group, Instant now) {
                return QuotaReport{
                    .uses = ledger->CollectReports(group, kMaxReported, now)};
              },
          .receive =
              [ledger](std::size_t from, Incarnation incarnation,
                       const QuotaReport& report, Instant now) {
                ledger->OnPeerReport(std::to_string(from), incarnation,
                                     report.uses, now);
              }};
}

QuotaFleet::MakeStrategy LedgerOf(const QuotaLedger::Options& options) {
  return [options](const QuotaFleet& fleet, std::size_t number) {
    QuotaLedger::Options own = options;
    own.quota_of = [&fleet](quota::CustomerKey) { return fleet.limit(); };
    const auto ledger = std::make_shared<QuotaLedger>(own);
    // The store lists them when a process starts.
    for (std::size_t peer = 0; peer < fleet.size(); ++peer) {
      if (peer != number) {
        ledger->OnPeerListed(std::to_string(peer), fleet.now());
      }
    }
    return StrategyOf(ledger);
  };
}

}  // namespace

QuotaFleet::MakeStrategy LedgerStrategy() {
  return LedgerOf({.tolerance = {.overshoot = kOvershoot, .spare = kSlack},
                   .shares = {.heartbeat_timeout = HeartbeatTimeout}});
}

QuotaFleet::MakeStrategy ReportsStrategy() {
  return LedgerOf(
      {.shares = {.heartbeat_timeout = [](std::size_t) { return 1h; },
                  .retention = 1h,
                  .listed_retention = 0s}});
}

QuotaFleet::MakeStrategy EvenSplitStrategy() {
  return [](const QuotaFleet& fleet, std::size_t /*number*/) {
    const auto bucket = std::make_shared<Bucket>(
        Bucket{.saved = kLargestRequest, .at = Instant(1h)});
    return QuotaStrategy{
        .take =
            [bucket, &fleet](double amount, Instant now) {
              const Quota whole = fleet.limit();
              const auto parts = static_cast<double>(fleet.size());
              return bucket->Take(
                  amount,
                  {.per_second = whole.per_second / parts,
                   .burst = std::max(whole.burst / parts, kLargestRequest)},
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
    Instant asked_at{};
    std::unordered_map<std::size_t, double> peers;
  };
  return [](const QuotaFleet& fleet, std::size_t /*number*/) {
    constexpr double kFloor = 0.5;  // of the limit, divided evenly
    constexpr double kMemory = 1;   // seconds, of what is asked for
    const auto state = std::make_shared<State>();
    state->bucket = {.saved = kLargestRequest, .at = Instant(1h)};
    const auto decay = [state](Instant now) {
      const double passed = Seconds(now - state->asked_at);
      state->asked_at = now;
      state->demand *= std::max(0.0, 1 - passed / kMemory);
    };
    return QuotaStrategy{
        .take =
            [state, decay, &fleet](double amount, Instant now) {
              decay(now);
              state->demand += amount / kMemory;
              double all = state->demand;
              for (const auto& [peer, demand] : state->peers) {
                all += demand;
              }
              const double share = kFloor / static_cast<double>(fleet.size()) +
                                   (1 - kFloor) * state->demand / all;
              const Quota whole = fleet.limit();
              return state->bucket.Take(
                  amount,
                  {.per_second = share * whole.per_second,
                   .burst = std::max(share * whole.burst, kLargestRequest)},
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
  // What the home of the customer keeps; a new life of it begins with a part.
  return [](const QuotaFleet& fleet, std::size_t number) {
    constexpr std::size_t kHome = 0;
    const auto account = std::make_shared<Bucket>(
        Bucket{.saved = kLimit.burst / 2, .at = Instant(1h)});
    const auto floor = std::make_shared<Bucket>(
        Bucket{.saved = kLargestRequest, .at = Instant(1h)});
    return QuotaStrategy{
        .take =
            [account, floor, number, &fleet](double amount, Instant now) {
              if (number == kHome) {
                return account->Take(amount, fleet.limit(), now);
              }
              if (fleet.Reaches(number, kHome)) {
                return fleet.strategy(kHome).take(amount, now);
              }
              const auto parts = static_cast<double>(fleet.size());
              return floor->Take(
                  amount,
                  {.per_second = fleet.limit().per_second / parts,
                   .burst = kLargestRequest},
                  now);
            },
        .collect = [](std::size_t, Instant) { return QuotaReport{}; },
        .receive = [](std::size_t, Incarnation, const QuotaReport&,
                      Instant) {}};
  };
}

}  // namespace acacialug::gateway::testing
