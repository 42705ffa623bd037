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
constexpr Duration kOneWay = 1500us;
constexpr Duration kCrashesAfter = 80ms;
constexpr Duration kAnsweredAfter = 2s;
constexpr Duration kPeerMemory = 2s;
constexpr Duration kRestartInterval = 8s;
// The users' bound: by then processes in touch have heard.
constexpr Duration kContact = 3s;
constexpr std::size_t kDeadlyRequests = 3;
constexpr std::size_t kBeside = 12;  // requests at an endpoint that ends

// What befalls the processes and the way between them.
struct FleetCase {
  std::string name;
  std::size_t processes = 5;
  std::size_t domains = 3;
  Duration gap = 50ms;    // between attempts of one deadly request
  double lost = 0;        // share of the datagrams
  bool restarts = false;  // one after the other starts anew
  Duration cut{};         // half of them from the other half, from the start
  std::size_t flood = 0;  // more requests at each endpoint that ends
};

// Processes that tell each other of requests under which endpoints ended, in
// the rounds of their heartbeats.
class Fleet {
 public:
  explicit Fleet(const FleetCase& fleet_case) : options(fleet_case) {
    this->all.resize(this->options.processes);
    for (std::size_t number = 0; number < this->all.size(); ++number) {
      for (const bool near : {true, false}) {
        this->time.At(kStart + FromSeconds(Seconds(this->Interval(near)) *
                                           this->random.Unit()),
                      [this, number, near] { this->SendRound(number, near); });
      }
    }
    for (std::size_t request = 0; request < kDeadlyRequests; ++request) {
      this->Arrive(request);
    }
    if (this->options.restarts) {
      this->Restart(0);
    }
  }

  void Run(Duration time_to_run) { this->time.RunUntil(kStart + time_to_run); }

  // Attempts that were sent on by processes in touch later than kContact after
  // the third end.
  std::size_t late_sends() const { return this->late; }
  std::size_t ends() const { return this->last_endpoint; }

  // Other requests that are refused anywhere.
  std::size_t refused_beside() const {
    std::size_t refused = 0;
    for (const Process& process : this->all) {
      std::size_t deadly = 0;
      for (std::size_t request = 0; request < kDeadlyRequests; ++request) {
        deadly +=
            process.ledger->Quarantined(KeyOf(request), this->time.now) ? 1 : 0;
      }
      refused += process.ledger->quarantined(this->time.now) - deadly;
    }
    return refused;
  }

  std::size_t largest() const {
    std::size_t most = 0;
    for (const Process& process : this->all) {
      most = std::max(most, process.ledger->size());
    }
    return most;
  }

 private:
  struct Process {
    std::optional<retry::CrashLedger> ledger{std::in_place,
                                             retry::CrashLedger::Options{}};
    Instant started{};
    std::vector<Instant> heard_at;  // by peer
    std::size_t rounds[2] = {};
  };

  static retry::RequestKey KeyOf(std::size_t request) {
    return retry::RequestKey(request + 1);
  }
  std::size_t DomainOf(std::size_t number) const {
    return number % this->options.domains;
  }
  bool Cut(std::size_t one, std::size_t other) const {
    return this->time.now < kStart + this->options.cut && one % 2 != other % 2;
  }

  Duration Interval(bool near) const {
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
          !this->Cut(number, to) && this->random.Unit() >= this->options.lost) {
        this->time.At(this->time.now + kOneWay, [this, number, to, reported] {
          this->ReceiveReports(number, to, reported);
        });
      }
    }
    this->time.At(this->time.now + this->Interval(near),
                  [this, number, near] { this->SendRound(number, near); });
  }

  void ReceiveReports(std::size_t from,
                      std::size_t to,
                      const std::vector<retry::CrashRecord>& reported) {
    Process& process = this->all[to];
    process.heard_at.resize(this->all.size());
    const Instant before =
        std::exchange(process.heard_at[from], this->time.now);
    if (this->time.now - before > kPeerMemory) {
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
      process.started = this->time.now;
      process.heard_at.clear();
      // Peers hear a new start, which is a newcomer to them.
      for (Process& peer : this->all) {
        peer.heard_at.resize(this->all.size());
        peer.heard_at[number] = Instant{};
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
    const Instant in_touch_from =
        std::max({this->third_end[request], kStart + this->options.cut,
                  this->all[number].started}) +
        kContact;
    this->late +=
        this->ends_under[request] >= 3 && this->time.now > in_touch_from ? 1
                                                                         : 0;
    this->time.At(this->time.now + kCrashesAfter, [this, request, number] {
      const std::uint64_t endpoint = ++this->last_endpoint;
      this->all[number].ledger->NoteEnd(
          KeyOf(request), {endpoint, ++this->attempts}, this->time.now);
      if (++this->ends_under[request] == 3) {
        this->third_end[request] = this->time.now;
      }
      for (std::size_t beside = 0; beside < kBeside + this->options.flood;
           ++beside) {
        this->EndBeside(endpoint);
      }
    });
  }

  // A request that was merely there, and is answered elsewhere.
  void EndBeside(std::uint64_t endpoint) {
    const std::size_t number = this->random.Below(this->all.size());
    const retry::RequestKey key(1000 + ++this->last_beside);
    this->all[number].ledger->NoteEnd(key, {endpoint, ++this->attempts},
                                      this->time.now);
    this->time.At(this->time.now + kAnsweredAfter, [this, number, key] {
      this->all[number].ledger->NoteAnswer(key, this->time.now);
    });
  }

  const FleetCase options;
  Timeline time{kStart};
  RandomSource random{11};
  std::vector<Process> all;
  std::size_t ends_under[kDeadlyRequests] = {};
  Instant third_end[kDeadlyRequests] = {};
  std::size_t late = 0;
  std::uint64_t last_endpoint = 0;
  std::uint32_t attempts = 0;
  std::uint64_t last_beside = 0;
};

const std::vector<FleetCase> kFleets = {
    {.name = "five processes"},
    {.name = "22 processes", .processes = 22},
    {.name = "103 processes", .processes = 103, .domains = 6},
    {.name = "five processes and lossy links", .lost = 0.3},
    {.name = "103 processes and lossy links",
     .processes = 103,
     .domains = 6,
     .lost = 0.3},
    {.name = "five processes that start anew in turn",
     .gap = 500ms,
     .restarts = true},
    {.name = "22 processes that start anew in turn",
     .processes = 22,
     .gap = 100ms,
     .restarts = true},
    {.name = "five processes, cut in halves for a while", .cut = 6s},
    {.name = "103 processes, cut in halves for a while",
     .processes = 103,
     .domains = 6,
     .cut = 6s},
    {.name = "103 processes and a flood of others beside it",
     .processes = 103,
     .domains = 6,
     .flood = 300}};

const acacialug::testing::Story kStory(
    "a request under which endpoints end, among many processes",
    {ForEach<FleetCase>(
        "is sent by none of them in touch once three have ended:",
        kFleets,
        [](const FleetCase& row) { return row.name; },
        [](const FleetCase& row) {
          Fleet fleet(row);
          fleet.Run(60s);
          CPPUNIT_ASSERT(fleet.ends() >= 3 * kDeadlyRequests);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.late_sends());
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.refused_beside());
          CPPUNIT_ASSERT(fleet.largest() <=
                         retry::CrashLedger::Options().max_requests);
        })});

}  // namespace
}  // namespace acacialug::gateway
