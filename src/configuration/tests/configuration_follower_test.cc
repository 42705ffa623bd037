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
constexpr LogOffset kMissingOffset{1'000'000};

// A follower with a log whose answers the test controls.
struct Fixture {
  RandomSource random{1};
  ConfigurationFollower follower;
  std::vector<std::uint64_t> activated;
  std::vector<std::uint64_t> fetched;
  std::vector<std::string> checkpoints;
  std::vector<ReadStream> reads;

  explicit Fixture(FollowerOptions options = {.author = "entry-1"})
      : follower(std::move(options), this->random) {
    this->follower.Start(kStart);
    this->Collect();
  }

  void Collect() {
    for (FollowerAction& action : this->follower.TakeActions()) {
      if (auto* activate = std::get_if<ActivateManifest>(&action)) {
        this->activated.push_back(activate->accepted.manifest->offset.value);
      } else if (auto* peer = std::get_if<FetchFromPeer>(&action)) {
        this->fetched.push_back(peer->offset.value);
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
    {It("activates what the log accepted, and is ready only then",
        [] {
          Fixture fixture;
          CPPUNIT_ASSERT(!fixture.follower.ready());
          fixture.Answer({{LogOffset(1), Publish("a", 0)}}, 3);
          CPPUNIT_ASSERT(
              !fixture.follower.ready());  // offset 2 is not read yet
          fixture.Answer({{LogOffset(2), Publish("b", 1)}}, 3);
          CPPUNIT_ASSERT(fixture.follower.ready());
          CPPUNIT_ASSERT((std::vector<std::uint64_t>{1, 2}) ==
                         fixture.activated);
        }),
     // Guards against agents that activate a change only 4 s after an outage of
     // the log: the log fails just after the append, and no entry has a session
     // with the agents. Only processes with a report of a newer offset fetched
     // from peers.
     It("fetches from peers at each failed read while it follows the stream",
        [] {
          Fixture fixture;
          fixture.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
          fixture.Fail();
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.fetched.size());
        }),
     // Guards against agents that fetch the full configuration from every peer
     // at each small change, in addition to the few lines read from the log:
     // they fetched whenever an entry reported a newer offset, not only while
     // the log was unavailable.
     It("does not fetch from peers what the log delivers",
        [] {
          Fixture fixture({.author = "agent-1", .follow_stream = false});
          fixture.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
          fixture.follower.OnPeerOffset(LogOffset(2), kStart);
          fixture.follower.OnTimer(kStart);
          fixture.Answer({{LogOffset(2), Publish("b", 1)}}, 3, kStart + 100ms);
          while (fixture.follower.next_timer() < kStart + 10s) {
            fixture.follower.OnTimer(fixture.follower.next_timer());
          }
          fixture.Collect();
          CPPUNIT_ASSERT((std::vector<std::uint64_t>{1, 2}) ==
                         fixture.activated);
          CPPUNIT_ASSERT(fixture.fetched.empty());
        }),
     It("fetches from peers when the log has not delivered within a second",
        [] {
          Fixture fixture({.author = "agent-1", .follow_stream = false});
          fixture.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
          fixture.follower.OnPeerOffset(LogOffset(2), kStart);
          fixture.follower.OnTimer(kStart);  // the log does not answer
          CPPUNIT_ASSERT(fixture.follower.next_timer() <= kStart + 1s);
          fixture.follower.OnTimer(kStart + 1s);
          fixture.Collect();
          CPPUNIT_ASSERT((std::vector<std::uint64_t>{2}) == fixture.fetched);
          CPPUNIT_ASSERT(fixture.follower.next_timer() == kNever);
        }),
     It("fetches from peers at once when the log fails",
        [] {
          Fixture fixture({.author = "agent-1", .follow_stream = false});
          fixture.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
          fixture.follower.OnPeerOffset(LogOffset(2), kStart);
          fixture.follower.OnTimer(kStart);
          fixture.Fail();
          CPPUNIT_ASSERT((std::vector<std::uint64_t>{2}) == fixture.fetched);
          fixture.follower.OnPeerOffset(LogOffset(3), kStart);
          fixture.Collect();
          CPPUNIT_ASSERT((std::vector<std::uint64_t>{2, 3}) == fixture.fetched);
        }),
     // Guards against a change that takes 5 s after a short outage of the log:
     // reads fail until the delay between them is seconds long, the log
     // recovers, an entry reports the change, and the delay still runs to its
     // end.
     It("reads soon when a peer reports a newer offset after an outage",
        [] {
          Fixture fixture({.author = "agent-1", .follow_stream = false});
          Instant now = kStart;
          for (int attempt = 0; attempt < 8; ++attempt) {
            fixture.Fail(now);
            now = fixture.follower.next_timer();
            fixture.follower.OnTimer(now);
          }
          fixture.Fail(now);
          fixture.follower.OnPeerOffset(LogOffset(9), now);
          CPPUNIT_ASSERT(fixture.follower.next_timer() <= now + 250ms);
        }),
     Section("that starts while the log is unavailable",
             {// Guards against a host that starts during a log outage and
              // serves under a manifest replaced the day before: the first peer
              // that it reaches was itself cut off, and the first manifest
              // received is taken for the newest.
              It("waits for the newest offset that any peer reported",
                 [] {
                   Fixture fixture;
                   fixture.Fail();
                   fixture.follower.OnPeerOffset(LogOffset(9), kStart);
                   CPPUNIT_ASSERT(
                       fixture.follower
                           .OnPeerManifest(LogOffset(5), ManifestText("a", 0))
                           .ok());
                   CPPUNIT_ASSERT(!fixture.follower.ready());
                   CPPUNIT_ASSERT(
                       fixture.follower
                           .OnPeerManifest(LogOffset(9), ManifestText("b", 5))
                           .ok());
                   CPPUNIT_ASSERT(fixture.follower.ready());
                 }),
              It("retries with growing delays and fetches from peers meanwhile",
                 [] {
                   Fixture fixture;
                   fixture.follower.OnPeerOffset(LogOffset(9), kStart);
                   Instant now = kStart;
                   for (int attempt = 0; attempt < 8; ++attempt) {
                     fixture.Fail(now);
                     now = fixture.follower.next_timer();
                     CPPUNIT_ASSERT(now != kNever);
                     fixture.follower.OnTimer(now);
                   }
                   fixture.Collect();
                   CPPUNIT_ASSERT_EQUAL(std::size_t{9}, fixture.reads.size());
                   CPPUNIT_ASSERT(fixture.fetched.size() >= 8);
                   CPPUNIT_ASSERT(now - kStart > 10s);
                 })}),
     Section(
         "that has a newer manifest from a peer",
         {// Guards against a configuration that reverts for some seconds: a
          // peer's newer manifest is activated first, then the log's earlier
          // answer arrives, and answers are activated in the order of arrival.
          It("does not return to the log's older one",
             [] {
               Fixture fixture;
               CPPUNIT_ASSERT(
                   fixture.follower
                       .OnPeerManifest(LogOffset(2), ManifestText("b", 1))
                       .ok());
               fixture.Collect();
               fixture.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
               CPPUNIT_ASSERT((std::vector<std::uint64_t>{2}) ==
                              fixture.activated);
               CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                                    fixture.follower.offset().value);
             }),
          It("rejects a peer's older or unreadable one with its result code",
             [] {
               Fixture fixture;
               fixture.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
               CPPUNIT_ASSERT(
                   ResultCode::kManifestStale ==
                   fixture.follower
                       .OnPeerManifest(LogOffset(1), ManifestText("a", 0))
                       .error()
                       .result_code());
               CPPUNIT_ASSERT(
                   ResultCode::kManifestInvalid ==
                   fixture.follower.OnPeerManifest(LogOffset(2), "nonsense")
                       .error()
                       .result_code());
             })}),
     // Guards against entries that stop accepting manifests, and replaced hosts
     // that never serve: one process reports an offset that the log never held,
     // because it read another log, and a peer's report is trusted over the log
     // permanently.
     Section(
         "that receives a report of an offset that never arrives",
         {It("stays ready and activates what the log accepts",
             [] {
               Fixture fixture;
               fixture.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
               fixture.follower.OnPeerOffset(kMissingOffset, kStart);
               CPPUNIT_ASSERT(fixture.follower.ready());
               fixture.Answer({{LogOffset(2), Publish("b", 1)}}, 3);
               CPPUNIT_ASSERT((std::vector<std::uint64_t>{1, 2}) ==
                              fixture.activated);
               CPPUNIT_ASSERT(fixture.follower.ready());
             }),
          It("becomes ready when the log has not shown the offset in time",
             [] {
               Fixture fixture;
               fixture.follower.OnPeerOffset(kMissingOffset, kStart);
               fixture.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
               CPPUNIT_ASSERT(!fixture.follower.ready());
               fixture.Answer({}, 2, kStart + 11s);
               CPPUNIT_ASSERT(fixture.follower.ready());
             }),
          It("does not poll the log for it at a high rate",
             [] {
               constexpr std::size_t kMaxReads = 50;
               Fixture fixture({.author = "agent-1", .follow_stream = false});
               fixture.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
               Instant now = kStart;
               while (now < kStart + 10min) {
                 fixture.follower.OnPeerOffset(kMissingOffset, now);
                 fixture.follower.OnTimer(now);
                 const std::size_t before = fixture.reads.size();
                 fixture.Collect();
                 if (fixture.reads.size() > before) {
                   fixture.Answer({}, 2, now);
                 }
                 now += 1s;
               }
               CPPUNIT_ASSERT(fixture.reads.size() <= kMaxReads);
             }),
          It("reads at once when another offset is reported",
             [] {
               Fixture fixture({.author = "agent-1", .follow_stream = false});
               fixture.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
               fixture.follower.OnPeerOffset(kMissingOffset, kStart);
               fixture.follower.OnTimer(kStart);
               fixture.Collect();
               fixture.Answer({}, 2, kStart + 11s);
               fixture.follower.OnPeerOffset(LogOffset(2), kStart + 12s);
               CPPUNIT_ASSERT(fixture.follower.next_timer() == kStart + 12s);
             })}),
     // Guards against an endpoint that is to leave but does not drain: its
     // agent
     // is paused while the entries notify it, drop it and send nothing more,
     // and
     // an agent learns of manifests from entries only.
     // The poll interval may not grow: two endpoints of 120 were in no entry's
     // working set, and a change has to be active within 4 s.
     It("reads the log by long polls while no peer has a session with it",
        [] {
          // Each read takes 10 s, with 2 s between reads.
          constexpr std::size_t kMaxReads = 51;
          Fixture fixture({.author = "agent-1", .follow_stream = false});
          fixture.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
          CPPUNIT_ASSERT(fixture.follower.next_timer() == kNever);
          fixture.follower.SetAlone(true, kStart);
          CPPUNIT_ASSERT(fixture.follower.next_timer() == kStart + 2s);
          while (fixture.follower.next_timer() < kStart + 10min) {
            const Instant now = fixture.follower.next_timer();
            fixture.follower.OnTimer(now);
            fixture.Collect();
            const Instant answered = now + fixture.reads.back().wait;
            fixture.Answer({}, 2, answered);
            CPPUNIT_ASSERT(fixture.follower.next_timer() == answered + 2s);
          }
          CPPUNIT_ASSERT(fixture.reads.size() <= kMaxReads);
          const Instant now = fixture.follower.next_timer();
          fixture.follower.SetAlone(false, now);
          fixture.follower.OnTimer(now);
          fixture.Answer({}, 2, now);
          CPPUNIT_ASSERT(fixture.follower.next_timer() == kNever);
        }),
     // Guards against new hosts that find no manifest months after the last
     // change: retention drops the only record that holds the manifest, and no
     // process appends it again.
     It("appends a copy before retention drops the only one", [] {
       Fixture fixture({.author = "entry-1", .retention = 100s});
       fixture.Answer({{LogOffset(1), Publish("a", 0)}}, 2);
       CPPUNIT_ASSERT(fixture.checkpoints.empty());
       fixture.Answer({}, 2, kStart + 51s);
       CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.checkpoints.size());
       fixture.Answer({{LogOffset(2), fixture.checkpoints[0]}}, 3,
                      kStart + 52s);
       // The copy alone suffices for a host that starts later.
       Fixture late;
       late.Answer({{LogOffset(2), fixture.checkpoints[0]}}, 3, kStart, 2);
       CPPUNIT_ASSERT((std::vector<std::uint64_t>{1}) == late.activated);
     })});

}  // namespace
}  // namespace acacialug::configuration
