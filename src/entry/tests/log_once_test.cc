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

  Entry(std::vector<std::string>& shared_log, std::uint64_t seed)
      : log(shared_log),
        random(seed),
        once({.wall_clock = [] { return kKeyTime; }}, this->random) {
    this->Pass({});
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
  void Pass(Duration time) {
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

const testing::Story kLogOnce(
    "at most once by the log",
    {// Symptom: of a doubled submission both copies ran.
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
          first.Pass(20ms);
          second.Pass(20ms);
          CPPUNIT_ASSERT(EndpointId("s1") == first.Last<OnceRun>().home);
          CPPUNIT_ASSERT(EndpointId("s1") == second.Last<OnceLookUp>().home);
          // The home sealed the key: the second entry may now move it, and
          // the first, whose dispatch was refused, then finds it moved.
          second.once.OnRefused(second.Submission("s2"), second.now);
          second.Pass(20ms);
          CPPUNIT_ASSERT(EndpointId("s2") == second.Last<OnceRun>().home);
          first.once.OnRefused(first.Submission("s3"), first.now);
          first.Pass(20ms);
          CPPUNIT_ASSERT(EndpointId("s2") == first.Last<OnceLookUp>().home);
        }),
     It("refuses a key as not run while the log is out, and runs a ticket",
        [] {
          std::vector<std::string> log;
          Entry entry(log, 1);
          entry.log_out = true;
          entry.once.Submit(entry.Submission("s1"), entry.now);
          entry.Pass(20ms);
          CPPUNIT_ASSERT(ResultCode::kLogUnavailable ==
                         entry.Last<OnceRefuse>().code);
          OnceSubmission ticketed = entry.Submission("s1", "");
          ticketed.ticket = once::EncodeTicket(once::IssueTicket(
              {.endpoint = EndpointId("s2"), .agent = Incarnation(9)}, kKeyTime,
              entry.random));
          entry.once.Submit(ticketed, entry.now);
          entry.Pass({});
          CPPUNIT_ASSERT(EndpointId("s2") == entry.Last<OnceRun>().home);
          CPPUNIT_ASSERT(Incarnation(9) == entry.Last<OnceRun>().once.home);
        }),
     It("gives no verdict on a submission that was withdrawn",
        [] {
          std::vector<std::string> log;
          Entry entry(log, 1);
          entry.once.Submit(entry.Submission("s1"), entry.now);
          entry.once.Withdraw({.high = 1, .low = 2}, entry.now);
          entry.Pass(20ms);
          entry.Pass(5s);
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
           entry.Pass({});
           CPPUNIT_ASSERT(row.second == entry.Last<OnceRefuse>().code);
         })});

}  // namespace
}  // namespace acacialug::entry
