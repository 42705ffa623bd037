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

// One entry's coordinator on a log that two entries share.
struct Entry {
  std::vector<std::string>& log;
  bool log_out = false;
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

  // Time passes, by both clocks.
  void Sleep(once::WallMilliseconds time) {
    this->now += time;
    this->wall += time;
  }

  // True when the submission was let run.
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

  // Carries out what the coordinator asks of the log, until it asks nothing.
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
    if (!this->log_out) {
      this->log.push_back(append.payload);
    }
    this->once.OnClaimsAppended(
        {.ticket = append.ticket,
         .outcome = this->log_out ? AppendOutcome::kNotAppended
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
  Verdict Last() {
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
    {// Symptom: one key ran twice, a day apart.
     // Sequence: the key's time lay ahead of the host's clock, within what is
     // let pass, or the host's clock was set back; the claim was forgotten a
     // day after its use, while the key still counted as young.
     // Cause: a key was taken for as long as its claim is remembered, with
     // nothing left over for clocks that differ.
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
           entry.Sleep(row.after);
           log.emplace_back("another's record");
           entry.AdvanceBy({});
           entry.wall += row.at_second - row.at_first;
           CPPUNIT_ASSERT(!entry.Runs(entry.Submission("s2")));
         }),
     ForEach<Duration>(
         "takes keys for so much less than the log keeps claims that clocks "
         "may "
         "differ, when it keeps them for",
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
     It("takes keys again once a clock that ran ahead is right",
        [] {
          std::vector<std::string> log;
          Entry entry(log, 1);
          entry.wall += 48h;
          CPPUNIT_ASSERT(!entry.Runs(entry.Submission("s1")));
          CPPUNIT_ASSERT(ResultCode::kKeyTooOld ==
                         entry.Last<OnceRefuse>().code);
          entry.wall -= 48h;
          CPPUNIT_ASSERT(entry.Runs(entry.Submission("s1")));
        }),
     // Symptom: one ISBN order ran twice. Sequence: the caller's first library
     // writes a UUID in capitals, the one that resubmits does not. Cause: the
     // two texts of one UUID (RFC 9562, section 4) were two keys.
     It("knows a key again when it is written in capitals",
        [] {
          std::vector<std::string> log;
          Entry entry(log, 1);
          CPPUNIT_ASSERT(entry.Runs(entry.Submission("s1")));
          CPPUNIT_ASSERT(!entry.Runs(
              entry.Submission("s2", "018F0000-0000-7ABC-8DEF-0123456789AB")));
          CPPUNIT_ASSERT(EndpointId("s1") == entry.Last<OnceLookUp>().home);
        }),
     // Symptom: of a doubled submission both copies ran.
     // Sequence: the caller's network sent it to two entries at once.
     // Cause: each entry bound the key to a home of its own.
     It("runs a doubled submission at one home, and asks that home on the "
        "other "
        "entry",
        [] {
          std::vector<std::string> log;
          Entry first(log, 1);
          Entry second(log, 2);
          first.once.Submit(first.Submission("s1"), first.now);
          second.once.Submit(second.Submission("s2"), second.now);
          first.AdvanceBy(20ms);
          second.AdvanceBy(20ms);
          CPPUNIT_ASSERT(EndpointId("s1") == first.Last<OnceRun>().home);
          CPPUNIT_ASSERT(EndpointId("s1") == second.Last<OnceLookUp>().home);
          // The home sealed the key: the second entry may now move it, and
          // the first, whose dispatch was refused, then finds it moved.
          second.once.OnRefused(second.Submission("s2"), second.now);
          second.AdvanceBy(20ms);
          CPPUNIT_ASSERT(EndpointId("s2") == second.Last<OnceRun>().home);
          first.once.OnRefused(first.Submission("s3"), first.now);
          first.AdvanceBy(20ms);
          CPPUNIT_ASSERT(EndpointId("s2") == first.Last<OnceLookUp>().home);
        }),
     It("refuses a key as not run while the log is out, and runs a ticket",
        [] {
          std::vector<std::string> log;
          Entry entry(log, 1);
          entry.log_out = true;
          entry.once.Submit(entry.Submission("s1"), entry.now);
          entry.AdvanceBy(20ms);
          CPPUNIT_ASSERT(ResultCode::kLogUnavailable ==
                         entry.Last<OnceRefuse>().code);
          OnceSubmission ticketed = entry.Submission("s1", "");
          ticketed.ticket = once::EncodeTicket(once::IssueTicket(
              {.endpoint = EndpointId("s2"), .agent = Incarnation(9)}, kKeyTime,
              entry.random));
          entry.once.Submit(ticketed, entry.now);
          entry.AdvanceBy({});
          CPPUNIT_ASSERT(EndpointId("s2") == entry.Last<OnceRun>().home);
          CPPUNIT_ASSERT(Incarnation(9) == entry.Last<OnceRun>().once.home);
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
           CPPUNIT_ASSERT(row.second == entry.Last<OnceRefuse>().code);
         })});

}  // namespace
}  // namespace acacialug::entry
