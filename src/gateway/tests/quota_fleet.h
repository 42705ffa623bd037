#ifndef GATEWAY_TESTS_QUOTA_FLEET_H_
#define GATEWAY_TESTS_QUOTA_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "framework/global/random_source.h"
#include "framework/global/types/instant.h"
#include "gateway/tests/timeline.h"
#include "quota/types/quota_use.h"

namespace acacialug::gateway::testing {

// What a process reports to its peers about one customer.
struct QuotaReport {
  std::vector<quota::QuotaUse> uses;
  double demand = 0;  // in tokens per second
};

// How one incarnation of a process shares a customer's limit with its peers.
struct QuotaStrategy {
  std::function<bool(double amount, Instant now)> take;
  std::function<QuotaReport(std::size_t group, Instant now)> collect;
  std::function<void(std::size_t from,
                     Incarnation incarnation,
                     const QuotaReport& report,
                     Instant now)>
      receive;
};

// The faults of the processes, and the load that their customer sends.
struct QuotaCase {
  std::string name;
  std::size_t processes = 26;
  std::size_t domains = 4;
  // Number of processes that the requests reach; 0: all.
  std::size_t reached_processes = 0;
  double demand = 0.56;       // share of the limit
  double burst_factor = 1;    // factor on `demand`, from 5 s to 12 s
  double lowered_factor = 1;  // factor on the limit, from 10 s on
  double loss_share = 0;      // share of the datagrams
  // From 4 s to 14 s each of this share of the processes receives no reports,
  // and no peer receives its reports.
  double isolated_share = 0;
  bool all_restart = false;   // they stop at 9 s, and start a second later
  bool roll_restart = false;  // one process after the other, each second
  std::uint64_t seed = 1;
};

// The users' terms for a limit: its rate, burst, window, overshoot and slack.
inline constexpr quota::Quota kLimit{.per_second = 36'000, .burst = 36'000};
inline constexpr Duration kWindow = 8s;
inline constexpr double kOvershootShare = 0.1;
inline constexpr double kSlackTokens = 140'000;

// Processes that share one customer's limit, in virtual time, and send reports
// to each other in the rounds of their heartbeats.
class QuotaFleet {
 public:
  using MakeStrategy =
      std::function<QuotaStrategy(const QuotaFleet& fleet, std::size_t number)>;

  QuotaFleet(const QuotaCase& quota_case, MakeStrategy make_strategy);

  void Run();

  // Returns the share of the tokens within the limit that were refused.
  double wrongly_refused() const {
    return this->tokens_refused / this->tokens_within_limit;
  }
  // Returns the largest number of tokens taken in a window, as a share of what
  // the users allow; 1 is all of it.
  double fullest_window() const;
  // Returns the bytes of the reports that a process sends in a second.
  double reported_bytes_per_second() const;

  // The state that a strategy may read.
  std::size_t size() const { return this->all.size(); }
  Instant now() const { return this->time.now; }
  quota::Quota limit() const;
  bool Reaches(std::size_t one, std::size_t other) const;
  const QuotaStrategy& strategy(std::size_t number) const {
    return this->all[number].strategy;
  }

 private:
  struct Process {
    QuotaStrategy strategy;
    Incarnation incarnation;
    bool up = true;
  };
  struct Grant {
    Instant at{};
    double amount = 0;
  };

  void Begin(std::size_t number);
  void End(std::size_t number);
  void RestartNext(std::size_t number);
  Duration HeartbeatInterval(bool near) const;
  void SendRound(std::size_t number, bool near);
  void Arrive();
  // Whether the request is within the limit, by an account that sees the
  // requests of all processes.
  bool WithinLimit(double amount);
  bool Isolated(std::size_t number) const;

  const QuotaCase options;
  const MakeStrategy make_strategy;
  Timeline time;
  RandomSource random;
  std::vector<Process> all;
  std::vector<Grant> grants;
  double balance = 0;  // tokens in the account that sees all requests
  Instant refilled_at{};
  double tokens_within_limit = 0;
  double tokens_refused = 0;
  std::uint64_t reported_uses = 0;
  std::uint64_t incarnations = 0;
};

// The strategies that quota_strategies_bench compares.

// quota::QuotaLedger.
QuotaFleet::MakeStrategy LedgerStrategy();
// The same, with no share withheld for unresponsive peers.
QuotaFleet::MakeStrategy ReportsStrategy();
// Each process has a bucket with an even share of the limit.
QuotaFleet::MakeStrategy EvenSplitStrategy();
// Each process has a share that follows the demand at it.
QuotaFleet::MakeStrategy DemandStrategy();
// One process keeps the account.
QuotaFleet::MakeStrategy HomeProcessStrategy();

}  // namespace acacialug::gateway::testing

#endif  // GATEWAY_TESTS_QUOTA_FLEET_H_
