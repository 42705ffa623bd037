// An entry that did not run for a while (its host was suspended, its processor
// was busy, one step of its event loop took long) must not take its own
// standstill for the silence of others. In each of these tests its timers come
// first, and what arrived meanwhile is read after them.
#include <cppunit/extensions/HelperMacros.h>

#include "entry/log_once.h"
#include "entry/tests/entry_driver.h"
#include "framework/testing/story.h"

namespace acacialug::entry {
namespace {

using testing::ForEach;
using testing::It;

struct Standstill {
  const char* name;
  Duration length;
};

// All longer than an agent is given to answer a reservation, and shorter than
// a session's lease.
const std::vector<Standstill> kStandstills = {{"for 0.4 s", 400ms},
                                              {"for 0.9 s", 900ms},
                                              {"for 1.9 s", 1900ms}};

std::string NameOfStandstill(const Standstill& row) {
  return row.name;
}

// The process stands still, and its timers are the first to run again.
void StandStill(EntryDriver& driver, Duration length) {
  driver.Stall(length);
  driver.core->OnTimer(driver.now);
}

// Longer than the core waits for what its sockets hold, shorter than any
// silence by which it judges.
constexpr Duration kSocketsRead = 50ms;

// An entry whose claims go to a log that is played by hand.
struct LogDriver : ReadyDriver {
  static constexpr char kKey[] = "018f0000-0000-7abc-8def-0123456789ab";
  static constexpr once::WallMilliseconds kKeyTime{0x018f00000000};

  LogDriver()
      : ReadyDriver({.make_once = [this](const EntryOptions&) {
          return std::make_unique<LogOnce>(
              LogOnce::Options{.wall_clock = [] { return kKeyTime; }},
              this->log_random);
        }}) {
    this->core->OnTimer(this->now);
    this->Read({});
    this->AdvanceBy(1s);
  }

  void Read(const std::vector<std::string>& records) {
    ClaimsRead read{.reachable = true,
                    .first_kept = LogOffset(1),
                    .next = LogOffset(records.size() + 1)};
    for (std::size_t at = 0; at < records.size(); ++at) {
      read.records.push_back({LogOffset(at + 1), records[at]});
    }
    this->core->OnClaimsRead(read, this->now);
  }

  // The claims that the core gives to the log.
  std::string Appended() {
    for (const EntryAction& action : this->core->TakeActions()) {
      if (const auto* append = std::get_if<AppendClaims>(&action)) {
        return append->payload;
      }
    }
    CPPUNIT_FAIL("no claim was appended");
    return {};
  }

  RandomSource log_random{5};
};

const testing::Story kStoodStill(
    "an entry that stood still",
    {// Agents had answered their reservations, but after standstills of 0.3 to
     // 1 s the entry cancelled them, counted a failure against each agent, and
     // asked others. Its timers ran before the answers in its sockets were
     // read, and only a timer that came a second late told it of a standstill.
     ForEach<Standstill>(
         "takes the reservation that was answered meanwhile, after standing "
         "still",
         kStandstills,
         NameOfStandstill,
         [](const Standstill& row) {
           ReadyDriver driver;
           driver.Generate();
           const auto reserve = driver.Expect<protocol::Reserve>();
           const std::string decode = driver.last_endpoint;
           StandStill(driver, row.length);
           driver.AdvanceBy(kSocketsRead);
           driver.Deliver(decode,
                          protocol::Reserved{.attempt = reserve.attempt});
           CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                                driver.Count<protocol::Cancel>());
           CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                                driver.Count<protocol::Reserve>());
           driver.Prefill();
         }),
     ForEach<Standstill>(
         "takes the prefill that was done meanwhile, after standing still",
         kStandstills,
         NameOfStandstill,
         [](const Standstill& row) {
           ReadyDriver driver({.stall_timeout = 200ms});
           driver.Generate();
           driver.Reserve();
           const auto start = driver.Expect<protocol::StartPrefill>();
           const std::string prefill = driver.last_endpoint;
           StandStill(driver, row.length);
           driver.AdvanceBy(kSocketsRead);
           driver.Deliver(prefill, protocol::Prefilled{.attempt = start.attempt,
                                                       .lifetime = 800ms});
           CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                                driver.Count<protocol::Cancel>());
           driver.Decode();
         }),
     ForEach<Standstill>(
         "goes on with the stream whose chunks came meanwhile, after standing "
         "still",
         kStandstills,
         NameOfStandstill,
         [](const Standstill& row) {
           ReadyDriver driver({.stall_timeout = 200ms});
           const RequestId request = driver.Generate();
           std::string decode;
           const AttemptId attempt = driver.Stream(&decode, "one ");
           driver.core->OnDelivered(request, 0, driver.now);
           driver.Expect<protocol::Cancel>();  // the export may go
           StandStill(driver, row.length);
           driver.AdvanceBy(kSocketsRead);
           driver.Chunk(decode, attempt, 1, "two");
           driver.core->OnDelivered(request, 1, driver.now);
           driver.End(decode, attempt, 2);
           CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                                driver.Count<protocol::Cancel>());
           CPPUNIT_ASSERT_EQUAL(std::string("one two"), driver.Text());
           CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver.Ends());
         }),
     // The caller was told that the log was out, though the log had taken its
     // claim and the record that shows it lay in the entry's socket.
     It("settles the claim that the log took meanwhile",
        [] {
          LogDriver driver;
          driver.core->TakeActions();
          driver.Call("POST", LogDriver::kKey);
          driver.now += 20ms;
          driver.core->OnTimer(driver.now);
          const std::string claim = driver.Appended();
          StandStill(driver, 2500ms);
          driver.Read({claim});
          CPPUNIT_ASSERT(driver.Errors().empty());
          driver.Expect<protocol::StartCall>();
        }),
     // All connections that were being opened were dropped and begun again,
     // though the kernel had opened them and the agents had answered.
     It("keeps the connection that was opened meanwhile",
        [] {
          EntryDriver driver;
          driver.Apply(EntryDriver::DefaultManifest());
          driver.core->TakeActions();
          StandStill(driver, 3500ms);
          driver.core->OnEndpointConnected(EndpointId("d1"), driver.now);
          driver.Expect<protocol::Hello>();
        }),
     It("takes the welcome that came meanwhile, while the lease in it lasts",
        [] {
          EntryDriver driver;
          driver.Apply(EntryDriver::DefaultManifest());
          for (const char* const endpoint : {"p1", "d1"}) {
            driver.core->OnEndpointConnected(EndpointId(endpoint), driver.now);
          }
          StandStill(driver, 3500ms);
          for (const char* const endpoint : {"p1", "d1"}) {
            driver.Deliver(endpoint,
                           protocol::Welcome{.endpoint = EndpointId(endpoint),
                                             .incarnation = Incarnation(7),
                                             .lease = 10s,
                                             .load = {.free_kv_tokens = 100000,
                                                      .total_kv_tokens = 100000,
                                                      .limit = 20}});
          }
          driver.Generate();
          driver.Reserve();
        }),
     // The caller of a call that may run only once was told that nobody knows
     // its outcome, though its home was there and knew it: the 5 s for which a
     // home that cannot be reached is asked had passed while nothing ran.
     It("still asks a call's home what became of it",
        [] {
          ReadyDriver driver;
          driver.Call("POST", "key");
          const auto start = driver.Expect<protocol::StartCall>();
          const std::string home = driver.last_endpoint;
          driver.Close(home);
          StandStill(driver, 5500ms);
          driver.AdvanceBy(500ms, false);
          driver.Open(home);
          driver.AdvanceBy(300ms);
          CPPUNIT_ASSERT(driver.Errors().empty());
          CPPUNIT_ASSERT(driver.Expect<protocol::LookUp>().once.key_low ==
                         start.once.key_low);
        }),
     It("still gives up a call's home that cannot be reached after it",
        [] {
          ReadyDriver driver;
          driver.Call("POST", "key");
          driver.Expect<protocol::StartCall>();
          driver.Close(driver.last_endpoint);
          StandStill(driver, 5500ms);
          driver.AdvanceBy(2s, false);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver.Errors().size());
        }),
     // A first standstill must not use up the patience for the next.
     It("takes the reservation that was answered meanwhile, the second time "
        "too",
        [] {
          ReadyDriver driver;
          driver.Generate();
          StandStill(driver, 400ms);
          driver.Reserve();
          driver.AdvanceBy(250ms);
          driver.Generate();
          const auto reserve = driver.Expect<protocol::Reserve>();
          const std::string decode = driver.last_endpoint;
          StandStill(driver, 400ms);
          driver.AdvanceBy(kSocketsRead);
          driver.Deliver(decode,
                         protocol::Reserved{.attempt = reserve.attempt});
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               driver.Count<protocol::Cancel>());
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               driver.Count<protocol::Reserve>());
        }),
     It("still gives up an agent that stays silent after it",
        [] {
          ReadyDriver driver;
          driver.Generate();
          driver.Expect<protocol::Reserve>();
          StandStill(driver, 900ms);
          driver.AdvanceBy(300ms);
          driver.Expect<protocol::Cancel>();
          driver.Expect<protocol::Reserve>();
        }),
     // Without this an entry on a busy processor, whose timers are always
     // late, would wait for a dead agent for ever.
     ForEach<Standstill>(
         "still gives up a silent agent within 1.2 s when it stands still "
         "again and again",
         {{"for 0.15 s", 150ms}, {"for 0.4 s", 400ms}, {"for 0.6 s", 600ms}},
         NameOfStandstill,
         [](const Standstill& row) {
           ReadyDriver driver;
           driver.Generate();
           driver.Expect<protocol::Reserve>();
           const Instant asked = driver.now;
           while (driver.now + row.length <= asked + 1200ms) {
             StandStill(driver, row.length);
           }
           driver.Expect<protocol::Cancel>();
           driver.Expect<protocol::Reserve>();
         }),
     It("ends a request at its deadline all the same, once it has read its "
        "sockets",
        [] {
          ReadyDriver driver;
          driver.core->OnCall({.request = {.high = 9},
                               .service = ServiceName("app"),
                               .call = {.method = "GET", .target = "/x"},
                               .deadline = 500ms},
                              driver.now);
          driver.Expect<protocol::StartCall>();
          StandStill(driver, 700ms);
          CPPUNIT_ASSERT(driver.Errors().empty());
          driver.AdvanceBy(kSocketsRead);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver.Errors().size());
        })});

}  // namespace
}  // namespace acacialug::entry
