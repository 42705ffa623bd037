#include "protocol/types/heartbeat.h"
#include "agent/tests/agent_bench.h"

namespace acacialug::agent {
namespace {

using protocol::Heartbeat;
using testing::It;

constexpr Incarnation kProcess{900};
constexpr SessionId kSecond{2};

// An agent with the sessions of two shards of one process; attempt 1 holds a
// reservation in the first, and 2 in the second.
struct Bench : AgentBench {
  explicit Bench(AgentOptions options = Decoder())
      : AgentBench(std::move(options)) {
    this->core.AcceptHeartbeats(1);
    this->OpenShard(SessionId(11), "e1/0", Incarnation(101));
    this->OpenShard(SessionId(12), "e1/1", Incarnation(102));
    this->Trace();
  }
  void OpenShard(SessionId session, const char* id, Incarnation incarnation) {
    this->core.OnSessionOpened(session, this->now);
    this->Send(protocol::Hello{.entry = EntryId(id),
                               .incarnation = incarnation,
                               .process = EntryId("e1"),
                               .process_incarnation = kProcess,
                               .interval = 1s},
               session);
  }
  std::optional<protocol::HeartbeatAnswer> Beat(const Heartbeat& heartbeat) {
    return this->core.OnHeartbeat(heartbeat, this->now);
  }
  // Lets time pass with its timers, and tells which sessions lapsed.
  std::uint64_t Lapsed(Duration duration) {
    const std::uint64_t before = this->core.counters().sessions_lapsed;
    this->AdvanceBy(duration);
    return this->core.counters().sessions_lapsed - before;
  }
};

Heartbeat Both(std::uint32_t sequence = 1) {
  return {.entry = EntryId("e1"),
          .incarnation = kProcess,
          .sequence = sequence,
          .interval = 1s,
          .sessions = {11, 12}};
}

template <typename Change>
Heartbeat With(Change change) {
  Heartbeat heartbeat = Both(5);
  change(heartbeat);
  return heartbeat;
}

struct Row {
  const char* name;
  Heartbeat heartbeat;
  std::uint64_t lapsed;  // of the two sessions, when it comes after 2 s
};

const testing::Story kHeartbeats(
    "a heartbeat",
    {It("renews every session that it lists, and tells agent, lease and load",
        [] {
          Bench bench;
          bench.now += 2s;
          const auto answer = bench.Beat(Both());
          CHECK(answer && answer->agent == kHome && answer->renewed == 3);
          CHECK(answer->lease == 3s && answer->has_load && !answer->leaving);
          CHECK(bench.Lapsed(2900ms) == 0);
          CHECK(bench.Lapsed(100ms) == 2);
        }),
     // Symptom: engine memory stays held for an entry that is gone, or a
     // session lives on that its entry has given up. Sequence: a datagram
     // comes that speaks of something else. Cause: it was counted.
     Cases<Row>(
         "that comes after one of sequence 4 does or does not renew when it is",
         {{"the next", Both(5), 0},
          {"doubled", Both(4), 2},
          {"overtaken", Both(3), 2},
          {"of another start of the process",
           With([](Heartbeat& h) { h.incarnation = Incarnation(901); }), 2},
          {"in another entry's name",
           With([](Heartbeat& h) { h.entry = EntryId("e2"); }), 2},
          {"in a shard's name",
           With([](Heartbeat& h) { h.entry = EntryId("e1/0"); }), 2},
          {"for one of the sessions",
           With([](Heartbeat& h) { h.sessions = {12}; }), 1},
          {"for sessions that never were", With([](Heartbeat& h) {
             h.sessions = {77, 0};
           }),
           2},
          {"for a session of another entry",
           With([](Heartbeat& h) { h.sessions = {1}; }), 2},
          {"for nothing", With([](Heartbeat& h) { h.sessions = {}; }), 2}},
         [](const Row& row) {
           Bench bench;
           CHECK(bench.Beat(Both(4)));
           bench.now += 2s;
           const bool renewed = row.lapsed < 2;
           CHECK(bench.Beat(row.heartbeat).has_value() == renewed);
           CHECK(bench.Lapsed(1s) == row.lapsed);
         }),
     // Symptom: a stream goes on that its entry has long repeated elsewhere.
     // Sequence: the agent is paused past the lease, and wakes with a
     // heartbeat in its socket. Cause: it renewed before it looked.
     It("that waited in the socket of a paused agent brings nothing back",
        [] {
          Bench bench;
          bench.now += 4s;
          CHECK(!bench.Beat(Both()));
          CHECK(bench.core.counters().sessions_lapsed >= 2);
          CHECK(!bench.Beat(Both(2)));
        }),
     It("does not renew a session whose connection has closed",
        [] {
          Bench bench;
          bench.core.OnSessionClosed(SessionId(11), bench.now);
          CHECK(bench.Beat(Both())->renewed == 2);
          bench.core.OnSessionClosed(SessionId(12), bench.now);
          CHECK(!bench.Beat(Both(2)));
        }),
     It("never shortens a lease that an entry counts on",
        [] {
          Bench bench;
          Heartbeat slow = Both(1);
          slow.interval = 5s;
          CHECK(bench.Beat(slow)->lease == 15s);
          CHECK(bench.Beat(Both(2))->lease == 3s);
          CHECK(bench.Lapsed(14900ms) == 0);
          CHECK(bench.Lapsed(100ms) == 2);
        }),
     It("gets no lease beyond the longest interval, whatever it asks for",
        [] {
          Bench bench;
          Heartbeat greedy = Both();
          greedy.interval = 24h;
          CHECK(bench.Beat(greedy)->lease == 30s);
        }),
     It("gets a longer lease from an agent with many entries",
        [] {
          AgentOptions options = Decoder();
          options.heartbeats.bytes_per_second = 224;  // one heartbeat a second
          Bench bench(options);                       // of two processes
          const auto answer = bench.Beat(Both());
          CPPUNIT_ASSERT_EQUAL(Duration(6s).count(), answer->lease.count());
          CHECK(bench.core.within_heartbeat_budget());
        }),
     It("is told the load when it has changed much, or the last did not come",
        [] {
          Bench bench;
          CHECK(bench.Beat(Both(1))->has_load);
          CHECK(bench.Beat(Both(2))->has_load);  // the first answer was lost
          Heartbeat next = Both(3);
          next.load_seen = 2;
          CHECK(!bench.Beat(next)->has_load);
          Reserves(Attempt(1)).Play(bench);
          next.sequence = 4;
          CHECK(bench.Beat(next)->has_load);
        }),
     It("tells that the agent is leaving, and the manifest that it has heard "
        "of",
        [] {
          Bench bench;
          bench.core.BeginDrain(bench.now);
          Heartbeat heartbeat = Both();
          heartbeat.manifest = LogOffset(9);
          CHECK(bench.Beat(heartbeat)->leaving);
          CHECK(bench.core.newest_reported_manifest() == LogOffset(9));
        }),
     It("of a stranger does not tell of a manifest", [] {
       Bench bench;
       Heartbeat forged = Both();
       forged.incarnation = Incarnation(1);
       forged.manifest = LogOffset(9);
       CHECK(!bench.Beat(forged));
       CHECK(bench.core.newest_reported_manifest() == LogOffset());
     })});

}  // namespace
}  // namespace acacialug::agent
