#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "entry/tests/entry_driver.h"
#include "framework/testing/story.h"

namespace acacialug::entry {
namespace {

using protocol::Outcome;
using protocol::Phase;
using testing::ForEach;
using testing::It;

struct Ending {
  const char* name;
  const char* key;  // empty: an idempotent GET
  std::function<void(EntryDriver&, const protocol::StartCall&)> sequence;
  ResultCode code;  // kOk: answered
  Outcome outcome = Outcome::kCompleted;
};

void Answer(EntryDriver& driver, const AttemptId& attempt) {
  driver.Deliver(
      driver.last_endpoint,
      protocol::CallAnswered{.attempt = attempt, .answer = {.status = 200}});
}

// Closes the session, reopens it with the agent of that incarnation, and
// returns the attempt of the LookUp if there is one.
AttemptId LoseAndLookUp(EntryDriver& driver, std::uint64_t incarnation) {
  const std::string home = driver.last_endpoint;
  driver.Close(home);
  driver.AdvanceBy(150ms);
  driver.Open(home, incarnation);
  driver.AdvanceBy(200ms);
  return driver.Count<protocol::LookUp>() == 0
             ? AttemptId()
             : driver.Expect<protocol::LookUp>().attempt;
}

const testing::Story kCalls(
    "a call",
    {ForEach<Ending>(
         "has one outcome when",
         {
             {"it is answered", "",
              [](EntryDriver& driver, const protocol::StartCall& start) {
                Answer(driver, start.attempt);
              },
              ResultCode::kOk},
             {"it is idempotent, and the endpoint is lost", "",
              [](EntryDriver& driver, const protocol::StartCall&) {
                const std::string lost = driver.last_endpoint;
                driver.Close(lost);
                const auto repeated = driver.Expect<protocol::StartCall>();
                CPPUNIT_ASSERT(lost != driver.last_endpoint);
                Answer(driver, repeated.attempt);
              },
              ResultCode::kOk},
             {"it may not be repeated, and the home refuses", "k",
              [](EntryDriver& driver, const protocol::StartCall& start) {
                driver.Refuse(driver.last_endpoint, start.attempt,
                              Phase::kCall);
              },
              ResultCode::kOverloaded, Outcome::kNotRun},
             // Guards against a call that runs twice: the connection breaks
             // while the call runs, and the call is sent to another endpoint. A
             // lost answer does not mean that the call did not run.
             {"it may not be repeated, and its answer is kept at the home", "k",
              [](EntryDriver& driver, const protocol::StartCall&) {
                Answer(driver, LoseAndLookUp(driver, 7));
              },
              ResultCode::kOk},
             {"it may not be repeated, and the agent was replaced", "k",
              [](EntryDriver& driver, const protocol::StartCall&) {
                LoseAndLookUp(driver, 8);
              },
              ResultCode::kOutcomeUnknown, Outcome::kUnknown},
             {"it may not be repeated, and the home never comes back", "k",
              [](EntryDriver& driver, const protocol::StartCall&) {
                driver.Close(driver.last_endpoint);
                driver.AdvanceBy(6s);
              },
              ResultCode::kOutcomeUnknown, Outcome::kUnknown},
             {"it may not be repeated, and fails with an unknown outcome", "k",
              [](EntryDriver& driver, const protocol::StartCall& start) {
                driver.Fail(driver.last_endpoint, start.attempt, Phase::kCall,
                            ResultCode::kEngineFailed);
              },
              ResultCode::kOutcomeUnknown, Outcome::kUnknown},
             {"its key is in use", "k",
              [](EntryDriver& driver, const protocol::StartCall& start) {
                driver.Fail(driver.last_endpoint, start.attempt, Phase::kCall,
                            ResultCode::kStillRunning);
              },
              ResultCode::kStillRunning, Outcome::kUnknown},
             {"its key was used for another request", "k",
              [](EntryDriver& driver, const protocol::StartCall& start) {
                driver.Fail(driver.last_endpoint, start.attempt, Phase::kCall,
                            ResultCode::kKeyReused, Outcome::kNotRun);
              },
              ResultCode::kKeyReused, Outcome::kNotRun},
         },
         [](const Ending& ending) { return std::string(ending.name); },
         [](const Ending& ending) {
           ReadyDriver driver;
           const std::string key = ending.key;
           driver.Call(key.empty() ? "GET" : "POST", key);
           const auto start = driver.Expect<protocol::StartCall>();
           ending.sequence(driver, start);
           const bool answered = ending.code == ResultCode::kOk;
           CPPUNIT_ASSERT_EQUAL(std::size_t{answered ? 1U : 0U},
                                driver.Calls().size());
           CPPUNIT_ASSERT_EQUAL(std::size_t{answered ? 0U : 1U},
                                driver.Errors().size());
           if (!answered) {
             CPPUNIT_ASSERT_EQUAL(ResultCodeName(ending.code),
                                  ResultCodeName(driver.Errors()[0].code));
             CPPUNIT_ASSERT(driver.Errors()[0].outcome == ending.outcome);
           }
           CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                                driver.Count<protocol::StartCall>());
           CPPUNIT_ASSERT_EQUAL(std::size_t{0}, driver.core->alive_requests());
         }),
     // Guards against two effects of one submission: the caller sends its key
     // to two entries at once, and each picks an endpoint by load, although the
     // ledgers of two agents share no state.
     It("that may not be repeated has the same home on every entry",
        [] {
          for (const char* key : {"a", "b", "c", "d"}) {
            std::string homes[2];
            for (const int others : {0, 1}) {  // so that the load differs
              ReadyDriver driver;
              for (int count = 0; count < others; ++count) {
                driver.Call("GET");
                driver.Expect<protocol::StartCall>();
              }
              driver.Call("POST", key);
              driver.Expect<protocol::StartCall>(&homes[others]);
            }
            CPPUNIT_ASSERT_EQUAL(homes[0], homes[1]);
          }
        }),
     It("that may not be repeated is bound to one incarnation of an agent",
        [] {
          ReadyDriver driver;
          driver.Call("POST", "k");
          const auto start = driver.Expect<protocol::StartCall>();
          CPPUNIT_ASSERT(start.once.kind == protocol::OnceKind::kTicket);
          CPPUNIT_ASSERT(start.once.home == Incarnation(7));
        }),
     It("is idempotent by the manifest's rules, then by its method", [] {
       struct Row {
         const char* method;
         const char* target;
         bool idempotent;
       };
       const manifest::Manifest manifest = EntryDriver::DefaultManifest();
       for (const Row& row :
            {Row{"GET", "/x", true}, Row{"PUT", "/x", true},
             Row{"POST", "/x", false}, Row{"POST", "/search/1", true},
             Row{"PATCH", "/x", false}}) {
         ReadyDriver driver;
         driver.core->OnCall(
             {.request = {.high = 9},
              .service = ServiceName("app"),
              .call = {.method = row.method, .target = row.target}},
             driver.now);
         CPPUNIT_ASSERT_EQUAL(row.idempotent, driver.Errors().empty());
         CPPUNIT_ASSERT(row.idempotent ||
                        driver.Errors()[0].code == ResultCode::kKeyRequired);
       }
     })});

// A coordinator whose verdicts come from the test.
class ScriptedOnce : public IOnceCoordinator {
 public:
  void Submit(const OnceSubmission& submission, Instant) override {
    this->submissions.push_back(submission);
  }
  void OnRefused(const OnceSubmission& submission, Instant) override {
    this->submissions.push_back(submission);
  }
  void Withdraw(const RequestId&, Instant) override { ++this->withdrawn; }
  void OnClaimsAppended(const ClaimsAppended&, Instant) override {}
  void OnClaimsRead(const ClaimsRead&, Instant) override {}
  void OnTimer(Instant) override {}
  Instant NextTimer() const override { return kNever; }
  std::vector<OnceVerdict> TakeVerdicts() override {
    return std::exchange(this->verdicts, {});
  }
  std::vector<EntryAction> TakeActions() override { return {}; }

  std::vector<OnceSubmission> submissions;
  std::vector<OnceVerdict> verdicts;
  int withdrawn = 0;
};

// This is the first base, since the construction of the core in the driver sets
// it.
struct OnceSlot {
  ScriptedOnce* once = nullptr;
};

struct ClaimedDriver : OnceSlot, ReadyDriver {
  explicit ClaimedDriver(bool claim_first = true)
      : ReadyDriver(Options(claim_first, &this->once)) {
    this->request = this->Call("POST", "k");
  }
  static EntryOptions Options(bool claim_first, ScriptedOnce** once) {
    EntryOptions options;
    options.rules.claim_before_dispatch = claim_first;
    options.make_once = [once](const EntryOptions&) {
      auto made = std::make_unique<ScriptedOnce>();
      *once = made.get();
      return made;
    };
    return options;
  }
  void Decide(OnceVerdict verdict) {
    this->once->verdicts.push_back(std::move(verdict));
    this->core->OnTimer(this->now);
  }
  OnceRun Run() {
    const OnceSubmission& last = this->once->submissions.back();
    return {
        .request = last.request,
        .once = {.kind = protocol::OnceKind::kClaim, .home = last.home_agent},
        .home = last.home};
  }

  RequestId request;
};

struct TicketUse {
  const char* name;
  const char* home;
  std::uint64_t agent;
  std::function<void(EntryDriver&)> sequence;
  ResultCode code;      // kOk: answered
  bool closed = false;  // closes the session with s1
};

const testing::Story kCoordinated(
    "a call that may not be repeated",
    {It("is dispatched only after its claim, and before it without the rule",
        [] {
          for (const bool claim_first : {true, false}) {
            ClaimedDriver driver(claim_first);
            CPPUNIT_ASSERT_EQUAL(std::size_t{claim_first ? 0U : 1U},
                                 driver.Count<protocol::StartCall>());
          }
        }),
     It("goes to the claimed home, and is claimed again when that refuses",
        [] {
          ClaimedDriver driver;
          driver.Decide(driver.Run());
          const auto first = driver.Expect<protocol::StartCall>();
          const std::string home = driver.last_endpoint;
          driver.Refuse(home, first.attempt, Phase::kCall);
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, driver.once->submissions.size());
          driver.Decide(driver.Run());
          Answer(driver, driver.Expect<protocol::StartCall>().attempt);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver.Calls().size());
          CPPUNIT_ASSERT_EQUAL(1, driver.once->withdrawn);
        }),
     // Guards against a claim that runs at an agent which does not know it: the
     // agent at the home is replaced while the claim is appended, so the
     // dispatch must check the incarnation besides the endpoint.
     It("is not sent to a home whose agent was replaced after the claim",
        [] {
          ClaimedDriver driver;
          const OnceRun run = driver.Run();
          driver.Close(run.home.text);
          driver.AdvanceBy(150ms);
          driver.Open(run.home.text, 8);
          driver.Decide(run);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               driver.Count<protocol::StartCall>());
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, driver.once->submissions.size());
        }),
     // Guards against a billed call for a caller that has given up: the entry
     // is paused past the deadline of the caller, resumes, and reads the answer
     // of the log to the claim before its timers run. The deadline must be
     // checked outside the timers, too.
     It("is not sent when its deadline passed while the process was paused",
        [] {
          ClaimedDriver driver;
          driver.core->OnCallerGone(driver.request, driver.now);
          driver.core->OnCall({.request = {.high = 99},
                               .service = ServiceName("app"),
                               .call = {.method = "POST", .target = "/x"},
                               .idempotency_key = "k",
                               .deadline = 500ms},
                              driver.now);
          const OnceRun run = driver.Run();
          driver.Stall(1500ms);
          driver.once->verdicts.emplace_back(run);
          driver.core->OnClaimsRead({}, driver.now);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               driver.Count<protocol::StartCall>());
          CPPUNIT_ASSERT(driver.Errors().at(0).outcome == Outcome::kNotRun);
        }),
     It("queries the home of an earlier submission for its answer",
        [] {
          ClaimedDriver driver;
          driver.Decide(OnceLookUp{.request = driver.request,
                                   .once = {.home = Incarnation(7)},
                                   .home = EndpointId("s1")});
          const auto first = driver.Expect<protocol::LookUp>();
          driver.Fail("s1", first.attempt, Phase::kCall,
                      ResultCode::kStillRunning);
          driver.AdvanceBy(200ms);
          Answer(driver, driver.Expect<protocol::LookUp>().attempt);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver.Calls().size());
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               driver.Count<protocol::StartCall>());
        }),
     ForEach<TicketUse>(
         "goes to the home of its ticket",
         {{"which answers, though the whole pool is leaving", "s1", 7,
           [](EntryDriver&) {}, ResultCode::kOk},
          // Guards against the rejection of a valid ticket: the session with
          // its home breaks for a short time, and a home without a session is
          // not a home that is gone.
          {"which is waited for while its session is opened again", "s1", 7,
           [](EntryDriver& driver) {
             driver.AdvanceBy(150ms);
             driver.Open("s1");
             driver.AdvanceBy(100ms);
           },
           ResultCode::kOk, true},
          {"and has an unknown outcome when that does not come back", "s1", 7,
           [](EntryDriver& driver) { driver.AdvanceBy(6s); },
           ResultCode::kTicketInvalid, true},
          {"and has an unknown outcome when its agent was replaced", "s1", 6,
           [](EntryDriver&) {}, ResultCode::kTicketInvalid},
          {"and has an unknown outcome when no manifest has it", "gone", 7,
           [](EntryDriver&) {}, ResultCode::kTicketInvalid}},
         [](const TicketUse& use) { return std::string(use.name); },
         [](const TicketUse& use) {
           ClaimedDriver driver;
           driver.Deliver("s1", protocol::Leaving{});
           driver.Deliver("s2", protocol::Leaving{});
           driver.request = driver.Call("POST", {}, "t");
           CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                                driver.once->submissions.size());
           if (use.closed) {
             driver.Close("s1");
           }
           driver.Decide(OnceRun{.request = driver.request,
                                 .once = {.home = Incarnation(use.agent)},
                                 .home = EndpointId(use.home)});
           use.sequence(driver);
           if (use.code == ResultCode::kOk) {
             Answer(driver, driver.Expect<protocol::StartCall>().attempt);
             CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver.Calls().size());
             return;
           }
           CPPUNIT_ASSERT(driver.Errors().at(0).code == use.code);
           CPPUNIT_ASSERT(driver.Errors()[0].outcome == Outcome::kUnknown);
         }),
     It("is refused with the code of the coordinator", [] {
       ClaimedDriver driver;
       driver.Decide(OnceRefuse{.request = driver.request});
       CPPUNIT_ASSERT(driver.Errors().at(0).code ==
                      ResultCode::kLogUnavailable);
       CPPUNIT_ASSERT(driver.Errors()[0].outcome == Outcome::kNotRun);
     })});

}  // namespace
}  // namespace acacialug::entry
