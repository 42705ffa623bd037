#include <cppunit/extensions/HelperMacros.h>

#include "entry/tests/entry_driver.h"
#include "framework/testing/story.h"

namespace acacialug::entry {
namespace {

using testing::It;
using testing::Section;

// A driver with all sessions open.
struct Ready : EntryDriver {
  explicit Ready(EntryOptions options = {}) : EntryDriver(std::move(options)) {
    this->Apply(DefaultManifest());
    this->OpenAll();
  }
};

const testing::Story kGeneration(
    "a generation",
    {It("reserves, prefills, decodes and is answered once",
        [] {
          Ready driver;
          driver.Generate();
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               driver.Count<protocol::StartPrefill>());
          driver.Reserve();
          driver.Prefill();
          std::string decode;
          const AttemptId attempt = driver.Decode(&decode);
          driver.Chunk(decode, attempt, 0, "one ");
          driver.Expect<protocol::Cancel>();  // the export may go
          driver.Chunk(decode, attempt, 1, "two");
          driver.End(decode, attempt, 2);
          CPPUNIT_ASSERT_EQUAL(std::string("one two"), driver.Text());
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver.Ends());
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, driver.core->alive_requests());
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               driver.Count<protocol::Cancel>());
        }),
     It("gives everything back when its caller is gone", [] {
       Ready driver;
       const RequestId request = driver.Generate();
       driver.Reserve();
       driver.core->OnCallerGone(request, driver.now);
       CPPUNIT_ASSERT_EQUAL(std::size_t{2}, driver.Count<protocol::Cancel>());
       CPPUNIT_ASSERT_EQUAL(std::size_t{0}, driver.Errors().size());
     })});

const testing::Story kCall(
    "a call",
    {It("that is idempotent is answered",
        [] {
          Ready driver;
          driver.Call("GET");
          const auto start = driver.Expect<protocol::StartCall>();
          driver.Tell(driver.last_endpoint,
                      protocol::CallAnswered{.attempt = start.attempt,
                                             .answer = {.status = 200}});
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver.Calls().size());
        }),
     It("that is not idempotent needs a key", [] {
       Ready driver;
       driver.Call("POST");
       CPPUNIT_ASSERT(driver.Errors().at(0).code == ResultCode::kKeyRequired);
       driver.Call("POST", "k");
       const auto start = driver.Expect<protocol::StartCall>();
       CPPUNIT_ASSERT(start.once.kind == protocol::OnceKind::kTicket);
       CPPUNIT_ASSERT(start.once.home == Incarnation(7));
     })});

}  // namespace
}  // namespace acacialug::entry
