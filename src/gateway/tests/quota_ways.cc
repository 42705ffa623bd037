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
constexpr std::size_t kMostTold = 8;

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

QuotaWay WayBy(const std::shared_ptr<QuotaLedger>& ledger) {
  return {.take =
              [ledger](double amount, Instant now) {
                return ledger->Take(kCustomer, amount, now).granted;
              },
          .tell =
              [ledger](std::size_t group, Instant now) {
                return QuotaNews{
                    .uses = ledger->CollectReports(group, kMostTold, now)};
              },
          .hear =
              [ledger](std::size_t from, Incarnation incarnation,
                       const QuotaNews& news, Instant now) {
                ledger->OnPeerReport(std::to_string(from), incarnation,
                                     news.uses, now);
              }};
}

QuotaFleet::MakeWay LedgerOf(const QuotaLedger::Options& options) {
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
    return WayBy(ledger);
  };
}

}  // namespace

QuotaFleet::MakeWay LedgerWay() {
  return LedgerOf({.tolerance = {.overshoot = kOvershoot, .spare = kSlack},
                   .shares = {.heartbeat_timeout = SilenceOf}});
}

QuotaFleet::MakeWay ReportsWay() {
  return LedgerOf(
      {.shares = {.heartbeat_timeout = [](std::size_t) { return 1h; },
                  .retention = 1h,
                  .listed_retention = 0s}});
}

QuotaFleet::MakeWay EvenSplitWay() {
  return [](const QuotaFleet& fleet, std::size_t /*number*/) {
    const auto bucket = std::make_shared<Bucket>(
        Bucket{.saved = kLargestRequest, .at = Instant(1h)});
    return QuotaWay{
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
        .tell = [](std::size_t, Instant) { return QuotaNews{}; },
        .hear = [](std::size_t, Incarnation, const QuotaNews&, Instant) {}};
  };
}

QuotaFleet::MakeWay DemandWay() {
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
    return QuotaWay{
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
        .tell =
            [state, decay](std::size_t, Instant now) {
              decay(now);
              return QuotaNews{.uses = {{}}, .demand = state->demand};
            },
        .hear = [state](std::size_t from, Incarnation, const QuotaNews& news,
                        Instant) { state->peers[from] = news.demand; }};
  };
}

QuotaFleet::MakeWay HomeProcessWay() {
  // What the home of the customer keeps; a new life of it begins with a part.
  return [](const QuotaFleet& fleet, std::size_t number) {
    constexpr std::size_t kHome = 0;
    const auto account = std::make_shared<Bucket>(
        Bucket{.saved = kLimit.burst / 2, .at = Instant(1h)});
    const auto floor = std::make_shared<Bucket>(
        Bucket{.saved = kLargestRequest, .at = Instant(1h)});
    return QuotaWay{
        .take =
            [account, floor, number, &fleet](double amount, Instant now) {
              if (number == kHome) {
                return account->Take(amount, fleet.limit(), now);
              }
              if (fleet.Reaches(number, kHome)) {
                return fleet.way(kHome).take(amount, now);
              }
              const auto parts = static_cast<double>(fleet.size());
              return floor->Take(
                  amount,
                  {.per_second = fleet.limit().per_second / parts,
                   .burst = kLargestRequest},
                  now);
            },
        .tell = [](std::size_t, Instant) { return QuotaNews{}; },
        .hear = [](std::size_t, Incarnation, const QuotaNews&, Instant) {}};
  };
}

}  // namespace acacialug::gateway::testing
