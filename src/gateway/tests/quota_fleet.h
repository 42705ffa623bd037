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

// What a process tells its peers of one customer.
struct QuotaReport {
  std::vector<quota::QuotaUse> uses;
  double demand = 0;  // a second
};

// How a process shares a customer's limit with the others. One life of it.
struct QuotaStrategy {
  std::function<bool(double amount, Instant now)> take;
  std::function<QuotaReport(std::size_t group, Instant now)> collect;
  std::function<void(std::size_t from,
                     Incarnation incarnation,
                     const QuotaReport& report,
                     Instant now)>
      receive;
};

// What befalls the processes, and what their customer sends.
struct QuotaCase {
  std::string name;
  std::size_t processes = 26;
  std::size_t domains = 4;
  std::size_t reached_processes =
      0;                      // processes that its requests reach; 0: all
  double demand = 0.56;       // of the limit
  double burst_factor = 1;    // times that, from 5 s to 12 s
  double lowered_factor = 1;  // of the limit, from 10 s on
  double loss_share = 0;      // share of the datagrams
  // From 4 s to 14 s each of this share of the processes hears nobody, and is
  // heard by nobody.
  double cut_share = 0;
  bool all_restart = false;   // at 9 s, and are back a second later
  bool roll_restart = false;  // one after the other, each second
  std::uint64_t seed = 1;
};

// The users' terms (rate, burst, window, overshoot and slack of a limit).
inline constexpr quota::Quota kLimit{.per_second = 36'000, .burst = 36'000};
inline constexpr Duration kWindow = 8s;
inline constexpr double kOvershoot = 0.1;
inline constexpr double kSlack = 140'000;

// Processes that share one customer's limit, in virtual time, with what they
// tell each other in the rounds of their heartbeats.
class QuotaFleet {
 public:
  using MakeStrategy =
      std::function<QuotaStrategy(const QuotaFleet& fleet, std::size_t number)>;

  QuotaFleet(const QuotaCase& quota_case, MakeStrategy make_strategy);

  void Run();

  // Of the tokens within the limit, refused.
  double wrongly_refused() const { return this->refused / this->owed; }
  // The most that was taken in a window, over what the users allow; 1: all.
  double fullest_window() const;
  // In all news, a second and process.
  double reports_per_second() const;

  // What a way may see.
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
  void RollOn(std::size_t number);
  Duration Interval(bool near) const;
  void SendRound(std::size_t number, bool near);
  void Arrive();
  // Whether the request is within the limit, by an account that sees all.
  bool Owed(double amount);
  bool Cut(std::size_t number) const;

  const QuotaCase options;
  const MakeStrategy make_strategy;
  Timeline time;
  RandomSource random;
  std::vector<Process> all;
  std::vector<Grant> grants;
  double saved = 0;  // of the account that sees all
  Instant saved_at{};
  double owed = 0;
  double refused = 0;
  std::uint64_t reported_uses = 0;
  std::uint64_t incarnations = 0;
};

// Ways that were weighed.
QuotaFleet::MakeStrategy LedgerStrategy();  // quota::QuotaLedger
QuotaFleet::MakeStrategy
ReportsStrategy();  // the same, with no part for the silent
QuotaFleet::MakeStrategy EvenSplitStrategy();  // a bucket each, of an even part
QuotaFleet::MakeStrategy DemandStrategy();  // parts by what each is asked for
QuotaFleet::MakeStrategy
HomeProcessStrategy();  // one of them keeps the account

}  // namespace acacialug::gateway::testing

#endif  // GATEWAY_TESTS_QUOTA_FLEET_H_
