#include "origin/origin_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "framework/testing/story.h"

namespace acacialug::origin {
namespace {

using acacialug::testing::It;

constexpr VersionKey kVersion(3);

// Processes in virtual time whose messages take a millisecond.
struct Fleet {
  struct Process {
    StreamLedger ledger{{}};
    std::unique_ptr<OriginDirectory> directory;
    bool dead = false;
  };

  explicit Fleet(std::size_t size) {
    for (std::size_t number = 0; number < size; ++number) {
      this->Start("g" + std::to_string(number));
    }
    this->AdvanceBy(2s);  // none has just started
  }

  void Start(const std::string& id) {
    this->processes.erase(id);
    Process& process = this->processes[id];
    process.directory = std::make_unique<OriginDirectory>(
        OriginDirectory::Options{
            .id = id,
            .now = [this] { return this->now; },
            .send =
                [this, id](const std::string& peer,
                           const OriginMessage& message) {
                  ++this->sent;
                  if (!this->lost.contains(peer)) {
                    this->At(this->now + 1ms, [this, id, peer, message] {
                      this->Deliver(id, peer, message);
                    });
                  }
                },
            .set_timer =
                [this](Instant at, std::function<void()> call) {
                  this->At(at, std::move(call));
                }},
        process.ledger);
    this->Heartbeat();
  }

  void At(Instant at, std::function<void()> call) {
    this->due.emplace(at, std::move(call));
  }

  void Deliver(const std::string& from,
               const std::string& to,
               const OriginMessage& message) {
    Process& receiver = this->processes.at(to);
    if (!receiver.dead && !this->processes.at(from).dead) {
      receiver.directory->OnMessage(from, message);
    }
  }

  // Processes that are alive hear each other.
  void Heartbeat() {
    for (auto& [id, process] : this->processes) {
      for (const auto& [peer, other] : this->processes) {
        if (peer != id && !other.dead) {
          process.directory->OnPeerHeard(peer);
        }
      }
    }
  }

  void AdvanceBy(Duration time) {
    const Instant end = this->now + time;
    while (this->now < end) {
      const Instant next = std::min(end, this->now + 400ms);
      while (!this->due.empty() && this->due.begin()->first <= next) {
        this->now = std::max(this->now, this->due.begin()->first);
        const auto call = std::move(this->due.begin()->second);
        this->due.erase(this->due.begin());
        call();
      }
      this->now = next;
      this->Heartbeat();
    }
  }

  void Begin(const std::string& id, StreamKey stream) {
    const StreamOrigin origin{.stream = stream,
                              .version = kVersion,
                              .attempt = 1,
                              .placement = 1,
                              .left = 20s};
    Process& process = this->processes.at(id);
    process.ledger.Note(origin, true, this->now);
    process.directory->Announce(origin);
  }

  struct Result {
    bool ended = false;
    std::optional<VersionKey> version;
    Duration took{};
  };
  std::shared_ptr<Result> Resolve(const std::string& id, StreamKey stream) {
    auto result = std::make_shared<Result>();
    this->processes.at(id).directory->Resolve(
        stream, [this, result, begun = this->now](auto version) {
          *result = {true, version, this->now - begun};
        });
    return result;
  }

  Instant now{1h};
  std::multimap<Instant, std::function<void()>> due;
  std::map<std::string, Process> processes;
  std::set<std::string> lost;  // what is sent to these does not arrive
  std::size_t sent = 0;
};

const acacialug::testing::Story kDirectory(
    "a stream that another process began",
    {It("is known within a round trip, though that process was killed 5 ms "
        "after",
        [] {
          for (const std::size_t size : {2, 5, 28, 103}) {
            Fleet fleet(size);
            fleet.Begin("g0", StreamKey(77));
            fleet.AdvanceBy(5ms);
            fleet.processes.at("g0").dead = size > 2;
            const auto result = fleet.Resolve("g1", StreamKey(77));
            fleet.AdvanceBy(50ms);
            CPPUNIT_ASSERT(result->ended);
            CPPUNIT_ASSERT(result->version == kVersion);
            CPPUNIT_ASSERT(result->took <= Duration(12ms));
          }
        }),
     It("costs as many messages at 103 processes as at 28",
        [] {
          Fleet small(28);
          Fleet large(103);
          for (Fleet* const fleet : {&small, &large}) {
            fleet->sent = 0;
            fleet->Begin("g0", StreamKey(5));
            fleet->AdvanceBy(100ms);
          }
          CPPUNIT_ASSERT_EQUAL(small.sent, large.sent);
          CPPUNIT_ASSERT_EQUAL(2 * OriginDirectory::kHolders, large.sent);
        }),
     It("is known when its first holders do not get the notice",
        [] {
          Fleet fleet(28);
          for (int number = 1; number < 14; ++number) {
            fleet.lost.insert("g" + std::to_string(number));
          }
          fleet.Begin("g0", StreamKey(8));
          fleet.AdvanceBy(300ms);
          fleet.lost.clear();
          fleet.processes.at("g0").dead = true;
          const auto result = fleet.Resolve("g20", StreamKey(8));
          fleet.AdvanceBy(300ms);
          CPPUNIT_ASSERT(result->version == kVersion);
          CPPUNIT_ASSERT_EQUAL(
              std::size_t{0},
              fleet.processes.at("g20").directory->unconfirmed());
        }),
     It("is known to a process that starts after it began",
        [] {
          Fleet fleet(5);
          fleet.Begin("g0", StreamKey(9));
          fleet.AdvanceBy(10ms);
          fleet.Start("g9");
          fleet.processes.at("g0").dead = true;
          const auto result = fleet.Resolve("g9", StreamKey(9));
          fleet.AdvanceBy(100ms);
          CPPUNIT_ASSERT(result->version == kVersion);
        }),
     It("is known while any process that knows it lives, whoever is asked "
        "first",
        [] {
          // Guards against processes that disagree about the holders.
          Fleet fleet(28);
          fleet.processes.at("g3").ledger.Note(
              {.stream = StreamKey(4), .version = kVersion, .left = 20s}, false,
              fleet.now);
          const auto result = fleet.Resolve("g20", StreamKey(4));
          fleet.AdvanceBy(300ms);
          CPPUNIT_ASSERT(result->version == kVersion);
        }),
     It("is unknown when nobody knows it, soon if all answer",
        [] {
          Fleet fleet(5);
          const auto result = fleet.Resolve("g1", StreamKey(1));
          fleet.AdvanceBy(400ms);
          CPPUNIT_ASSERT(result->ended && !result->version);
          CPPUNIT_ASSERT(result->took <= Duration(30ms));
        }),
     It("is unknown after a bounded time when some do not answer",
        [] {
          Fleet fleet(5);
          fleet.processes.at("g2").dead = true;
          const auto result = fleet.Resolve("g1", StreamKey(1));
          fleet.AdvanceBy(400ms);
          CPPUNIT_ASSERT(result->ended && !result->version);
          CPPUNIT_ASSERT(result->took <= OriginDirectory::kMaxWait + 5ms);
        }),
     It("is awaited by a process that knows no peer yet", [] {
       // Guards against an unknown origin while the peers are not heard yet.
       Fleet fleet(5);
       fleet.Begin("g0", StreamKey(6));
       fleet.AdvanceBy(10ms);
       Fleet::Process& late = fleet.processes["new"];
       late.directory = std::make_unique<OriginDirectory>(
           OriginDirectory::Options{
               .id = "new",
               .now = [&fleet] { return fleet.now; },
               .send =
                   [&fleet](const std::string& peer,
                            const OriginMessage& message) {
                     fleet.At(fleet.now + 1ms, [&fleet, peer, message] {
                       fleet.Deliver("new", peer, message);
                     });
                   },
               .set_timer =
                   [&fleet](Instant at, std::function<void()> call) {
                     fleet.At(at, std::move(call));
                   }},
           late.ledger);
       const auto result = fleet.Resolve("new", StreamKey(6));
       fleet.AdvanceBy(600ms);
       CPPUNIT_ASSERT(result->version == kVersion);
     })});

}  // namespace
}  // namespace acacialug::origin
