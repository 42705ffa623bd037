#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "framework/global/random_source.h"
#include "framework/testing/story.h"
#include "gateway/tests/heartbeat_interval.h"
#include "gateway/tests/timeline.h"
#include "protocol/types/peer_heartbeat.h"
#include "retry/crash_ledger.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::ForEach;
using testing::Timeline;

constexpr Instant kStart{1h};
constexpr Duration kOneWayDelay = 1500us;
constexpr Duration kCrashDelay = 80ms;
constexpr Duration kAnswerDelay = 2s;
constexpr Duration kPeerRetention = 2s;
constexpr Duration kRestartInterval = 8s;
// The users' bound: the time within which a crash reaches every connected
// process.
constexpr Duration kReportBound = 3s;
constexpr std::size_t kCrashingRequests = 3;
// Other requests at an endpoint that ends.
constexpr std::size_t kBystanders = 12;

// The faults of the processes and of the network between them.
struct FleetCase {
  std::string name;
  std::size_t processes = 5;
  std::size_t domains = 3;
  Duration gap = 50ms;    // mean gap between attempts of one crashing request
  double loss_share = 0;  // share of the datagrams
  bool restarts = false;  // one process after the other restarts
  // From the start, half of the processes cannot reach the other half.
  Duration partition_duration{};
  // Additional requests at each endpoint that ends.
  std::size_t extra_bystanders = 0;
};

// Processes that report to each other the requests under which endpoints ended,
// in the rounds of their heartbeats.
class Fleet {
 public:
  explicit Fleet(const FleetCase& fleet_case) : options(fleet_case) {
    this->all.resize(this->options.processes);
    for (std::size_t number = 0; number < this->all.size(); ++number) {
      for (const bool near : {true, false}) {
        this->time.At(
            kStart + FromSeconds(Seconds(this->HeartbeatInterval(near)) *
                                 this->random.Unit()),
            [this, number, near] { this->SendRound(number, near); });
      }
    }
    for (std::size_t request = 0; request < kCrashingRequests; ++request) {
      this->Arrive(request);
    }
    if (this->options.restarts) {
      this->Restart(0);
    }
  }

  void Run(Duration duration) { this->time.RunUntil(kStart + duration); }

  // Returns the attempts that connected processes sent later than kReportBound
  // after the third end.
  std::size_t late_sends() const { return this->late; }
  std::size_t ends() const { return this->last_endpoint; }

  // Returns the bystanders that are refused, over all processes.
  std::size_t refused_bystanders() const {
    std::size_t refused = 0;
    for (const Process& process : this->all) {
      std::size_t crashing = 0;
      for (std::size_t request = 0; request < kCrashingRequests; ++request) {
        crashing +=
            process.ledger->Quarantined(KeyOf(request), this->time.now) ? 1 : 0;
      }
      refused += process.ledger->quarantined(this->time.now) - crashing;
    }
    return refused;
  }

  std::size_t largest_ledger() const {
    std::size_t largest = 0;
    for (const Process& process : this->all) {
      largest = std::max(largest, process.ledger->size());
    }
    return largest;
  }

 private:
  struct Process {
    std::optional<retry::CrashLedger> ledger{std::in_place,
                                             retry::CrashLedger::Options{}};
    Instant started_at{};
    std::vector<Instant> last_received_at;  // by peer
    std::size_t rounds[2] = {};
  };

  static retry::RequestKey KeyOf(std::size_t request) {
    return retry::RequestKey(request + 1);
  }
  std::size_t DomainOf(std::size_t number) const {
    return number % this->options.domains;
  }
  bool Partitioned(std::size_t one, std::size_t other) const {
    return this->time.now < kStart + this->options.partition_duration &&
           one % 2 != other % 2;
  }

  Duration HeartbeatInterval(bool near) const {
    return testing::HeartbeatInterval(this->all.size(), this->options.domains,
                                      near);
  }

  void SendRound(std::size_t number, bool near) {
    Process& from = this->all[number];
    const auto reported = from.ledger->CollectReports(
        protocol::kMaxPeerHeartbeatCrashes, from.rounds[near ? 1 : 0]++,
        this->time.now);
    for (std::size_t to = 0; to < this->all.size(); ++to) {
      if (to != number &&
          near == (this->DomainOf(to) == this->DomainOf(number)) &&
          !this->Partitioned(number, to) &&
          this->random.Unit() >= this->options.loss_share) {
        this->time.At(this->time.now + kOneWayDelay,
                      [this, number, to, reported] {
                        this->ReceiveReports(number, to, reported);
                      });
      }
    }
    this->time.At(this->time.now + this->HeartbeatInterval(near),
                  [this, number, near] { this->SendRound(number, near); });
  }

  void ReceiveReports(std::size_t from,
                      std::size_t to,
                      const std::vector<retry::CrashRecord>& reported) {
    Process& process = this->all[to];
    process.last_received_at.resize(this->all.size());
    const Instant before =
        std::exchange(process.last_received_at[from], this->time.now);
    if (this->time.now - before > kPeerRetention) {
      process.ledger->ResendReports(this->time.now);
    }
    for (const retry::CrashRecord& record : reported) {
      process.ledger->Merge(record, this->time.now);
    }
  }

  void Restart(std::size_t number) {
    this->time.At(this->time.now + kRestartInterval, [this, number] {
      Process& process = this->all[number];
      process.ledger.emplace(retry::CrashLedger::Options{});
      process.started_at = this->time.now;
      process.last_received_at.clear();
      // Peers see a new incarnation, which they treat as a new peer.
      for (Process& peer : this->all) {
        peer.last_received_at.resize(this->all.size());
        peer.last_received_at[number] = Instant{};
      }
      this->Restart((number + 1) % this->all.size());
    });
  }

  void Arrive(std::size_t request) {
    const Duration gap =
        FromSeconds(this->random.Exponential(Seconds(this->options.gap)));
    this->time.At(this->time.now + gap, [this, request] {
      const std::size_t number = this->random.Below(this->all.size());
      if (!this->all[number].ledger->Quarantined(KeyOf(request),
                                                 this->time.now)) {
        this->Send(request, number);
      }
      this->Arrive(request);
    });
  }

  void Send(std::size_t request, std::size_t number) {
    const Instant late_after =
        std::max({this->third_end[request],
                  kStart + this->options.partition_duration,
                  this->all[number].started_at}) +
        kReportBound;
    this->late +=
        this->ends_under[request] >= 3 && this->time.now > late_after ? 1 : 0;
    this->time.At(this->time.now + kCrashDelay, [this, request, number] {
      const std::uint64_t endpoint = ++this->last_endpoint;
      this->all[number].ledger->NoteEnd(
          KeyOf(request), {endpoint, ++this->attempts}, this->time.now);
      if (++this->ends_under[request] == 3) {
        this->third_end[request] = this->time.now;
      }
      for (std::size_t bystander = 0;
           bystander < kBystanders + this->options.extra_bystanders;
           ++bystander) {
        this->EndBystander(endpoint);
      }
    });
  }

  // Ends an attempt of a request that is at the endpoint without causing the
  // crash; another endpoint answers it later.
  void EndBystander(std::uint64_t endpoint) {
    const std::size_t number = this->random.Below(this->all.size());
    const retry::RequestKey key(1000 + ++this->last_bystander);
    this->all[number].ledger->NoteEnd(key, {endpoint, ++this->attempts},
                                      this->time.now);
    this->time.At(this->time.now + kAnswerDelay, [this, number, key] {
      this->all[number].ledger->NoteAnswer(key, this->time.now);
    });
  }

  const FleetCase options;
  Timeline time{kStart};
  RandomSource random{11};
  std::vector<Process> all;
  std::size_t ends_under[kCrashingRequests] = {};
  Instant third_end[kCrashingRequests] = {};
  std::size_t late = 0;
  std::uint64_t last_endpoint = 0;
  std::uint32_t attempts = 0;
  std::uint64_t last_bystander = 0;
};

const std::vector<FleetCase> kFleets = {
    {.name = "five processes"},
    {.name = "22 processes", .processes = 22},
    {.name = "103 processes", .processes = 103, .domains = 6},
    {.name = "five processes and lossy links", .loss_share = 0.3},
    {.name = "103 processes and lossy links",
     .processes = 103,
     .domains = 6,
     .loss_share = 0.3},
    {.name = "five processes that restart in turn",
     .gap = 500ms,
     .restarts = true},
    {.name = "22 processes that restart in turn",
     .processes = 22,
     .gap = 100ms,
     .restarts = true},
    {.name = "five processes, temporarily partitioned in halves",
     .partition_duration = 6s},
    {.name = "103 processes, temporarily partitioned in halves",
     .processes = 103,
     .domains = 6,
     .partition_duration = 6s},
    {.name = "103 processes and many other requests at the same endpoints",
     .processes = 103,
     .domains = 6,
     .extra_bystanders = 300}};

const acacialug::testing::Story kStory(
    "a request under which endpoints end, among many processes",
    {ForEach<FleetCase>(
        "is sent by no connected process once three have ended",
        kFleets,
        [](const FleetCase& row) { return row.name; },
        [](const FleetCase& row) {
          Fleet fleet(row);
          fleet.Run(60s);
          CPPUNIT_ASSERT(fleet.ends() >= 3 * kCrashingRequests);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.late_sends());
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.refused_bystanders());
          CPPUNIT_ASSERT(fleet.largest_ledger() <=
                         retry::CrashLedger::Options().max_requests);
        })});

}  // namespace
}  // namespace acacialug::gateway
