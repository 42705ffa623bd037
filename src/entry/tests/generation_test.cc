#include <cppunit/extensions/HelperMacros.h>

#include <functional>

#include "entry/tests/entry_driver.h"
#include "framework/testing/story.h"

namespace acacialug::entry {
namespace {

using protocol::Outcome;
using protocol::Phase;
using testing::ForEach;
using testing::It;

const testing::Story kUsualPath(
    "a generation",
    {It("reserves, prefills, decodes and is answered once",
        [] {
          ReadyDriver driver;
          driver.Generate();
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               driver.Count<protocol::StartPrefill>());
          std::string decode;
          const AttemptId attempt = driver.Stream(&decode, "one ");
          driver.Expect<protocol::Cancel>();  // of the export
          driver.Chunk(decode, attempt, 1, "two");
          driver.End(decode, attempt, 2);
          CPPUNIT_ASSERT_EQUAL(std::string("one two"), driver.Text());
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver.Ends());
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, driver.core->alive_requests());
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               driver.Count<protocol::Cancel>());
        }),
     It("releases all it holds when its caller is gone",
        [] {
          ReadyDriver driver;
          const RequestId request = driver.Generate();
          driver.Reserve();
          driver.core->OnCallerGone(request, driver.now);
          CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                               driver.Count<protocol::Cancel>());
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, driver.Errors().size());
        }),
     It("prefills first when nothing is reserved beforehand",
        [] {
          ReadyDriver driver({.reservation = agent::ReservationPolicy::kNone});
          driver.Generate();
          driver.Prefill();
          driver.Reserve();
          driver.Decode();
        }),
     It("delays its prefill for a slot that is promised for a later time",
        [] {
          ReadyDriver driver;
          driver.Generate();
          driver.Reserve(nullptr, 500ms);
          driver.AdvanceBy(400ms);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               driver.Count<protocol::StartPrefill>());
          driver.AdvanceBy(100ms);
          driver.Prefill();
        }),
     // Guards against hundreds of reservations and refusals per request under
     // overload: a full pool is queried every few milliseconds if the retry
     // time in a refusal is ignored.
     It("does not query a full pool again before a slot is expected",
        [] {
          ReadyDriver driver;
          driver.Generate();
          for (int count = 0; count < 2; ++count) {
            const auto reserve = driver.Expect<protocol::Reserve>();
            driver.Deliver(
                driver.last_endpoint,
                protocol::Refused{.attempt = reserve.attempt,
                                  .code = ResultCode::kNoDecodeMemory,
                                  .retry_after = 300ms});
          }
          driver.AdvanceBy(290ms);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               driver.Count<protocol::Reserve>());
          driver.AdvanceBy(100ms);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                               driver.Count<protocol::Reserve>());
        }),
     It("acknowledges a quarter of the window at a time", [] {
       ReadyDriver driver({.window_chunks = 8});
       const RequestId request = driver.Generate();
       std::string decode;
       const AttemptId attempt = driver.Stream(&decode, "0");
       for (std::uint64_t index = 0; index < 5; ++index) {
         driver.Chunk(decode, attempt, index + 1, "x");
         driver.core->OnDelivered(request, index, driver.now);
       }
       CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                            driver.Count<protocol::Acknowledge>());
       CPPUNIT_ASSERT(driver.Expect<protocol::Acknowledge>().through ==
                      SequenceNumber(1));
     })});

// A fault, together with the messages that must follow from it.
struct Fault {
  const char* name;
  std::function<void(EntryDriver&)> sequence;
};

const testing::Story kStartFaults(
    "a generation that is being started",
    {ForEach<Fault>(
        "keeps its remaining progress when",
        {
            // Guards against requests that fail because of a full decode
            // endpoint: the reservation is refused because the load hint was
            // stale.
            {"a reservation is refused",
             [](EntryDriver& driver) {
               std::string first;
               std::string second;
               const auto reserve = driver.Expect<protocol::Reserve>(&first);
               driver.Refuse(first, reserve.attempt, Phase::kReserve);
               driver.Reserve(&second);
               CPPUNIT_ASSERT(first != second);
               driver.Prefill();
             }},
            // Guards against a request that hangs on an unresponsive agent: the
            // host is stalled, and the answer to the Reserve comes much later.
            {"an agent does not answer a reservation",
             [](EntryDriver& driver) {
               std::string first;
               const auto reserve = driver.Expect<protocol::Reserve>(&first);
               driver.AdvanceBy(300ms);
               CPPUNIT_ASSERT(driver.Expect<protocol::Cancel>().attempt ==
                              reserve.attempt);
               driver.Deliver(first,
                              protocol::Reserved{.attempt = reserve.attempt});
               driver.Expect<protocol::Cancel>();
               CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                                    driver.Count<protocol::StartPrefill>());
               driver.Reserve();
               driver.Prefill();
             }},
            {"a prefill is refused",
             [](EntryDriver& driver) {
               driver.Reserve();
               std::string first;
               std::string second;
               const auto start = driver.Expect<protocol::StartPrefill>(&first);
               driver.Refuse(first, start.attempt, Phase::kPrefill);
               driver.Prefill(&second);
               CPPUNIT_ASSERT(first != second);
             }},
            {"its prefill endpoint is lost",
             [](EntryDriver& driver) {
               driver.Reserve();
               std::string first;
               driver.Expect<protocol::StartPrefill>(&first);
               driver.Close(first);
               driver.Prefill();
             }},
            // Guards against a prefill that is done twice: the decode endpoint
            // dies while the prefill runs, and the loss of the reservation must
            // not cancel the prefill.
            {"its reservation is lost during the prefill",
             [](EntryDriver& driver) {
               std::string first;
               driver.Reserve(&first);
               driver.Close(first);
               driver.Reserve();
               driver.Prefill();
             }},
            // Guards against idle links that refuse as busy: the reservation is
            // made again while the prefill runs, and its transfer must not be
            // announced for the present time.
            {"its reservation is made again for the end of the prefill",
             [](EntryDriver& driver) {
               std::string first;
               driver.Reserve(&first);
               const auto start = driver.Expect<protocol::StartPrefill>();
               const std::string prefill = driver.last_endpoint;
               driver.Close(first);
               const auto reserve = driver.Expect<protocol::Reserve>();
               CPPUNIT_ASSERT(reserve.prefill_ready_in > Duration::zero());
               driver.Deliver(driver.last_endpoint,
                              protocol::Reserved{.attempt = reserve.attempt});
               driver.Deliver(prefill,
                              protocol::Prefilled{.attempt = start.attempt,
                                                  .lifetime = 800ms});
             }},
            // Guards against a finished prefill that is evicted although a link
            // becomes free: the link refuses until long after the end of the
            // export, and is not queried before then. That retry time counts
            // windows before which a ready transfer may be granted.
            {"its export would be gone by the retry time of a busy link",
             [](EntryDriver& driver) {
               std::string first;
               driver.Reserve(&first);
               driver.Prefill();
               driver.Decode();
               driver.Close(first);
               const auto reserve = driver.Expect<protocol::Reserve>();
               driver.Deliver(driver.last_endpoint,
                              protocol::Refused{.attempt = reserve.attempt,
                                                .phase = Phase::kReserve,
                                                .code = ResultCode::kLinkBusy,
                                                .retry_after = 2s});
               driver.AdvanceBy(60ms);
               driver.Reserve();
             }},
            {"its reservation is lost after the prefill",
             [](EntryDriver& driver) {
               std::string first;
               driver.Reserve(&first);
               driver.Prefill();
               driver.Decode();
               driver.Close(first);
               driver.Reserve();
             }},
            {"a decode fails before its first chunk",
             [](EntryDriver& driver) {
               driver.Reserve();
               driver.Prefill();
               std::string decode;
               const AttemptId attempt = driver.Decode(&decode);
               driver.Fail(decode, attempt, Phase::kDecode,
                           ResultCode::kEngineFailed);
               driver.Reserve();
             }},
            {"the start of a decode is refused",
             [](EntryDriver& driver) {
               driver.Reserve();
               driver.Prefill();
               std::string decode;
               const AttemptId attempt = driver.Decode(&decode);
               driver.Refuse(decode, attempt, Phase::kDecode);
               driver.Reserve();
             }},
            // Guards against a decode that waits for a KV cache that is gone:
            // the export, which lives for less than a second, is evicted before
            // it is fetched.
            {"the export is gone before the import",
             [](EntryDriver& driver) {
               driver.Reserve();
               driver.Prefill();
               std::string decode;
               const AttemptId attempt = driver.Decode(&decode);
               driver.Fail(decode, attempt, Phase::kDecode,
                           ResultCode::kExportExpired);
               driver.Reserve();
               driver.Prefill();
             }},
            {"the export expires while a reservation is sought",
             [](EntryDriver& driver) {
               std::string first;
               driver.Reserve(&first);
               driver.Prefill(nullptr, 100ms);
               driver.Decode();
               driver.Close(first);
               driver.Expect<protocol::Reserve>();
               driver.AdvanceBy(110ms);  // no answer; the export is gone
               driver.AdvanceBy(300ms);
               driver.Reserve();
               driver.Prefill();
             }},
        },
        [](const Fault& fault) { return std::string(fault.name); },
        [](const Fault& fault) {
          ReadyDriver driver;
          driver.Generate();
          fault.sequence(driver);
          std::string decode;
          const AttemptId attempt = driver.Decode(&decode);
          driver.Chunk(decode, attempt, 0, "answer");
          driver.End(decode, attempt, 1);
          CPPUNIT_ASSERT_EQUAL(std::string("answer"), driver.Text());
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver.Ends());
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               driver.Count<protocol::StartPrefill>());
        })});

const testing::Story kStreamFaults(
    "a generation that is being answered",
    {ForEach<Fault>(
        "goes on after the delivered text, without a token lost, doubled or "
        "reordered, when",
        {
            {"its decode endpoint is lost",
             [](EntryDriver& driver) { driver.Close(driver.last_endpoint); }},
            {"its engine fails",
             [](EntryDriver& driver) {
               driver.Fail(driver.last_endpoint, driver.last_attempt,
                           Phase::kDecode, ResultCode::kEngineFailed);
             }},
            {"its engine stalls",
             [](EntryDriver& driver) {
               driver.AdvanceBy(5s);
               driver.Expect<protocol::Cancel>();
             }},
            // Guards against an answer that lacks a part in its middle: a chunk
            // is lost, and later chunks and the end arrive. The number of
            // chunks must be checked at the end.
            {"a chunk is lost before the end",
             [](EntryDriver& driver) {
               driver.Chunk(driver.last_endpoint, driver.last_attempt, 2, "c");
               driver.End(driver.last_endpoint, driver.last_attempt, 3);
               CPPUNIT_ASSERT_EQUAL(std::size_t{0}, driver.Ends());
               driver.AdvanceBy(5s);
             }},
            {"late frames of the lost attempt arrive",
             [](EntryDriver& driver) {
               const std::string lost = driver.last_endpoint;
               driver.Close(lost);
               driver.Chunk(lost, driver.last_attempt, 1, "late");
               driver.End(lost, driver.last_attempt, 2);
             }},
        },
        [](const Fault& fault) { return std::string(fault.name); },
        [](const Fault& fault) {
          ReadyDriver driver;
          const RequestId request = driver.Generate();
          std::string decode;
          driver.last_attempt = driver.Stream(&decode, "one ");
          driver.core->OnDelivered(request, 0, driver.now);
          driver.Expect<protocol::Cancel>();  // of the export
          driver.last_endpoint = decode;
          fault.sequence(driver);
          driver.Reserve();
          const auto start = driver.Expect<protocol::StartPrefill>();
          CPPUNIT_ASSERT_EQUAL(std::string("one "),
                               start.generation.resumed_text);
          CPPUNIT_ASSERT_EQUAL(7U, start.generation.max_tokens);
          driver.Deliver(
              driver.last_endpoint,
              protocol::Prefilled{.attempt = start.attempt, .lifetime = 800ms});
          const AttemptId attempt = driver.Decode(&decode);
          driver.Chunk(decode, attempt, 1, "three");  // out of order
          driver.Chunk(decode, attempt, 0, "two ");
          driver.Chunk(decode, attempt, 0, "two ");  // a duplicate
          driver.End(decode, attempt, 2);
          CPPUNIT_ASSERT_EQUAL(std::string("one two three"), driver.Text());
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver.Ends());
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, driver.Errors().size());
        })});

const testing::Story kComputedAgain(
    "a prompt that is computed again",
    {// Guards against whole prompts that are computed again, one for each
     // stream of a dead decode endpoint, although prefill engines still cache
     // them: the stream is lost, and another endpoint gets the prompt because
     // the prefill endpoint of the first run is among the tried endpoints. A
     // tried endpoint has not necessarily failed.
     ForEach<const char*>(
         "goes to the endpoint that caches it from its first run, other than",
         {"p1", "p2"},
         [](const char* name) { return std::string(name); },
         [](const char* busy) {
           ReadyDriver driver;
           driver.Close(busy);
           driver.Generate(std::string(40'000, 'x'));
           driver.Reserve();
           std::string first;
           driver.Prefill(&first);
           CPPUNIT_ASSERT(first != busy);
           std::string decode;
           const AttemptId attempt = driver.Decode(&decode);
           driver.Chunk(decode, attempt, 0, "one ");
           driver.AdvanceBy(200ms);
           driver.OpenAll();
           driver.Close(decode);
           driver.Reserve();
           std::string second_prefill;
           driver.Prefill(&second_prefill);
           CPPUNIT_ASSERT_EQUAL(first, second_prefill);
         })});

struct Ending {
  const char* name;
  EntryOptions options;
  std::function<void(EntryDriver&)> sequence;
  ResultCode code;
  Outcome outcome;
};

void StreamThenClose(EntryDriver& driver) {
  std::string decode;
  driver.Stream(&decode, "one");
  driver.Close(decode);
}

const testing::Story kEndings(
    "a generation that cannot be completed",
    {ForEach<Ending>(
        "is answered once and without delay when",
        {
            // Guards against an invalid parameter that keeps a whole pool busy
            // until its caller gets a refusal for lack of capacity half a
            // minute later: the engine refuses the request as invalid, and it
            // is retried at every endpoint until its time is up. A fault of the
            // request itself is not a fault of the endpoint.
            {"the engine finds the request itself invalid",
             {},
             [](EntryDriver& driver) {
               driver.Reserve();
               const auto start = driver.Expect<protocol::StartPrefill>();
               driver.Fail(driver.last_endpoint, start.attempt, Phase::kPrefill,
                           ResultCode::kInvalidParameter, Outcome::kNotRun);
             },
             ResultCode::kInvalidParameter,
             Outcome::kNotRun},
            {"its run is lost and the retry budget is spent",
             {.retry_burst = 0},
             StreamThenClose,
             ResultCode::kEndpointLost,
             Outcome::kUnknown},
            {"it has used all attempts that are allowed",
             {.max_attempts = 2},
             [](EntryDriver& driver) {
               StreamThenClose(driver);
               StreamThenClose(driver);
             },
             ResultCode::kRetriesExhausted,
             Outcome::kUnknown},
            {"its caller does not read",
             {},
             [](EntryDriver& driver) {
               std::string decode;
               driver.Stream(&decode, "one");
               driver.AdvanceBy(5s);
             },
             ResultCode::kSlowReader,
             Outcome::kUnknown},
            {"no decode endpoint has capacity in time",
             {},
             [](EntryDriver& driver) {
               while (driver.Errors().empty()) {
                 while (driver.Count<protocol::Reserve>() > 0) {
                   const auto reserve = driver.Expect<protocol::Reserve>();
                   driver.Refuse(driver.last_endpoint, reserve.attempt,
                                 Phase::kReserve, ResultCode::kNoDecodeMemory);
                 }
                 driver.AdvanceBy(10ms);
               }
               CPPUNIT_ASSERT(driver.now < Instant(1h) + 2s);
             },
             ResultCode::kDeadlineUnreachable,
             Outcome::kNotRun},
            {"all endpoints are gone before it starts",
             {},
             [](EntryDriver& driver) {
               for (const char* endpoint : {"d1", "d2", "p1", "p2"}) {
                 driver.Close(endpoint);
               }
               driver.AdvanceBy(2s);
             },
             ResultCode::kNoEndpoint,
             Outcome::kNotRun},
            {"its deadline passes while it runs",
             {.stall_timeout = 300s},
             [](EntryDriver& driver) {
               std::string decode;
               driver.Stream(&decode, "one");
               driver.AdvanceBy(120s);
             },
             ResultCode::kDeadlineExceeded,
             Outcome::kUnknown},
        },
        [](const Ending& ending) { return std::string(ending.name); },
        [](const Ending& ending) {
          ReadyDriver driver(ending.options);
          driver.Generate();
          ending.sequence(driver);
          const auto errors = driver.Errors();
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errors.size());
          CPPUNIT_ASSERT_EQUAL(ResultCodeName(ending.code),
                               ResultCodeName(errors[0].code));
          CPPUNIT_ASSERT(errors[0].outcome == ending.outcome);
          CPPUNIT_ASSERT_EQUAL(ending.outcome == Outcome::kNotRun,
                               errors[0].retry_after > Duration::zero());
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, driver.core->alive_requests());
        })});

const testing::Story kDoubled(
    "a duplicate message",
    {// Guards against a prefill whose result has no reserved memory: the answer
     // to a reservation comes a second time while the prefill runs. It must not
     // be treated as an answer to a superseded attempt, whose reservation is
     // cancelled, since the request still holds this reservation.
     It("does not cancel a reservation that the request holds", [] {
       ReadyDriver driver;
       driver.Generate();
       std::string decode;
       const AttemptId attempt = driver.Reserve(&decode);
       driver.Deliver(decode, protocol::Reserved{.attempt = attempt});
       CPPUNIT_ASSERT_EQUAL(std::size_t{0}, driver.Count<protocol::Cancel>());
       AttemptId other = attempt;
       other.attempt = AttemptNumber(attempt.attempt.value + 9);
       driver.Deliver(decode, protocol::Reserved{.attempt = other});
       CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver.Count<protocol::Cancel>());
     })});

// A rule that a test can switch off. The breach occurs only without the rule,
// which shows that a checker detects its absence.
struct Rule {
  const char* name;
  bool EntryRules::*rule;
  std::function<bool(EntryDriver&)> breached;
};

const testing::Story kRules(
    "a rule of the entry",
    {ForEach<Rule>(
        "holds, and is broken when it is off:",
        {{"frames of superseded attempts are dropped",
          &EntryRules::check_attempts,
          [](EntryDriver& driver) {
            std::string lost;
            std::string next;
            const AttemptId old = driver.Stream(&lost, "one");
            driver.Close(lost);
            driver.Stream(&next, "two");
            driver.Chunk(lost, old, 1, "late");
            return driver.Text() != "onetwo";
          }},
         {"chunks are forwarded once and in order", &EntryRules::check_sequence,
          [](EntryDriver& driver) {
            std::string decode;
            const AttemptId attempt = driver.Stream(&decode, "one");
            driver.Chunk(decode, attempt, 0, "one");
            return driver.Text() != "one";
          }},
         {"nothing is prefilled without a reservation",
          &EntryRules::reserve_before_prefill,
          [](EntryDriver& driver) {
            return driver.Count<protocol::StartPrefill>() > 0;
          }}},
        [](const Rule& rule) { return std::string(rule.name); },
        [](const Rule& rule) {
          for (const bool on : {true, false}) {
            EntryOptions options;
            options.rules.*rule.rule = on;
            ReadyDriver driver(options);
            driver.Generate();
            CPPUNIT_ASSERT_EQUAL(!on, rule.breached(driver));
          }
        })});

}  // namespace
}  // namespace acacialug::entry
