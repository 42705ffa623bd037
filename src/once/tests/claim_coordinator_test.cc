#include "once/claim_coordinator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <utility>

#include "framework/testing/story.h"

namespace acacialug::once {
namespace {

using testing::ForEach;
using testing::It;
using testing::Section;

constexpr Instant kStart{1s};
const WorkKey kKey{.high = 1, .low = 2};

Claim ClaimOf(const WorkKey& key,
              const std::string& endpoint,
              std::uint64_t fingerprint = 5,
              ClaimPosition replaces = {}) {
  return {.key = key,
          .fingerprint = fingerprint,
          .home = {.endpoint = EndpointId(endpoint), .agent = Incarnation(1)},
          .replaces = replaces};
}

// The platform's log as a list in memory.
struct Log {
  std::vector<std::string> records;
  std::uint64_t first_kept = 1;

  LogOffset Append(const std::string& payload) {
    this->records.push_back(payload);
    return LogOffset(this->records.size());
  }

  cluster::ILog::Read ReadFrom(std::uint64_t from) const {
    cluster::ILog::Read read{.first_kept = LogOffset(this->first_kept),
                             .next = LogOffset(this->records.size() + 1)};
    from = std::max(from, this->first_kept);
    for (std::uint64_t offset = from; offset <= this->records.size();
         ++offset) {
      read.records.push_back({LogOffset(offset), this->records[offset - 1]});
    }
    return read;
  }
};

// The coordinator of one entry on a shared log. An append waits until the test
// lets it take effect; Poll answers the open read.
struct Entry {
  Log& log;
  RandomSource random;
  ClaimCoordinator coordinator;
  std::vector<AppendBatch> appends;
  std::map<std::uint64_t, ClaimSettled> settled;
  std::uint64_t read_from = 0;
  Instant now = kStart;

  Entry(Log& shared_log, std::uint64_t seed)
      : log(shared_log), random(seed), coordinator({}, this->random) {
    this->coordinator.Start(this->now);
    this->Collect();
    this->Poll();
  }

  void Collect() {
    for (CoordinatorAction& action : this->coordinator.TakeActions()) {
      if (auto* append = std::get_if<AppendBatch>(&action)) {
        this->appends.push_back(*append);
      } else if (auto* read = std::get_if<ReadClaims>(&action)) {
        this->read_from = read->from.value;
      } else {
        const auto& done = std::get<ClaimSettled>(action);
        CPPUNIT_ASSERT(this->settled.emplace(done.token.value, done).second);
      }
    }
  }

  void Poll() {
    this->coordinator.OnRead(this->log.ReadFrom(this->read_from), this->now);
    this->Collect();
  }

  void Request(std::uint64_t token, Claim claim) {
    this->coordinator.Request(ClaimToken(token), std::move(claim), this->now);
    this->Collect();
  }

  void Wait(Duration time) {
    this->now += time;
    this->coordinator.OnTimer(this->now);
    this->Collect();
  }

  AppendBatch TakeAppend() {
    CPPUNIT_ASSERT(!this->appends.empty());
    AppendBatch append = this->appends.front();
    this->appends.erase(this->appends.begin());
    return append;
  }

  void Answer(const AppendBatch& append, const Result<LogOffset>& result) {
    this->coordinator.OnAppended(append.batch, result, this->now);
    this->Collect();
  }

  // Lets the oldest append take effect and answers it.
  void Append() {
    const AppendBatch append = this->TakeAppend();
    this->Answer(append, this->log.Append(append.payload));
  }

  ClaimVerdict VerdictOf(std::uint64_t token) const {
    const auto found = this->settled.find(token);
    CPPUNIT_ASSERT_MESSAGE("not settled", found != this->settled.end());
    return found->second.verdict;
  }
};

const testing::Story kCoordinator(
    "claims on the log",
    {It("that come close together share one append",
        [] {
          Log log;
          Entry entry(log, 1);
          for (std::uint64_t i = 0; i < 100; ++i) {
            entry.Request(i, ClaimOf({.high = i, .low = 0}, "e1"));
          }
          entry.Wait(20ms);
          entry.Append();
          entry.Poll();
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, entry.coordinator.appends());
          for (std::uint64_t i = 0; i < 100; ++i) {
            CPPUNIT_ASSERT(ClaimVerdict::kWon == entry.VerdictOf(i));
          }
        }),
     // Guards against running one ISBN order twice. The caller sent it to two
     // entries at once; both claimed it and saw their appends answered. An
     // answered append was mistaken for a won claim.
     It("of one key on two entries have one winner, whatever the answers' "
        "order",
        [] {
          Log log;
          Entry first(log, 1);
          Entry second(log, 2);
          first.Request(1, ClaimOf(kKey, "e1"));
          second.Request(1, ClaimOf(kKey, "e2"));
          first.Wait(20ms);
          second.Wait(20ms);
          second.Append();
          first.Append();
          first.Poll();
          second.Poll();
          CPPUNIT_ASSERT(ClaimVerdict::kHeld == first.VerdictOf(1));
          CPPUNIT_ASSERT(ClaimVerdict::kWon == second.VerdictOf(1));
          CPPUNIT_ASSERT(EndpointId("e2") == first.settled.at(1).home.endpoint);
        }),
     It("of one key for another request are distinguished",
        [] {
          Log log;
          Entry entry(log, 1);
          entry.Request(1, ClaimOf(kKey, "e1", 5));
          entry.Request(2, ClaimOf(kKey, "e1", 6));
          entry.Wait(20ms);
          entry.Append();
          entry.Poll();
          CPPUNIT_ASSERT(ClaimVerdict::kWon == entry.VerdictOf(1));
          CPPUNIT_ASSERT(ClaimVerdict::kReused == entry.VerdictOf(2));
        }),
     Section(
         "whose append answer is lost",
         {// Guards against running a billed summary twice after a log outage.
          // The append took effect, but its answer was lost; the entry
          // answered "not run", and the caller sent the order again.
          // A lost answer was mistaken for a failed append.
          It("are won when the log shows them",
             [] {
               Log log;
               Entry entry(log, 1);
               entry.Request(1, ClaimOf(kKey, "e1"));
               entry.Wait(20ms);
               const AppendBatch append = entry.TakeAppend();
               log.Append(append.payload);
               entry.Answer(append, Error(ResultCode::kAppendUnresolved));
               entry.Append();  // the void
               entry.Poll();
               CPPUNIT_ASSERT(ClaimVerdict::kWon == entry.VerdictOf(1));
             }),
          It("have no effect when they come after their void",
             [] {
               Log log;
               Entry entry(log, 1);
               Entry other(log, 2);
               entry.Request(1, ClaimOf(kKey, "e1"));
               entry.Wait(20ms);
               const AppendBatch late = entry.TakeAppend();
               entry.Answer(late, Error(ResultCode::kAppendUnresolved));
               entry.Append();  // the void
               entry.Poll();
               CPPUNIT_ASSERT(ClaimVerdict::kUnavailable == entry.VerdictOf(1));
               log.Append(late.payload);
               other.Poll();
               CPPUNIT_ASSERT(other.coordinator.table().Find(kKey) == nullptr);
             }),
          It("are settled even if the answer to the void is lost as well",
             [] {
               Log log;
               Entry entry(log, 1);
               entry.Request(1, ClaimOf(kKey, "e1"));
               entry.Wait(20ms);
               entry.Answer(entry.TakeAppend(),
                            Error(ResultCode::kAppendUnresolved));
               entry.Answer(entry.TakeAppend(),
                            Error(ResultCode::kAppendUnresolved));
               entry.Append();
               entry.Poll();
               CPPUNIT_ASSERT(ClaimVerdict::kUnavailable == entry.VerdictOf(1));
             }),
          // Guards against an entry that uses a whole core in a log outage,
          // while the log's admission is flooded with appends. An append's
          // answer is lost, then the log refuses each append at once. A failed
          // void was appended again at once for the whole outage, though no
          // request waited for it any more.
          ForEach<ResultCode>(
              "are voided at a pace, and only while somebody waits, when "
              "each append is answered by",
              {ResultCode::kPlatformUnavailable, ResultCode::kAppendUnresolved},
              [](ResultCode code) { return std::string(ResultCodeName(code)); },
              [](ResultCode code) {
                constexpr std::uint64_t kMostAppends = 20;
                Log log;
                Entry entry(log, 1);
                entry.Request(1, ClaimOf(kKey, "e1"));
                entry.Wait(20ms);
                entry.Answer(entry.TakeAppend(),
                             Error(ResultCode::kAppendUnresolved));
                for (int turn = 0; turn < 10000; ++turn) {
                  for (const AppendBatch& append :
                       std::exchange(entry.appends, {})) {
                    entry.Answer(append, Error(code));
                  }
                  entry.Wait(1ms);
                }
                CPPUNIT_ASSERT(ClaimVerdict::kUnavailable ==
                               entry.VerdictOf(1));
                CPPUNIT_ASSERT(entry.coordinator.appends() <= kMostAppends);
                CPPUNIT_ASSERT(entry.appends.empty());
              })}),
     It("are refused at once while the log refuses, and before its end was "
        "read",
        [] {
          Log log;
          Entry entry(log, 1);
          entry.Request(1, ClaimOf(kKey, "e1"));
          entry.Wait(20ms);
          entry.Answer(entry.TakeAppend(),
                       Error(ResultCode::kPlatformUnavailable));
          CPPUNIT_ASSERT(ClaimVerdict::kUnavailable == entry.VerdictOf(1));
          RandomSource random(1);
          ClaimCoordinator fresh({}, random);
          fresh.Request(ClaimToken(1), ClaimOf(kKey, "e1"), kStart);
          const std::vector<CoordinatorAction> actions = fresh.TakeActions();
          CPPUNIT_ASSERT(ClaimVerdict::kUnavailable ==
                         std::get<ClaimSettled>(actions.at(0)).verdict);
        }),
     It("that stay unsettled are refused when their time ends",
        [] {
          Log log;
          Entry entry(log, 1);
          entry.Request(1, ClaimOf(kKey, "e1"));
          entry.Wait(20ms);
          entry.Wait(2s);
          CPPUNIT_ASSERT(ClaimVerdict::kUnavailable == entry.VerdictOf(1));
          entry.Append();  // took effect late: the claim is valid
          entry.Poll();
          CPPUNIT_ASSERT(entry.coordinator.table().Find(kKey) != nullptr);
        }),
     It("move to another home only from the present holder's position",
        [] {
          Log log;
          Entry entry(log, 1);
          entry.Request(1, ClaimOf(kKey, "e1"));
          entry.Wait(20ms);
          entry.Append();
          entry.Poll();
          const ClaimPosition held = entry.settled.at(1).position;
          Entry other(log, 2);
          entry.Request(2, ClaimOf(kKey, "e2", 5, held));
          other.Request(2, ClaimOf(kKey, "e3", 5, held));
          entry.Wait(20ms);
          other.Wait(20ms);
          other.Append();
          entry.Append();
          entry.Poll();
          other.Poll();
          CPPUNIT_ASSERT(ClaimVerdict::kHeld == entry.VerdictOf(2));
          CPPUNIT_ASSERT(ClaimVerdict::kWon == other.VerdictOf(2));
          CPPUNIT_ASSERT(EndpointId("e3") == entry.settled.at(2).home.endpoint);
        }),
     // Guards against running a key twice on a day on which the log dropped
     // records early. An entry was paused, and the claim was in the records
     // that it missed. It continued to claim after the gap.
     It("are refused by a process that has missed records", [] {
       Log log;
       Entry entry(log, 1);
       log.Append("x");
       entry.Poll();
       log.records.resize(9, "x");
       log.first_kept = 5;
       entry.Poll();
       entry.Request(1, ClaimOf(kKey, "e1"));
       CPPUNIT_ASSERT(ClaimVerdict::kUnavailable == entry.VerdictOf(1));
     })});

}  // namespace
}  // namespace acacialug::once
