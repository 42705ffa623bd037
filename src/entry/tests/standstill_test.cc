// An entry that did not run for some time (its host was suspended, its
// processor was busy, or a step of its event loop took long) must not count its
// own stall as a timeout of a peer. In each of these tests its timers run
// first, and the messages that arrived during the stall are read after them.
#include <cppunit/extensions/HelperMacros.h>

#include "entry/log_once.h"
#include "entry/tests/entry_driver.h"
#include "framework/testing/story.h"

namespace acacialug::entry {
namespace {

using testing::ForEach;
using testing::It;

struct ProcessStall {
  const char* name;
  Duration length;
};

// Each stall is longer than the time that an agent has to answer a reservation,
// and shorter than the lease of a session.
const std::vector<ProcessStall> kProcessStalls = {{"for 0.4 s", 400ms},
                                                  {"for 0.9 s", 900ms},
                                                  {"for 1.9 s", 1900ms}};

std::string NameOfStall(const ProcessStall& row) {
  return row.name;
}

// Stalls the process. Its timers run before any message is read.
void StallAndFireTimers(EntryDriver& driver, Duration length) {
  driver.Stall(length);
  driver.core->OnTimer(driver.now);
}

// This is longer than the time for which the core waits for its sockets to be
// read, and shorter than any timeout by which it judges a peer.
constexpr Duration kSocketsRead = 50ms;

// An entry whose claims go to a log that the test simulates.
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

  // Returns the claims that the core appends to the log.
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

const testing::Story kStalledEntry(
    "an entry that was stalled",
    {// Guards against an entry that, after a stall of 0.3 to 1 s, cancels
     // reservations which their agents have answered, counts a failure against
     // each agent, and queries others. Its timers run before the answers in its
     // sockets are read, and a check for timers that are a second late misses
     // such a stall.
     ForEach<ProcessStall>(
         "takes the reservation that was answered during a stall",
         kProcessStalls,
         NameOfStall,
         [](const ProcessStall& row) {
           ReadyDriver driver;
           driver.Generate();
           const auto reserve = driver.Expect<protocol::Reserve>();
           const std::string decode = driver.last_endpoint;
           StallAndFireTimers(driver, row.length);
           driver.AdvanceBy(kSocketsRead);
           driver.Deliver(decode,
                          protocol::Reserved{.attempt = reserve.attempt});
           CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                                driver.Count<protocol::Cancel>());
           CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                                driver.Count<protocol::Reserve>());
           driver.Prefill();
         }),
     ForEach<ProcessStall>(
         "takes the prefill that was done during a stall",
         kProcessStalls,
         NameOfStall,
         [](const ProcessStall& row) {
           ReadyDriver driver({.stall_timeout = 200ms});
           driver.Generate();
           driver.Reserve();
           const auto start = driver.Expect<protocol::StartPrefill>();
           const std::string prefill = driver.last_endpoint;
           StallAndFireTimers(driver, row.length);
           driver.AdvanceBy(kSocketsRead);
           driver.Deliver(prefill, protocol::Prefilled{.attempt = start.attempt,
                                                       .lifetime = 800ms});
           CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                                driver.Count<protocol::Cancel>());
           driver.Decode();
         }),
     ForEach<ProcessStall>(
         "continues the stream whose chunks came during a stall",
         kProcessStalls,
         NameOfStall,
         [](const ProcessStall& row) {
           ReadyDriver driver({.stall_timeout = 200ms});
           const RequestId request = driver.Generate();
           std::string decode;
           const AttemptId attempt = driver.Stream(&decode, "one ");
           driver.core->OnDelivered(request, 0, driver.now);
           driver.Expect<protocol::Cancel>();  // of the export
           StallAndFireTimers(driver, row.length);
           driver.AdvanceBy(kSocketsRead);
           driver.Chunk(decode, attempt, 1, "two");
           driver.core->OnDelivered(request, 1, driver.now);
           driver.End(decode, attempt, 2);
           CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                                driver.Count<protocol::Cancel>());
           CPPUNIT_ASSERT_EQUAL(std::string("one two"), driver.Text());
           CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver.Ends());
         }),
     // Guards against an answer that the log is unavailable although the log
     // has accepted the claim and the record that shows it is in the socket of
     // the entry.
     It("settles the claim that the log accepted during a stall",
        [] {
          LogDriver driver;
          driver.core->TakeActions();
          driver.Call("POST", LogDriver::kKey);
          driver.now += 20ms;
          driver.core->OnTimer(driver.now);
          const std::string claim = driver.Appended();
          StallAndFireTimers(driver, 2500ms);
          driver.Read({claim});
          CPPUNIT_ASSERT(driver.Errors().empty());
          driver.Expect<protocol::StartCall>();
        }),
     // Guards against connection attempts that are all dropped and begun again
     // although the kernel has opened the connections and the agents have
     // answered.
     It("keeps the connection that was opened during a stall",
        [] {
          EntryDriver driver;
          driver.Apply(EntryDriver::DefaultManifest());
          driver.core->TakeActions();
          StallAndFireTimers(driver, 3500ms);
          driver.core->OnEndpointConnected(EndpointId("d1"), driver.now);
          driver.Expect<protocol::Hello>();
        }),
     It("accepts the welcome that came during a stall, while its lease lasts",
        [] {
          EntryDriver driver;
          driver.Apply(EntryDriver::DefaultManifest());
          for (const char* const endpoint : {"p1", "d1"}) {
            driver.core->OnEndpointConnected(EndpointId(endpoint), driver.now);
          }
          StallAndFireTimers(driver, 3500ms);
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
     // Guards against an unknown outcome for a call that may run only once
     // although its home is reachable and knows the outcome: the 5 s for which
     // an unreachable home is queried pass during the stall.
     It("still queries the home of a call for its outcome after a stall",
        [] {
          ReadyDriver driver;
          driver.Call("POST", "key");
          const auto start = driver.Expect<protocol::StartCall>();
          const std::string home = driver.last_endpoint;
          driver.Close(home);
          StallAndFireTimers(driver, 5500ms);
          driver.AdvanceBy(500ms, false);
          driver.Open(home);
          driver.AdvanceBy(300ms);
          CPPUNIT_ASSERT(driver.Errors().empty());
          CPPUNIT_ASSERT(driver.Expect<protocol::LookUp>().once.key_low ==
                         start.once.key_low);
        }),
     It("still gives up the home of a call that stays unreachable after a "
        "stall",
        [] {
          ReadyDriver driver;
          driver.Call("POST", "key");
          driver.Expect<protocol::StartCall>();
          driver.Close(driver.last_endpoint);
          StallAndFireTimers(driver, 5500ms);
          driver.AdvanceBy(2s, false);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver.Errors().size());
        }),
     // A first stall must not use up the extra time that is allowed after the
     // next stall.
     It("takes the reservation that was answered during a second stall",
        [] {
          ReadyDriver driver;
          driver.Generate();
          StallAndFireTimers(driver, 400ms);
          driver.Reserve();
          driver.AdvanceBy(250ms);
          driver.Generate();
          const auto reserve = driver.Expect<protocol::Reserve>();
          const std::string decode = driver.last_endpoint;
          StallAndFireTimers(driver, 400ms);
          driver.AdvanceBy(kSocketsRead);
          driver.Deliver(decode,
                         protocol::Reserved{.attempt = reserve.attempt});
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               driver.Count<protocol::Cancel>());
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               driver.Count<protocol::Reserve>());
        }),
     It("still gives up an agent that stays unresponsive after a stall",
        [] {
          ReadyDriver driver;
          driver.Generate();
          driver.Expect<protocol::Reserve>();
          StallAndFireTimers(driver, 900ms);
          driver.AdvanceBy(300ms);
          driver.Expect<protocol::Cancel>();
          driver.Expect<protocol::Reserve>();
        }),
     // Otherwise an entry on a busy processor, whose timers are always late,
     // would wait for a dead agent for ever.
     ForEach<ProcessStall>(
         "still gives up an unresponsive agent within 1.2 s despite repeated "
         "stalls",
         {{"for 0.15 s", 150ms}, {"for 0.4 s", 400ms}, {"for 0.6 s", 600ms}},
         NameOfStall,
         [](const ProcessStall& row) {
           ReadyDriver driver;
           driver.Generate();
           driver.Expect<protocol::Reserve>();
           const Instant requested_at = driver.now;
           while (driver.now + row.length <= requested_at + 1200ms) {
             StallAndFireTimers(driver, row.length);
           }
           driver.Expect<protocol::Cancel>();
           driver.Expect<protocol::Reserve>();
         }),
     It("ends a request whose deadline passed during a stall, once it has read "
        "its sockets",
        [] {
          ReadyDriver driver;
          driver.core->OnCall({.request = {.high = 9},
                               .service = ServiceName("app"),
                               .call = {.method = "GET", .target = "/x"},
                               .deadline = 500ms},
                              driver.now);
          driver.Expect<protocol::StartCall>();
          StallAndFireTimers(driver, 700ms);
          CPPUNIT_ASSERT(driver.Errors().empty());
          driver.AdvanceBy(kSocketsRead);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver.Errors().size());
        })});

}  // namespace
}  // namespace acacialug::entry
