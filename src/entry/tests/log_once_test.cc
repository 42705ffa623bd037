#include "entry/log_once.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "framework/testing/story.h"

namespace acacialug::entry {
namespace {

using testing::ForEach;
using testing::It;

constexpr char kKey[] = "018f0000-0000-7abc-8def-0123456789ab";
constexpr once::WallMilliseconds kKeyTime{0x018f00000000};
constexpr Instant kStart{1s};

// The coordinator of one entry, on a log that two entries share.
struct Entry {
  std::vector<std::string>& log;
  bool log_unavailable = false;
  RandomSource random;
  LogOnce once;
  std::vector<OnceVerdict> verdicts;
  std::uint64_t read_from = 1;
  Instant now = kStart;
  once::WallMilliseconds wall = kKeyTime;

  Entry(std::vector<std::string>& shared_log, std::uint64_t seed)
      : log(shared_log),
        random(seed),
        once({.wall_clock = [this] { return this->wall; }}, this->random) {
    this->AdvanceBy({});
  }

  // Advances both clocks.
  void AdvanceClocks(once::WallMilliseconds time) {
    this->now += time;
    this->wall += time;
  }

  // Returns whether the submission may run.
  bool Runs(const OnceSubmission& submission) {
    this->once.Submit(submission, this->now);
    this->AdvanceBy(20ms);
    CPPUNIT_ASSERT(!this->verdicts.empty());
    return std::holds_alternative<OnceRun>(this->verdicts.back());
  }

  OnceSubmission Submission(const std::string& home,
                            const std::string& key = kKey) const {
    return {.request = {.high = 1, .low = 2},
            .caller = CallerName("printer"),
            .service = ServiceName("app"),
            .idempotency_key = key,
            .fingerprint = 5,
            .home = EndpointId(home),
            .home_agent = Incarnation(7)};
  }

  // Carries out the log requests of the coordinator until there are none.
  void AdvanceBy(Duration time) {
    this->now += time;
    this->once.OnTimer(this->now);
    for (std::vector<EntryAction> actions = this->once.TakeActions();
         !actions.empty(); actions = this->once.TakeActions()) {
      for (const EntryAction& action : actions) {
        if (const auto* append = std::get_if<AppendClaims>(&action)) {
          this->Append(*append);
        } else {
          this->read_from = std::get<ReadClaims>(action).from.value;
        }
      }
    }
    this->Read();
    for (OnceVerdict& verdict : this->once.TakeVerdicts()) {
      this->verdicts.push_back(std::move(verdict));
    }
  }

  void Append(const AppendClaims& append) {
    if (!this->log_unavailable) {
      this->log.push_back(append.payload);
    }
    this->once.OnClaimsAppended(
        {.ticket = append.ticket,
         .outcome = this->log_unavailable ? AppendOutcome::kNotAppended
                                          : AppendOutcome::kAppended,
         .offset = LogOffset(this->log.size())},
        this->now);
  }

  void Read() {
    ClaimsRead read{.reachable = true,
                    .first_kept = LogOffset(1),
                    .next = LogOffset(this->log.size() + 1)};
    for (std::uint64_t at = this->read_from; at <= this->log.size(); ++at) {
      read.records.push_back({LogOffset(at), this->log[at - 1]});
    }
    this->once.OnClaimsRead(read, this->now);
  }

  template <typename Verdict>
  Verdict LastVerdict() {
    CPPUNIT_ASSERT(!this->verdicts.empty());
    const auto* verdict = std::get_if<Verdict>(&this->verdicts.back());
    CPPUNIT_ASSERT_MESSAGE("another kind of verdict", verdict != nullptr);
    return *verdict;
  }
};

struct LateUse {
  std::string name;
  once::WallMilliseconds at_first;  // the clock's error at the first use
  once::WallMilliseconds after;     // from then to the second use
  once::WallMilliseconds at_second;
};

const testing::Story kLogOnce(
    "at most once by the log",
    {// Guards against a key that runs twice, a day apart: the time of the key
     // is ahead of the clock of the host within the tolerance, or that clock
     // was set back. The claim is forgotten a day after its use while the key
     // still counts as young. The time for which a key is accepted must leave a
     // margin for clocks that differ.
     ForEach<LateUse>(
         "runs no key a second time",
         {{"that was ahead of the clock, a day later", -5min, 24h + 1min,
           -5min},
          {"that was ahead, at a host whose clock is behind", -5min, 24h + 6min,
           -10min},
          {"when the clock was set back by hours", 0min, 24h + 10min, -3h},
          {"within the window", 0min, 23h, 0min}},
         [](const LateUse& row) { return row.name; },
         [](const LateUse& row) {
           std::vector<std::string> log;
           Entry entry(log, 1);
           entry.wall += row.at_first;
           CPPUNIT_ASSERT(entry.Runs(entry.Submission("s1")));
           entry.AdvanceClocks(row.after);
           log.emplace_back("another's record");
           entry.AdvanceBy({});
           entry.wall += row.at_second - row.at_first;
           CPPUNIT_ASSERT(!entry.Runs(entry.Submission("s2")));
         }),
     ForEach<Duration>(
         "accepts keys for less time than the log keeps claims, by a margin "
         "for differing clocks, when it keeps them for",
         {1min, 1h, 24h, 168h},
         [](const Duration& retention) {
           return std::to_string(Seconds(retention)) + " s";
         },
         [](const Duration& retention) {
           const Duration taken = LogOnce::KeyWindow(retention) +
                                  2 * LogOnce::ClockSkew(retention);
           CPPUNIT_ASSERT(LogOnce::KeyWindow(retention) >= retention / 2 ||
                          retention > 24h);
           CPPUNIT_ASSERT(taken <= std::min(retention, Duration(24h)));
         }),
     It("accepts keys again once a clock that was ahead is correct",
        [] {
          std::vector<std::string> log;
          Entry entry(log, 1);
          entry.wall += 48h;
          CPPUNIT_ASSERT(!entry.Runs(entry.Submission("s1")));
          CPPUNIT_ASSERT(ResultCode::kKeyTooOld ==
                         entry.LastVerdict<OnceRefuse>().code);
          entry.wall -= 48h;
          CPPUNIT_ASSERT(entry.Runs(entry.Submission("s1")));
        }),
     // Guards against a call that runs twice: the first library of the caller
     // writes a UUID in capitals, and the library that submits it again does
     // not. Both texts are one UUID (RFC 9562, section 4) and thus one key.
     It("recognizes a key that is written in capitals",
        [] {
          std::vector<std::string> log;
          Entry entry(log, 1);
          CPPUNIT_ASSERT(entry.Runs(entry.Submission("s1")));
          CPPUNIT_ASSERT(!entry.Runs(
              entry.Submission("s2", "018F0000-0000-7ABC-8DEF-0123456789AB")));
          CPPUNIT_ASSERT(EndpointId("s1") ==
                         entry.LastVerdict<OnceLookUp>().home);
        }),
     // Guards against a duplicate submission of which both copies run: the
     // network of the caller sends it to two entries at once, and each entry
     // binds the key to a home of its own.
     It("runs a duplicate submission at one home, and queries that home on the "
        "other entry",
        [] {
          std::vector<std::string> log;
          Entry first(log, 1);
          Entry second(log, 2);
          first.once.Submit(first.Submission("s1"), first.now);
          second.once.Submit(second.Submission("s2"), second.now);
          first.AdvanceBy(20ms);
          second.AdvanceBy(20ms);
          CPPUNIT_ASSERT(EndpointId("s1") == first.LastVerdict<OnceRun>().home);
          CPPUNIT_ASSERT(EndpointId("s1") ==
                         second.LastVerdict<OnceLookUp>().home);
          // The home has sealed the key, so the second entry may now rebind it.
          // The first entry, whose dispatch was refused, then finds the new
          // home.
          second.once.OnRefused(second.Submission("s2"), second.now);
          second.AdvanceBy(20ms);
          CPPUNIT_ASSERT(EndpointId("s2") ==
                         second.LastVerdict<OnceRun>().home);
          first.once.OnRefused(first.Submission("s3"), first.now);
          first.AdvanceBy(20ms);
          CPPUNIT_ASSERT(EndpointId("s2") ==
                         first.LastVerdict<OnceLookUp>().home);
        }),
     It("refuses a key as not run while the log is down, and runs a ticket",
        [] {
          std::vector<std::string> log;
          Entry entry(log, 1);
          entry.log_unavailable = true;
          entry.once.Submit(entry.Submission("s1"), entry.now);
          entry.AdvanceBy(20ms);
          CPPUNIT_ASSERT(ResultCode::kLogUnavailable ==
                         entry.LastVerdict<OnceRefuse>().code);
          OnceSubmission ticketed = entry.Submission("s1", "");
          ticketed.ticket = once::EncodeTicket(once::IssueTicket(
              {.endpoint = EndpointId("s2"), .agent = Incarnation(9)}, kKeyTime,
              entry.random));
          entry.once.Submit(ticketed, entry.now);
          entry.AdvanceBy({});
          CPPUNIT_ASSERT(EndpointId("s2") == entry.LastVerdict<OnceRun>().home);
          CPPUNIT_ASSERT(Incarnation(9) ==
                         entry.LastVerdict<OnceRun>().once.home);
        }),
     It("gives no verdict on a submission that was withdrawn",
        [] {
          std::vector<std::string> log;
          Entry entry(log, 1);
          entry.once.Submit(entry.Submission("s1"), entry.now);
          entry.once.Withdraw({.high = 1, .low = 2}, entry.now);
          entry.AdvanceBy(20ms);
          entry.AdvanceBy(5s);
          CPPUNIT_ASSERT(entry.verdicts.empty());
        }),
     ForEach<std::pair<std::string, ResultCode>>(
         "refuses by number the key",
         {{"order-17", ResultCode::kInvalidHeader},
          {"00000000-0001-7abc-8def-0123456789ab", ResultCode::kKeyTooOld}},
         [](const auto& row) { return row.first; },
         [](const auto& row) {
           std::vector<std::string> log;
           Entry entry(log, 1);
           entry.once.Submit(entry.Submission("s1", row.first), entry.now);
           entry.AdvanceBy({});
           CPPUNIT_ASSERT(row.second == entry.LastVerdict<OnceRefuse>().code);
         })});

}  // namespace
}  // namespace acacialug::entry
