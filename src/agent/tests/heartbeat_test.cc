#include "protocol/types/heartbeat.h"
#include "agent/tests/agent_bench.h"

namespace acacialug::agent {
namespace {

using protocol::Heartbeat;
using testing::It;

constexpr Incarnation kProcess{900};
constexpr SessionId kSecond{2};

// An agent with the sessions of two shards of one process. Attempt 1 holds a
// reservation in the first session, and attempt 2 in the second.
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
  std::optional<protocol::HeartbeatAnswer> Receive(const Heartbeat& heartbeat) {
    return this->core.OnHeartbeat(heartbeat, this->now);
  }
  // Advances the time, runs the timers, and returns the number of sessions that
  // lapsed.
  std::uint64_t CountLapsed(Duration duration) {
    const std::uint64_t before = this->core.counters().sessions_lapsed;
    this->AdvanceBy(duration);
    return this->core.counters().sessions_lapsed - before;
  }
};

Heartbeat ForBothSessions(std::uint32_t sequence = 1) {
  return {.entry = EntryId("e1"),
          .incarnation = kProcess,
          .sequence = sequence,
          .interval = 1s,
          .sessions = {11, 12}};
}

template <typename Change>
Heartbeat HeartbeatWith(Change change) {
  Heartbeat heartbeat = ForBothSessions(5);
  change(heartbeat);
  return heartbeat;
}

struct Row {
  const char* name;
  Heartbeat heartbeat;
  std::uint64_t lapsed;  // of the two sessions, if it arrives after 2 s
};

const testing::Story kHeartbeats(
    "a heartbeat",
    {It("renews every session that it lists, and returns agent, lease and load",
        [] {
          Bench bench;
          bench.now += 2s;
          const auto answer = bench.Receive(ForBothSessions());
          CHECK(answer && answer->agent == kHome && answer->renewed == 3);
          CHECK(answer->lease == 3s && answer->has_load && !answer->leaving);
          CHECK(bench.CountLapsed(2900ms) == 0);
          CHECK(bench.CountLapsed(100ms) == 2);
        }),
     // Guards against engine memory that stays held for an entry that is gone,
     // and against a session that outlives its end at the entry: a datagram
     // about another session or incarnation must not renew a lease.
     Cases<Row>(
         "that comes after one of sequence 4 does or does not renew when it is",
         {{"the next", ForBothSessions(5), 0},
          {"doubled", ForBothSessions(4), 2},
          {"overtaken", ForBothSessions(3), 2},
          {"of another incarnation of the process",
           HeartbeatWith([](Heartbeat& h) {
             h.incarnation = Incarnation(901);
           }),
           2},
          {"in another entry's name",
           HeartbeatWith([](Heartbeat& h) { h.entry = EntryId("e2"); }), 2},
          {"in a shard's name",
           HeartbeatWith([](Heartbeat& h) { h.entry = EntryId("e1/0"); }), 2},
          {"for one of the sessions",
           HeartbeatWith([](Heartbeat& h) { h.sessions = {12}; }), 1},
          {"for sessions that never existed", HeartbeatWith([](Heartbeat& h) {
             h.sessions = {77, 0};
           }),
           2},
          {"for a session of another entry",
           HeartbeatWith([](Heartbeat& h) { h.sessions = {1}; }), 2},
          {"for nothing", HeartbeatWith([](Heartbeat& h) { h.sessions = {}; }),
           2}},
         [](const Row& row) {
           Bench bench;
           CHECK(bench.Receive(ForBothSessions(4)));
           bench.now += 2s;
           const bool renewed = row.lapsed < 2;
           CHECK(bench.Receive(row.heartbeat).has_value() == renewed);
           CHECK(bench.CountLapsed(1s) == row.lapsed);
         }),
     // Guards against a stream that goes on although its entry has long
     // repeated it elsewhere: the agent is paused past the lease and resumes
     // with a heartbeat in its socket, so it must check for lapsed leases
     // before it renews.
     It("that waited in the socket of a paused agent revives no session",
        [] {
          Bench bench;
          bench.now += 4s;
          CHECK(!bench.Receive(ForBothSessions()));
          CHECK(bench.core.counters().sessions_lapsed >= 2);
          CHECK(!bench.Receive(ForBothSessions(2)));
        }),
     It("does not renew a session whose connection has closed",
        [] {
          Bench bench;
          bench.core.OnSessionClosed(SessionId(11), bench.now);
          CHECK(bench.Receive(ForBothSessions())->renewed == 2);
          bench.core.OnSessionClosed(SessionId(12), bench.now);
          CHECK(!bench.Receive(ForBothSessions(2)));
        }),
     It("never shortens a lease that was granted to an entry",
        [] {
          Bench bench;
          Heartbeat slow = ForBothSessions(1);
          slow.interval = 5s;
          CHECK(bench.Receive(slow)->lease == 15s);
          CHECK(bench.Receive(ForBothSessions(2))->lease == 3s);
          CHECK(bench.CountLapsed(14900ms) == 0);
          CHECK(bench.CountLapsed(100ms) == 2);
        }),
     It("gets no lease beyond the longest interval, whatever it requests",
        [] {
          Bench bench;
          Heartbeat greedy = ForBothSessions();
          greedy.interval = 24h;
          CHECK(bench.Receive(greedy)->lease == 30s);
        }),
     It("gets a longer lease from an agent with many entries",
        [] {
          AgentOptions options = Decoder();
          // The budget is one heartbeat per second, and two processes share it.
          options.heartbeats.bytes_per_second = 224;
          Bench bench(options);
          const auto answer = bench.Receive(ForBothSessions());
          CPPUNIT_ASSERT_EQUAL(Duration(6s).count(), answer->lease.count());
          CHECK(bench.core.within_heartbeat_budget());
        }),
     It("is answered with the load when it has changed much, or the last was "
        "lost",
        [] {
          Bench bench;
          CHECK(bench.Receive(ForBothSessions(1))->has_load);
          // The first answer was lost.
          CHECK(bench.Receive(ForBothSessions(2))->has_load);
          Heartbeat next = ForBothSessions(3);
          next.load_seen = 2;
          CHECK(!bench.Receive(next)->has_load);
          Reserves(Attempt(1)).Play(bench);
          next.sequence = 4;
          CHECK(bench.Receive(next)->has_load);
        }),
     It("returns that the agent is leaving, and reports a newer manifest",
        [] {
          Bench bench;
          bench.core.BeginDrain(bench.now);
          Heartbeat heartbeat = ForBothSessions();
          heartbeat.manifest = LogOffset(9);
          CHECK(bench.Receive(heartbeat)->leaving);
          CHECK(bench.core.newest_reported_manifest() == LogOffset(9));
        }),
     It("of an unknown incarnation reports no manifest", [] {
       Bench bench;
       Heartbeat forged = ForBothSessions();
       forged.incarnation = Incarnation(1);
       forged.manifest = LogOffset(9);
       CHECK(!bench.Receive(forged));
       CHECK(bench.core.newest_reported_manifest() == LogOffset());
     })});

}  // namespace
}  // namespace acacialug::agent
