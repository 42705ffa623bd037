#include "heartbeat/heartbeat_sender.h"

#include <cppunit/TestAssert.h>

#include <functional>
#include <string>

#include "framework/testing/story.h"
#include "protocol/message_codec.h"

namespace acacialug::heartbeat {
namespace {

using testing::ForEach;
using testing::It;

constexpr Incarnation kAgent{7};
const EndpointId kEndpoint("d1");

protocol::HeartbeatAnswer Answer(const protocol::Heartbeat& heartbeat) {
  return {.agent = kAgent,
          .sequence = heartbeat.sequence,
          .lease = 3s,
          .renewed = ~std::uint64_t{0} >> (64 - heartbeat.sessions.size())};
}

// A sender in virtual time, with open sessions of two shards.
struct Bench {
  RandomSource random{1};
  Instant now{1h};
  std::vector<bool> runs{true, true};
  HeartbeatSender sender{
      {.entry = EntryId("e1"),
       .incarnation = Incarnation(5),
       .shard_runs = [this](int shard, Instant) { return this->runs[shard]; }},
      this->random};

  Bench() {
    this->Open(0, 10);
    this->Open(1, 11);
  }
  void Open(int shard, std::uint32_t number, Incarnation agent = kAgent) {
    this->sender.OnOpened({.shard = shard,
                           .endpoint = kEndpoint,
                           .name = {.agent = agent, .number = number},
                           .lease = 3s},
                          this->now);
  }
  // Advances to the next heartbeat and returns it.
  protocol::Heartbeat Next() {
    CPPUNIT_ASSERT(this->sender.next_timer() != kNever);
    this->now = std::max(this->now, this->sender.next_timer());
    this->sender.OnTimer(this->now);
    const auto sent = this->sender.TakeHeartbeats();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
    return sent.front().heartbeat;
  }
  bool Deliver(const protocol::HeartbeatAnswer& answer) {
    return this->sender.OnAnswer(answer, 68, this->now);
  }
};

struct AnswerRow {
  const char* name;
  std::function<void(Bench&, protocol::HeartbeatAnswer&)> change;
  std::size_t renewals;
};

const testing::Story kSender(
    "the heartbeats of an entry process",
    {It("renew the sessions of all shards with one datagram, counted from its "
        "sending time",
        [] {
          Bench bench;
          const protocol::Heartbeat heartbeat = bench.Next();
          CPPUNIT_ASSERT(heartbeat.sessions ==
                         (std::vector<std::uint32_t>{10, 11}));
          const Instant sent_at = bench.now;
          bench.now += 20ms;
          CPPUNIT_ASSERT(bench.Deliver(Answer(heartbeat)));
          const auto renewals = bench.sender.TakeRenewals();
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, renewals.size());
          CPPUNIT_ASSERT_EQUAL(1, renewals[1].shard);
          CPPUNIT_ASSERT(renewals[1].renewal.sent_at == sent_at);
          CPPUNIT_ASSERT(renewals[1].renewal.lease == 3s);
          CPPUNIT_ASSERT(bench.sender.next_timer() == sent_at + 1s);
        }),
     // Symptom: an entry uses a reservation that its agent has released.
     // Sequence: an answer arrives that does not refer to the sessions that the
     // entry has now. Cause: the answer is counted for the session that
     // replaced the one it refers to.
     ForEach<AnswerRow>(
         "renew only sessions that the answer covers, when the answer is",
         {{"a duplicate",
           [](Bench& bench, protocol::HeartbeatAnswer& answer) {
             bench.Deliver(answer);
             bench.sender.TakeRenewals();
           },
           0},
          {"from another incarnation of the agent",
           [](Bench&, protocol::HeartbeatAnswer& answer) {
             answer.agent = Incarnation(8);
           },
           0},
          {"to a heartbeat never sent",
           [](Bench&, protocol::HeartbeatAnswer& answer) { ++answer.sequence; },
           0},
          {"very late",
           [](Bench& bench, protocol::HeartbeatAnswer&) {
             for (int i = 0; i < 4; ++i) {
               bench.Next();
             }
           },
           0},
          {"for sessions that the agent no longer has",
           [](Bench&, protocol::HeartbeatAnswer& answer) {
             answer.renewed = 0;
           },
           0},
          {"for only one of the sessions",
           [](Bench&, protocol::HeartbeatAnswer& answer) {
             answer.renewed = 2;
           },
           1},
          {"for sessions that are closed",
           [](Bench& bench, protocol::HeartbeatAnswer&) {
             bench.sender.OnClosed(0, kEndpoint);
             bench.sender.OnClosed(1, kEndpoint);
           },
           0},
          {"from the previous incarnation of the agent",
           [](Bench& bench, protocol::HeartbeatAnswer&) {
             bench.Open(0, 10, Incarnation(8));
           },
           0}},
         [](const AnswerRow& row) { return row.name; },
         [](const AnswerRow& row) {
           Bench bench;
           protocol::HeartbeatAnswer answer = Answer(bench.Next());
           row.change(bench, answer);
           bench.Deliver(answer);
           CPPUNIT_ASSERT_EQUAL(row.renewals,
                                bench.sender.TakeRenewals().size());
         }),
     It("take the sending time, but not the load, from an overtaken answer",
        [] {
          Bench bench;
          const protocol::Heartbeat first = bench.Next();
          const Instant first_at = bench.now;
          const protocol::Heartbeat second = bench.Next();
          bench.Deliver(Answer(second));
          bench.sender.TakeRenewals();
          protocol::HeartbeatAnswer late = Answer(first);
          late.has_load = true;
          CPPUNIT_ASSERT(bench.Deliver(late));
          const auto renewals = bench.sender.TakeRenewals();
          CPPUNIT_ASSERT(renewals.front().renewal.sent_at == first_at);
          CPPUNIT_ASSERT(!renewals.front().renewal.load);
          CPPUNIT_ASSERT(!renewals.front().renewal.newest);
        }),
     It("are resent sooner than the interval after a loss, but only twice",
        [] {
          Bench bench;
          protocol::HeartbeatAnswer answer = Answer(bench.Next());
          answer.lease = 30s;
          bench.Deliver(answer);
          Instant before = bench.now;
          const auto gap = [&] {
            bench.Next();
            return bench.now - std::exchange(before, bench.now);
          };
          CPPUNIT_ASSERT(gap() == 10s);
          CPPUNIT_ASSERT(gap() == 1s);
          CPPUNIT_ASSERT(gap() == 1s);
          CPPUNIT_ASSERT(gap() == 10s);
        }),
     It("contain the sequence of the answer with the latest load",
        [] {
          Bench bench;
          protocol::HeartbeatAnswer answer = Answer(bench.Next());
          answer.has_load = true;
          answer.load.running = 3;
          bench.Deliver(answer);
          CPPUNIT_ASSERT_EQUAL(
              std::uint32_t{3},
              bench.sender.TakeRenewals().front().renewal.load->running);
          const protocol::Heartbeat next = bench.Next();
          CPPUNIT_ASSERT_EQUAL(answer.sequence, next.load_seen);
          bench.Deliver(Answer(next));
          CPPUNIT_ASSERT_EQUAL(answer.sequence, bench.Next().load_seen);
        }),
     // Symptom: engine memory stays reserved for a shard that hangs. Sequence:
     // one thread of an entry stalls, while the thread that sends the
     // heartbeats runs. Cause: the sessions of the stalled shard are renewed.
     It("leave out the sessions of a stalled shard",
        [] {
          Bench bench;
          bench.runs[0] = false;
          CPPUNIT_ASSERT(bench.Next().sessions ==
                         std::vector<std::uint32_t>{11});
          bench.runs[1] = false;
          bench.now = bench.sender.next_timer();
          bench.sender.OnTimer(bench.now);
          CPPUNIT_ASSERT(bench.sender.TakeHeartbeats().empty());
          bench.runs[0] = true;
          CPPUNIT_ASSERT(bench.Next().sessions ==
                         std::vector<std::uint32_t>{10});
        }),
     // Symptom: a configuration becomes active at an agent only after ten
     // seconds. Sequence: the interval is long, and a manifest arrives right
     // after a heartbeat. Cause: agents learn of a manifest by heartbeats only.
     It("announce a manifest within seconds, however long the interval is",
        [] {
          Bench bench;
          protocol::HeartbeatAnswer answer = Answer(bench.Next());
          answer.lease = 30s;
          bench.Deliver(answer);
          const protocol::Heartbeat before = bench.Next();
          const Instant published = bench.now;
          bench.sender.OnManifest(LogOffset(9), bench.now);
          answer = Answer(before);
          answer.lease = 30s;
          bench.Deliver(answer);  // to a heartbeat that did not announce it
          CPPUNIT_ASSERT(bench.Next().manifest == LogOffset(9));
          CPPUNIT_ASSERT(bench.now <= published + 2s);
        }),
     It("stop when the last session closes", [] {
       Bench bench;
       bench.sender.OnClosed(0, kEndpoint);
       bench.sender.OnClosed(1, kEndpoint);
       bench.sender.OnClosed(1, kEndpoint);
       CPPUNIT_ASSERT(bench.sender.next_timer() == kNever);
       CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench.sender.peers());
     })});

// Simulates the answers of `peers` agents for many rounds, and returns the
// bytes per second, both directions and headers included, over the last 20
// rounds.
double BytesPerSecond(int peers, HeartbeatSender& sender) {
  Instant now{1h};
  for (int i = 0; i < peers; ++i) {
    for (int shard = 0; shard < 2; ++shard) {
      sender.OnOpened({.shard = shard,
                       .endpoint = EndpointId("d" + std::to_string(i)),
                       .name = {.agent = Incarnation(i + 1), .number = 1},
                       .lease = 3s},
                      now);
    }
  }
  double bytes = 0;
  const Instant settled = now + 200s;
  Instant end = settled;
  while (sender.next_timer() < end || now < settled) {
    now = std::max(now, sender.next_timer());
    sender.OnTimer(now);
    // Whole rounds, starting once the interval has settled.
    end = now < settled ? settled + 20 * sender.interval() : end;
    for (const SendHeartbeat& sent : sender.TakeHeartbeats()) {
      protocol::HeartbeatAnswer answer = Answer(sent.heartbeat);
      answer.agent = Incarnation(std::stoull(sent.endpoint.text.substr(1)) + 1);
      answer.lease = std::max<Duration>(3s, sent.heartbeat.interval * 3);
      const std::size_t size = protocol::Encode(answer).size();
      sender.OnAnswer(answer, size, now);
      if (now >= settled) {
        bytes += static_cast<double>(protocol::Encode(sent.heartbeat).size() +
                                     size + 2 * protocol::kDatagramHeaderBytes);
      }
    }
    sender.TakeRenewals();
  }
  return bytes / Seconds(end - settled);
}

struct SizeRow {
  const char* name;
  int peers;
  Duration longest;
  double min_bytes;  // per second
  double max_bytes;
  Duration min_interval;
  Duration max_interval;
  bool within;
};

const testing::Story kBudgeted(
    "the byte budget of an entry",
    {ForEach<SizeRow>(
        "is kept, or reported as exceeded, with",
        {{"fourteen endpoints, at 1 s", 14, 10s, 2000, 3200, 1s, 1s, true},
         {"8 endpoints in each of 18 pools", 144, 10s, 5000, 6000, 3s, 5s,
          true},
         {"64 endpoints in each of 18 pools, kept at up to 40 s", 1152, 40s,
          5000, 6000, 30s, 40s, true},
         {"64 endpoints in each of 18 pools, exceeded at up to 10 s", 1152, 10s,
          15000, 25000, 10s, 10s, false}},
        [](const SizeRow& row) { return row.name; },
        [](const SizeRow& row) {
          RandomSource random(1);
          HeartbeatSender sender({.entry = EntryId("entry-123"),
                                  .incarnation = Incarnation(5),
                                  .budget = {.longest = row.longest}},
                                 random);
          const double bytes = BytesPerSecond(row.peers, sender);
          CPPUNIT_ASSERT_MESSAGE(
              std::to_string(bytes),
              bytes >= row.min_bytes && bytes <= row.max_bytes);
          CPPUNIT_ASSERT(sender.interval() >= row.min_interval &&
                         sender.interval() <= row.max_interval);
          CPPUNIT_ASSERT_EQUAL(row.within, sender.within_budget());
        })});

}  // namespace
}  // namespace acacialug::heartbeat
