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
  kOut,         // nothing passes
  kNotTaken,    // appends alone are refused
  kAnswerLost,  // the append took effect, nobody hears of it
  kLost,        // it did not, and the agent cannot know
  kLate,        // it takes effect only when the test says so
};

// The pool's stream as a plain list.
struct Log {
  std::vector<std::string> records;
  std::uint64_t first_kept = 1;
  std::vector<std::string> late;
  Fault fault = Fault::kNone;

  Result<LogOffset> Append(const std::string& payload) {
    if (this->fault == Fault::kOut || this->fault == Fault::kNotTaken) {
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
    if (this->fault == Fault::kOut) {
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

// One agent's keeper; it answers at once, and time moves by Pass.
struct Agent {
  Log& log;
  RandomSource random;
  MaintenanceQueueClient keeper;
  Instant now = kStart;

  Agent(Log& shared_log, const char* id, std::uint64_t seed)
      : log(shared_log),
        random(seed),
        keeper({.endpoint = EndpointId(id)}, this->random) {
    this->SetPool(1);
  }

  void SetPool(std::size_t allowed,
               std::set<EndpointId> members = {EndpointId("a"), EndpointId("b"),
                                               EndpointId("c")}) {
    this->keeper.SetPool({.stream = kStream,
                          .members = std::move(members),
                          .allowed_out = allowed},
                         this->now);
    this->Answer();
  }
  void Wish(MaintenanceIntent wish) {
    this->keeper.SetIntent(wish, this->now);
    this->Answer();
  }
  void Pass(Duration length) {
    const Instant end = this->now + length;
    while (this->keeper.next_timer() <= end) {
      this->now = std::max(this->now, this->keeper.next_timer());
      this->keeper.OnTimer(this->now);
      this->Answer();
    }
    this->now = end;
  }
  bool MayGo() const {
    return this->keeper.PermittedRank(this->now).has_value();
  }

  void Answer() {
    for (auto all = this->keeper.TakeActions(); !all.empty();
         all = this->keeper.TakeActions()) {
      for (const MaintenanceAction& action : all) {
        if (const auto* append =
                std::get_if<AppendMaintenanceRecord>(&action)) {
          this->keeper.OnAppended(this->log.Append(append->payload), this->now);
        } else {
          const auto& read = std::get<ReadMaintenanceStream>(action);
          this->keeper.OnRead(this->log.ReadFrom(read.from), this->now);
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

  void Pass(Duration length) {
    for (Duration done{}; done < length; done += 100ms) {
      this->a.Pass(100ms);
      this->b.Pass(100ms);
      this->c.Pass(100ms);
    }
  }
  int MayGo() const {
    return this->a.MayGo() + this->b.MayGo() + this->c.MayGo();
  }
};

struct FaultRow {
  std::string name;
  Fault fault;
  bool claims;  // the wish is for a turn; else to give one back
  bool done_during;
};

const testing::Story kKeeper(
    "an agent that takes its turn",
    {It("goes out when those before it serve again, and asks nothing at rest",
        [] {
          Pool pool;
          pool.a.Wish(MaintenanceIntent::kEnter);
          pool.Pass(2s);
          pool.b.Wish(MaintenanceIntent::kEnter);
          pool.c.Wish(MaintenanceIntent::kEnter);
          pool.Pass(20s);
          CPPUNIT_ASSERT(pool.a.MayGo());
          CPPUNIT_ASSERT_EQUAL(1, pool.MayGo());
          pool.a.Wish(MaintenanceIntent::kKeep);  // it loads
          pool.Pass(20s);
          CPPUNIT_ASSERT_EQUAL(0, pool.b.MayGo() + pool.c.MayGo());
          pool.a.Wish(MaintenanceIntent::kNone);
          pool.Pass(5s);
          CPPUNIT_ASSERT_EQUAL(1, pool.b.MayGo() + pool.c.MayGo());
          for (Agent* agent : {&pool.b, &pool.c}) {
            agent->Wish(MaintenanceIntent::kNone);
          }
          pool.Pass(60s);
          CPPUNIT_ASSERT(pool.a.keeper.next_timer() == kNever);
          CPPUNIT_ASSERT(pool.b.keeper.next_timer() == kNever);
          CPPUNIT_ASSERT_EQUAL(std::size_t{6}, pool.log.records.size());
        }),
     ForEach<FaultRow>(
         "reads what became of its append when the log",
         {{"is out as it claims", Fault::kOut, true, false},
          {"refuses its claim", Fault::kNotTaken, true, false},
          {"loses the claim's answer", Fault::kAnswerLost, true, true},
          {"loses the claim", Fault::kLost, true, false},
          {"is out as it gives back", Fault::kOut, false, false},
          {"refuses the release", Fault::kNotTaken, false, false},
          {"loses the release's answer", Fault::kAnswerLost, false, true},
          {"loses the release", Fault::kLost, false, false}},
         [](const FaultRow& row) { return row.name; },
         [](const FaultRow& row) {
           Log log;
           Agent a(log, "a", 1);
           Agent b(log, "b", 2);
           if (!row.claims) {
             a.Wish(MaintenanceIntent::kEnter);
             a.Pass(5s);
             b.Wish(MaintenanceIntent::kEnter);
             b.Pass(5s);
           }
           log.fault = row.fault;
           a.Wish(row.claims ? MaintenanceIntent::kEnter
                             : MaintenanceIntent::kNone);
           a.Pass(3s);
           b.Pass(3s);
           const auto done = [&] { return row.claims ? a.MayGo() : b.MayGo(); };
           CPPUNIT_ASSERT_EQUAL(row.done_during, done());
           log.fault = Fault::kNone;
           a.Pass(60s);
           b.Pass(60s);
           CPPUNIT_ASSERT(done());
           CPPUNIT_ASSERT(!(a.MayGo() && b.MayGo()));
         }),
     // Symptom: nobody of a pool is brought up to date any more. Sequence: a
     // claim is under way when its agent stops wanting it; it reaches the log
     // minutes later. Cause: nobody would ever release it.
     It("closes a claim that may still arrive, before it rests",
        [] {
          Log log{.fault = Fault::kLate};
          Agent a(log, "a", 1);
          a.Wish(MaintenanceIntent::kEnter);
          a.Pass(5s);
          log.fault = Fault::kNone;
          a.Wish(MaintenanceIntent::kNone);
          a.Pass(60s);
          CPPUNIT_ASSERT(a.keeper.next_timer() == kNever);
          log.records.insert(log.records.end(), log.late.begin(),
                             log.late.end());
          Agent b(log, "b", 2);
          b.Wish(MaintenanceIntent::kEnter);
          b.Pass(10s);
          CPPUNIT_ASSERT(b.MayGo());
        }),
     // Symptom: two endpoints are out where one may be. Sequence: an agent is
     // stopped in its turn; its successor ends the turn, and the next one goes
     // out; the old one wakes. Cause: it would act on what it read before.
     It("that was paused reads again before it goes",
        [] {
          Log log;
          Agent old(log, "a", 1);
          old.Wish(MaintenanceIntent::kEnter);
          old.Pass(5s);
          CPPUNIT_ASSERT(old.MayGo());
          Agent successor(log, "a", 3);
          successor.Wish(MaintenanceIntent::kNone);
          successor.Pass(5s);
          Agent b(log, "b", 2);
          b.Wish(MaintenanceIntent::kEnter);
          b.Pass(5s);
          CPPUNIT_ASSERT(b.MayGo());
          old.now += 20s;
          CPPUNIT_ASSERT(!old.MayGo());
          old.Pass(30s);
          CPPUNIT_ASSERT(!old.MayGo());
        }),
     // Symptom: a pool is below its floor while a host is down. Sequence: an
     // agent dies in its turn, while its engine loads. Cause: a turn that ends
     // by a timer gives its place to the next, and both are out.
     It("does not go in place of one that died in its turn",
        [] {
          Pool pool;
          pool.a.Wish(MaintenanceIntent::kEnter);
          pool.a.Pass(5s);
          pool.b.Wish(MaintenanceIntent::kEnter);
          pool.b.Pass(2h);
          CPPUNIT_ASSERT(!pool.b.MayGo());
          Agent successor(pool.log, "a", 9);
          successor.Pass(5s);  // its engine still loads
          pool.b.Pass(1min);
          CPPUNIT_ASSERT(!pool.b.MayGo());
          successor.Wish(MaintenanceIntent::kNone);
          successor.Pass(1min);
          pool.b.Pass(1min);
          CPPUNIT_ASSERT(pool.b.MayGo());
        }),
     It("goes when the manifest no longer counts who is before it",
        [] {
          Pool pool;
          pool.a.Wish(MaintenanceIntent::kEnter);
          pool.a.Pass(5s);
          pool.b.Wish(MaintenanceIntent::kEnter);
          pool.b.Pass(5s);
          CPPUNIT_ASSERT(!pool.b.MayGo());
          pool.b.SetPool(1, {EndpointId("b"), EndpointId("c")});
          CPPUNIT_ASSERT(pool.b.MayGo());
        }),
     // Symptom: as above, a day later. Sequence: retention drops the dead
     // one's claim, and an agent starts that never read it.
     It("copies the claims of others before the log drops them", [] {
       Pool pool;
       pool.a.Wish(MaintenanceIntent::kEnter);
       pool.a.Pass(5s);
       pool.b.Wish(MaintenanceIntent::kEnter);
       pool.b.Pass(4h);
       pool.log.first_kept = 3;  // the two claims are gone
       pool.c.Wish(MaintenanceIntent::kEnter);
       pool.c.Pass(1min);
       CPPUNIT_ASSERT(!pool.c.MayGo());
       CPPUNIT_ASSERT(pool.c.keeper.Rank() == std::optional<std::size_t>(2));
       CPPUNIT_ASSERT(pool.log.records.size() < 20);
     })});

}  // namespace
}  // namespace acacialug::maintenance
