#include "configuration/configuration_follower.h"

#include <cppunit/extensions/HelperMacros.h>

#include "configuration/tests/manifest_texts.h"
#include "framework/testing/story.h"

namespace acacialug::configuration {
namespace {

using testing::It;
using testing::Section;
using testing_texts::ManifestText;
using testing_texts::Publish;

constexpr Instant kStart{1s};
constexpr LogOffset kNeverComes{1'000'000};

// A follower with a log that answers when the test says so.
struct Bench {
  RandomSource random{1};
  ConfigurationFollower follower;
  std::vector<std::uint64_t> in_force;
  std::vector<std::uint64_t> asked;
  std::vector<std::string> checkpoints;
  std::vector<ReadStream> reads;

  explicit Bench(FollowerOptions options = {.author = "entry-1"})
      : follower(std::move(options), this->random) {
    this->follower.Start(kStart);
    this->Collect();
  }

  void Collect() {
    for (FollowerAction& action : this->follower.TakeActions()) {
      if (auto* forced = std::get_if<ActivateManifest>(&action)) {
        this->in_force.push_back(forced->accepted.manifest->offset.value);
      } else if (auto* peer = std::get_if<FetchFromPeer>(&action)) {
        this->asked.push_back(peer->offset.value);
      } else if (auto* copy = std::get_if<AppendCheckpoint>(&action)) {
        this->checkpoints.push_back(copy->payload);
      } else {
        this->reads.push_back(std::get<ReadStream>(action));
      }
    }
  }

  void Answer(std::vector<cluster::ILog::Record> records,
              std::uint64_t next,
              Instant now = kStart,
              std::uint64_t first_kept = 1) {
    this->follower.OnRead(
        cluster::ILog::Read{.first_kept = LogOffset(first_kept),
                            .next = LogOffset(next),
                            .records = std::move(records)},
        now);
    this->Collect();
  }

  void Fail(Instant now = kStart) {
    this->follower.OnRead(Error(ResultCode::kPlatformUnavailable), now);
    this->Collect();
  }
};

const testing::Story kFollower(
    "a configuration follower",
    {It("puts what the log accepted in force, and only then serves",
        [] {
          Bench bench;
          CPPUNIT_ASSERT(!bench.follower.ready());
          bench.Answer({{LogOffset(1), Publish("a", 0)}}, 3);
          CPPUNIT_ASSERT(!bench.follower.ready());  // offset 2 is still unread
          bench.Answer({{LogOffset(2), Publish("b", 1)}}, 3);
          CPPUNIT_ASSERT(bench.follower.ready());
          CPPUNIT_ASSERT((std::vector<std::uint64_t>{1, 2}) == bench.in_force);
        }),
     // Symptom: a change reached some agents 4 s after an outage of the log.
     // Sequence: the log went out just after the append; no entry spoke to
     // them. Cause: only who had heard of a newer offset asked the peers.
     It("asks peers at each failed read while it follows the stream",
        [] {
          Bench bench;
          bench.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
          bench.Fail();
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.asked.size());
        }),
     // Each small change made every agent fetch the whole configuration from
     // every peer, beside the few lines of the change that it read from the
     // log: it asked its peers whenever an entry spoke of news, not only with
     // the log out.
     It("asks no peer for news that the log gives",
        [] {
          Bench bench({.author = "agent-1", .follow_stream = false});
          bench.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
          bench.follower.OnPeerOffset(LogOffset(2), kStart);
          bench.follower.OnTimer(kStart);
          bench.Answer({{LogOffset(2), Publish("b", 1)}}, 3, kStart + 100ms);
          while (bench.follower.next_timer() < kStart + 10s) {
            bench.follower.OnTimer(bench.follower.next_timer());
          }
          bench.Collect();
          CPPUNIT_ASSERT((std::vector<std::uint64_t>{1, 2}) == bench.in_force);
          CPPUNIT_ASSERT(bench.asked.empty());
        }),
     It("asks the peers when the log has not given the news within a second",
        [] {
          Bench bench({.author = "agent-1", .follow_stream = false});
          bench.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
          bench.follower.OnPeerOffset(LogOffset(2), kStart);
          bench.follower.OnTimer(kStart);  // and the log does not answer
          CPPUNIT_ASSERT(bench.follower.next_timer() <= kStart + 1s);
          bench.follower.OnTimer(kStart + 1s);
          bench.Collect();
          CPPUNIT_ASSERT((std::vector<std::uint64_t>{2}) == bench.asked);
          CPPUNIT_ASSERT(bench.follower.next_timer() == kNever);
        }),
     It("asks the peers at once when the log fails",
        [] {
          Bench bench({.author = "agent-1", .follow_stream = false});
          bench.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
          bench.follower.OnPeerOffset(LogOffset(2), kStart);
          bench.follower.OnTimer(kStart);
          bench.Fail();
          CPPUNIT_ASSERT((std::vector<std::uint64_t>{2}) == bench.asked);
          bench.follower.OnPeerOffset(LogOffset(3), kStart);
          bench.Collect();
          CPPUNIT_ASSERT((std::vector<std::uint64_t>{2, 3}) == bench.asked);
        }),
     // Symptom: a change took 5 s after a short outage of the log. Sequence:
     // reads failed until the wait between them was seconds long; the log came
     // back; an entry told of the change. Cause: the wait was slept to its end.
     It("reads soon when a peer tells it of news after an outage",
        [] {
          Bench bench({.author = "agent-1", .follow_stream = false});
          Instant now = kStart;
          for (int attempt = 0; attempt < 8; ++attempt) {
            bench.Fail(now);
            now = bench.follower.next_timer();
            bench.follower.OnTimer(now);
          }
          bench.Fail(now);
          bench.follower.OnPeerOffset(LogOffset(9), now);
          CPPUNIT_ASSERT(bench.follower.next_timer() <= now + 250ms);
        }),
     Section("that starts while the log is out",
             {// Symptom: a host started in a log outage served under a manifest
              // replaced the day before.
              // Sequence: the first peer it met had itself been cut off.
              // Cause: the first manifest heard of was taken for the newest.
              It("waits for the newest offset that any peer spoke of",
                 [] {
                   Bench bench;
                   bench.Fail();
                   bench.follower.OnPeerOffset(LogOffset(9), kStart);
                   CPPUNIT_ASSERT(
                       bench.follower
                           .OnPeerManifest(LogOffset(5), ManifestText("a", 0))
                           .ok());
                   CPPUNIT_ASSERT(!bench.follower.ready());
                   CPPUNIT_ASSERT(
                       bench.follower
                           .OnPeerManifest(LogOffset(9), ManifestText("b", 5))
                           .ok());
                   CPPUNIT_ASSERT(bench.follower.ready());
                 }),
              It("keeps trying, ever more slowly, and asks peers meanwhile",
                 [] {
                   Bench bench;
                   bench.follower.OnPeerOffset(LogOffset(9), kStart);
                   Instant now = kStart;
                   for (int attempt = 0; attempt < 8; ++attempt) {
                     bench.Fail(now);
                     now = bench.follower.next_timer();
                     CPPUNIT_ASSERT(now != kNever);
                     bench.follower.OnTimer(now);
                   }
                   bench.Collect();
                   CPPUNIT_ASSERT_EQUAL(std::size_t{9}, bench.reads.size());
                   CPPUNIT_ASSERT(bench.asked.size() >= 8);
                   CPPUNIT_ASSERT(now - kStart > 10s);
                 })}),
     Section(
         "that has a newer manifest from a peer",
         {// Symptom: a configuration went back for some seconds.
          // Sequence: a peer's newer manifest was taken first; then the log's
          // answer, sent before it, came.
          // Cause: answers were put in force in the order of their arrival.
          It("does not go back to the log's older one",
             [] {
               Bench bench;
               CPPUNIT_ASSERT(
                   bench.follower
                       .OnPeerManifest(LogOffset(2), ManifestText("b", 1))
                       .ok());
               bench.Collect();
               bench.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
               CPPUNIT_ASSERT((std::vector<std::uint64_t>{2}) ==
                              bench.in_force);
               CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                                    bench.follower.offset().value);
             }),
          It("refuses a peer's older or unreadable one by number",
             [] {
               Bench bench;
               bench.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
               CPPUNIT_ASSERT(
                   ResultCode::kManifestStale ==
                   bench.follower
                       .OnPeerManifest(LogOffset(1), ManifestText("a", 0))
                       .error()
                       .result_code());
               CPPUNIT_ASSERT(
                   ResultCode::kManifestInvalid ==
                   bench.follower.OnPeerManifest(LogOffset(2), "nonsense")
                       .error()
                       .result_code());
             })}),
     // Symptom: every entry stopped taking manifests, and hosts that were
     // replaced never served. Sequence: one process spoke of an offset that
     // the log never held: it had read another log. Cause: what a peer says was
     // believed against the log, and for ever.
     Section("that hears of an offset which never comes",
             {It("goes on serving, and puts in force what the log accepts",
                 [] {
                   Bench bench;
                   bench.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
                   bench.follower.OnPeerOffset(kNeverComes, kStart);
                   CPPUNIT_ASSERT(bench.follower.ready());
                   bench.Answer({{LogOffset(2), Publish("b", 1)}}, 3);
                   CPPUNIT_ASSERT((std::vector<std::uint64_t>{1, 2}) ==
                                  bench.in_force);
                   CPPUNIT_ASSERT(bench.follower.ready());
                 }),
              It("serves for the first time when the log has had its time",
                 [] {
                   Bench bench;
                   bench.follower.OnPeerOffset(kNeverComes, kStart);
                   bench.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
                   CPPUNIT_ASSERT(!bench.follower.ready());
                   bench.Answer({}, 2, kStart + 11s);
                   CPPUNIT_ASSERT(bench.follower.ready());
                 }),
              It("does not hammer the log for it",
                 [] {
                   constexpr std::size_t kMostReads = 50;
                   Bench bench({.author = "agent-1", .follow_stream = false});
                   bench.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
                   Instant now = kStart;
                   while (now < kStart + 10min) {
                     bench.follower.OnPeerOffset(kNeverComes, now);
                     bench.follower.OnTimer(now);
                     const std::size_t before = bench.reads.size();
                     bench.Collect();
                     if (bench.reads.size() > before) {
                       bench.Answer({}, 2, now);
                     }
                     now += 1s;
                   }
                   CPPUNIT_ASSERT(bench.reads.size() <= kMostReads);
                 }),
              It("reads at once when it hears of another",
                 [] {
                   Bench bench({.author = "agent-1", .follow_stream = false});
                   bench.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
                   bench.follower.OnPeerOffset(kNeverComes, kStart);
                   bench.follower.OnTimer(kStart);
                   bench.Collect();
                   bench.Answer({}, 2, kStart + 11s);
                   bench.follower.OnPeerOffset(LogOffset(2), kStart + 12s);
                   CPPUNIT_ASSERT(bench.follower.next_timer() == kStart + 12s);
                 })}),
     // Symptom: an endpoint that was to leave never knew, and did not drain.
     // Sequence: its agent was paused; the entries told it, dropped it, and
     // told it nothing more. Cause: an agent hears of manifests from entries
     // only.
     // It may not poll ever more rarely: two endpoints of 120 were in no
     // entry's working set, and a change has to be in force within 4 s.
     It("reads the log itself by long polls while no peer speaks to it",
        [] {
          // Each read is held for 10 s, and 2 s lie between them.
          constexpr std::size_t kMostReads = 51;
          Bench bench({.author = "agent-1", .follow_stream = false});
          bench.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
          CPPUNIT_ASSERT(bench.follower.next_timer() == kNever);
          bench.follower.SetAlone(true, kStart);
          CPPUNIT_ASSERT(bench.follower.next_timer() == kStart + 2s);
          while (bench.follower.next_timer() < kStart + 10min) {
            const Instant now = bench.follower.next_timer();
            bench.follower.OnTimer(now);
            bench.Collect();
            const Instant answered = now + bench.reads.back().wait;
            bench.Answer({}, 2, answered);
            CPPUNIT_ASSERT(bench.follower.next_timer() == answered + 2s);
          }
          CPPUNIT_ASSERT(bench.reads.size() <= kMostReads);
          const Instant now = bench.follower.next_timer();
          bench.follower.SetAlone(false, now);
          bench.follower.OnTimer(now);
          bench.Answer({}, 2, now);
          CPPUNIT_ASSERT(bench.follower.next_timer() == kNever);
        }),
     // Symptom: months after the last change, new hosts found no manifest.
     // Sequence: retention dropped the only record that held it.
     // Cause: nobody appended it again.
     It("appends a copy before retention drops the only one", [] {
       Bench bench({.author = "entry-1", .retention = 100s});
       bench.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
       CPPUNIT_ASSERT(bench.checkpoints.empty());
       bench.Answer({}, 2, kStart + 51s);
       CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.checkpoints.size());
       bench.Answer({{LogOffset(2), bench.checkpoints[0]}}, 3, kStart + 52s);
       // The copy alone is enough for a host that starts later.
       Bench late;
       late.Answer({{LogOffset(2), bench.checkpoints[0]}}, 3, kStart, 2);
       CPPUNIT_ASSERT((std::vector<std::uint64_t>{1}) == late.in_force);
     })});

}  // namespace
}  // namespace acacialug::configuration
