#include "maintenance/maintenance_queue_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>

#include "framework/testing/story.h"

namespace acacialug::maintenance {
namespace {

using testing::ForEach;
using testing::It;

constexpr Instant kStart{1000s};
const char kStream[] = "orders-decode-lm";

// How the log treats appends and reads.
enum class Fault : std::uint8_t {
  kNone,
  kUnavailable,  // reads and appends fail
  kRefused,      // only appends fail
  kAnswerLost,   // the append takes effect, but its answer is lost
  kLost,         // the append has no effect, and its outcome is unknown
  kLate,         // the append takes effect only when the test applies it
};

// The pool's stream as a plain list.
struct Log {
  std::vector<std::string> records;
  std::uint64_t first_kept = 1;
  std::vector<std::string> late;
  Fault fault = Fault::kNone;

  Result<LogOffset> Append(const std::string& payload) {
    if (this->fault == Fault::kUnavailable || this->fault == Fault::kRefused) {
      return Error(ResultCode::kPlatformUnavailable);
    }
    if (this->fault == Fault::kLate) {
      this->late.push_back(payload);
    } else if (this->fault != Fault::kLost) {
      this->records.push_back(payload);
    }
    return this->fault == Fault::kNone
               ? Result<LogOffset>(LogOffset(this->records.size()))
               : Error(ResultCode::kAppendUnresolved);
  }

  Result<cluster::ILog::Read> ReadFrom(LogOffset from) const {
    if (this->fault == Fault::kUnavailable) {
      return Error(ResultCode::kPlatformUnavailable);
    }
    cluster::ILog::Read read{.first_kept = LogOffset(this->first_kept),
                             .next = LogOffset(this->records.size() + 1)};
    for (std::uint64_t offset = std::max(from.value, this->first_kept);
         offset <= this->records.size(); ++offset) {
      read.records.push_back({LogOffset(offset), this->records[offset - 1]});
    }
    return read;
  }
};

// One agent's client, whose actions are carried out at once; AdvanceBy advances
// the time.
struct Agent {
  Log& log;
  RandomSource random;
  MaintenanceQueueClient client;
  Instant now = kStart;

  Agent(Log& shared_log, const char* id, std::uint64_t seed)
      : log(shared_log),
        random(seed),
        client({.endpoint = EndpointId(id)}, this->random) {
    this->SetPool(1);
  }

  void SetPool(std::size_t allowed,
               std::set<EndpointId> members = {EndpointId("a"), EndpointId("b"),
                                               EndpointId("c")}) {
    this->client.SetPool({.stream = kStream,
                          .members = std::move(members),
                          .allowed_out = allowed},
                         this->now);
    this->Answer();
  }
  void SetIntent(MaintenanceIntent intent) {
    this->client.SetIntent(intent, this->now);
    this->Answer();
  }
  void AdvanceBy(Duration length) {
    const Instant end = this->now + length;
    while (this->client.next_timer() <= end) {
      this->now = std::max(this->now, this->client.next_timer());
      this->client.OnTimer(this->now);
      this->Answer();
    }
    this->now = end;
  }
  bool MayLeave() const {
    return this->client.PermittedRank(this->now).has_value();
  }

  void Answer() {
    for (auto all = this->client.TakeActions(); !all.empty();
         all = this->client.TakeActions()) {
      for (const MaintenanceAction& action : all) {
        if (const auto* append =
                std::get_if<AppendMaintenanceRecord>(&action)) {
          this->client.OnAppended(this->log.Append(append->payload), this->now);
        } else {
          const auto& read = std::get<ReadMaintenanceStream>(action);
          this->client.OnRead(this->log.ReadFrom(read.from), this->now);
        }
      }
    }
  }
};

struct Pool {
  Log log;
  Agent a{this->log, "a", 1};
  Agent b{this->log, "b", 2};
  Agent c{this->log, "c", 3};

  void AdvanceBy(Duration length) {
    for (Duration done{}; done < length; done += 100ms) {
      this->a.AdvanceBy(100ms);
      this->b.AdvanceBy(100ms);
      this->c.AdvanceBy(100ms);
    }
  }
  int MayLeave() const {
    return this->a.MayLeave() + this->b.MayLeave() + this->c.MayLeave();
  }
};

struct FaultRow {
  std::string name;
  Fault fault;
  bool claims;  // the agent claims; else it releases its claim
  bool done_during;
};

const testing::Story kClient(
    "an agent in the maintenance queue",
    {It("leaves service when those before it serve again, and does not read "
        "when idle",
        [] {
          Pool pool;
          pool.a.SetIntent(MaintenanceIntent::kEnter);
          pool.AdvanceBy(2s);
          pool.b.SetIntent(MaintenanceIntent::kEnter);
          pool.c.SetIntent(MaintenanceIntent::kEnter);
          pool.AdvanceBy(20s);
          CPPUNIT_ASSERT(pool.a.MayLeave());
          CPPUNIT_ASSERT_EQUAL(1, pool.MayLeave());
          pool.a.SetIntent(MaintenanceIntent::kKeep);  // its engine loads
          pool.AdvanceBy(20s);
          CPPUNIT_ASSERT_EQUAL(0, pool.b.MayLeave() + pool.c.MayLeave());
          pool.a.SetIntent(MaintenanceIntent::kNone);
          pool.AdvanceBy(5s);
          CPPUNIT_ASSERT_EQUAL(1, pool.b.MayLeave() + pool.c.MayLeave());
          for (Agent* agent : {&pool.b, &pool.c}) {
            agent->SetIntent(MaintenanceIntent::kNone);
          }
          pool.AdvanceBy(60s);
          CPPUNIT_ASSERT(pool.a.client.next_timer() == kNever);
          CPPUNIT_ASSERT(pool.b.client.next_timer() == kNever);
          CPPUNIT_ASSERT_EQUAL(std::size_t{6}, pool.log.records.size());
        }),
     ForEach<FaultRow>(
         "determines the outcome of its append by reading when the log",
         {{"is unavailable during the claim", Fault::kUnavailable, true, false},
          {"refuses the claim", Fault::kRefused, true, false},
          {"loses the claim's answer", Fault::kAnswerLost, true, true},
          {"loses the claim", Fault::kLost, true, false},
          {"is unavailable during the release", Fault::kUnavailable, false,
           false},
          {"refuses the release", Fault::kRefused, false, false},
          {"loses the release's answer", Fault::kAnswerLost, false, true},
          {"loses the release", Fault::kLost, false, false}},
         [](const FaultRow& row) { return row.name; },
         [](const FaultRow& row) {
           Log log;
           Agent a(log, "a", 1);
           Agent b(log, "b", 2);
           if (!row.claims) {
             a.SetIntent(MaintenanceIntent::kEnter);
             a.AdvanceBy(5s);
             b.SetIntent(MaintenanceIntent::kEnter);
             b.AdvanceBy(5s);
           }
           log.fault = row.fault;
           a.SetIntent(row.claims ? MaintenanceIntent::kEnter
                                  : MaintenanceIntent::kNone);
           a.AdvanceBy(3s);
           b.AdvanceBy(3s);
           const auto done = [&] {
             return row.claims ? a.MayLeave() : b.MayLeave();
           };
           CPPUNIT_ASSERT_EQUAL(row.done_during, done());
           log.fault = Fault::kNone;
           a.AdvanceBy(60s);
           b.AdvanceBy(60s);
           CPPUNIT_ASSERT(done());
           CPPUNIT_ASSERT(!(a.MayLeave() && b.MayLeave()));
         }),
     // Guards against a pool whose endpoints are never updated again: an agent
     // drops its intent while the claim's append is in progress, the append
     // takes effect minutes later, and no process releases the claim.
     It("releases a claim that may still arrive, before it becomes idle",
        [] {
          Log log{.fault = Fault::kLate};
          Agent a(log, "a", 1);
          a.SetIntent(MaintenanceIntent::kEnter);
          a.AdvanceBy(5s);
          log.fault = Fault::kNone;
          a.SetIntent(MaintenanceIntent::kNone);
          a.AdvanceBy(60s);
          CPPUNIT_ASSERT(a.client.next_timer() == kNever);
          log.records.insert(log.records.end(), log.late.begin(),
                             log.late.end());
          Agent b(log, "b", 2);
          b.SetIntent(MaintenanceIntent::kEnter);
          b.AdvanceBy(10s);
          CPPUNIT_ASSERT(b.MayLeave());
        }),
     // Guards against two endpoints out of service where one is permitted: an
     // agent process is stopped while it has permission; its successor releases
     // the claim, and the next endpoint leaves service; the old process then
     // continues and acts on what it read before.
     It("reads again after a pause before it leaves service",
        [] {
          Log log;
          Agent old(log, "a", 1);
          old.SetIntent(MaintenanceIntent::kEnter);
          old.AdvanceBy(5s);
          CPPUNIT_ASSERT(old.MayLeave());
          Agent successor(log, "a", 3);
          successor.SetIntent(MaintenanceIntent::kNone);
          successor.AdvanceBy(5s);
          Agent b(log, "b", 2);
          b.SetIntent(MaintenanceIntent::kEnter);
          b.AdvanceBy(5s);
          CPPUNIT_ASSERT(b.MayLeave());
          old.now += 20s;
          CPPUNIT_ASSERT(!old.MayLeave());
          old.AdvanceBy(30s);
          CPPUNIT_ASSERT(!old.MayLeave());
        }),
     // Guards against a pool below its minimum while a host is down: an agent
     // dies while its endpoint is out of service and its engine loads. If
     // claims expired by a timer, the next endpoint would leave service as
     // well.
     It("does not replace an endpoint whose agent died while out of service",
        [] {
          Pool pool;
          pool.a.SetIntent(MaintenanceIntent::kEnter);
          pool.a.AdvanceBy(5s);
          pool.b.SetIntent(MaintenanceIntent::kEnter);
          pool.b.AdvanceBy(2h);
          CPPUNIT_ASSERT(!pool.b.MayLeave());
          Agent successor(pool.log, "a", 9);
          successor.AdvanceBy(5s);  // its engine still loads
          pool.b.AdvanceBy(1min);
          CPPUNIT_ASSERT(!pool.b.MayLeave());
          successor.SetIntent(MaintenanceIntent::kNone);
          successor.AdvanceBy(1min);
          pool.b.AdvanceBy(1min);
          CPPUNIT_ASSERT(pool.b.MayLeave());
        }),
     It("leaves service when the manifest drops the endpoint before it",
        [] {
          Pool pool;
          pool.a.SetIntent(MaintenanceIntent::kEnter);
          pool.a.AdvanceBy(5s);
          pool.b.SetIntent(MaintenanceIntent::kEnter);
          pool.b.AdvanceBy(5s);
          CPPUNIT_ASSERT(!pool.b.MayLeave());
          pool.b.SetPool(1, {EndpointId("b"), EndpointId("c")});
          CPPUNIT_ASSERT(pool.b.MayLeave());
        }),
     // Guards against the same fault a day later: log retention drops the dead
     // agent's claim, and an agent that never read the claim starts.
     It("copies the claims of others before the log drops them", [] {
       Pool pool;
       pool.a.SetIntent(MaintenanceIntent::kEnter);
       pool.a.AdvanceBy(5s);
       pool.b.SetIntent(MaintenanceIntent::kEnter);
       pool.b.AdvanceBy(4h);
       pool.log.first_kept = 3;  // the two claims are gone
       pool.c.SetIntent(MaintenanceIntent::kEnter);
       pool.c.AdvanceBy(1min);
       CPPUNIT_ASSERT(!pool.c.MayLeave());
       CPPUNIT_ASSERT(pool.c.client.Rank() == std::optional<std::size_t>(2));
       CPPUNIT_ASSERT(pool.log.records.size() < 20);
     })});

}  // namespace
}  // namespace acacialug::maintenance
