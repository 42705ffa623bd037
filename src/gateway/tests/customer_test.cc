#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "framework/testing/story.h"
#include "gateway/key_digest.h"
#include "gateway/tests/gateway_simulation.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::It;
using testing::Answer;
using testing::GatewaySimulation;
using testing::HeaderOf;

// So many requests of the default size.
constexpr double kTokens = 3900;

std::vector<Customer> Customers(double per_second = 0, double burst = 0) {
  return {{.name = CustomerName("first"),
           .keys = {DigestOf("key 1"), DigestOf("key 2")},
           .limit = {.unit = LimitUnit::kTokens,
                     .per_second = per_second,
                     .burst = burst,
                     .unsized_tokens = 200}},
          {.name = CustomerName("second"), .keys = {DigestOf("key 3")}}};
}

struct Keyed : GatewaySimulation {
  explicit Keyed(const std::vector<Customer>& customers = Customers()) {
    this->Configure(customers);
    for (const char* const id : {"p1", "p2", "p3", "p4", "p5"}) {
      this->AddEndpoint(id, "plain", EndpointRole::kPlain);
    }
  }

  std::shared_ptr<Answer> SendRequestWith(const std::string& shown,
                                          const std::string& path,
                                          const std::string& id) {
    this->key = shown;
    return this->SendRequest(path, id);
  }
  // One of a call that is answered at once.
  int Status(const std::string& shown, const std::string& id) {
    const auto answer = this->SendRequestWith(shown, "/once/a", id);
    if (!answer->ended) {
      this->ReplyProof(this->Find("whole"), 200);
    }
    return answer->status;
  }
};

const acacialug::testing::Story kKeys(
    "a request on a route that needs a key",
    {It("is refused at once without one, or with one that nobody holds",
        [] {
          Keyed simulation;
          for (const char* const shown : {"", "key 4", "key 1 "}) {
            const auto answer =
                simulation.SendRequestWith(shown, "/once/a", "r");
            CPPUNIT_ASSERT_EQUAL(401, answer->status);
          }
          CPPUNIT_ASSERT(simulation.Calls().empty());
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               simulation.core->requests_under_way());
        }),
     It("reaches an endpoint with its customer's name, and without its key",
        [] {
          Keyed simulation;
          simulation.SendRequestWith("key 2", "/once/a", "r1");
          CPPUNIT_ASSERT_EQUAL(std::string("first"),
                               HeaderOf(simulation.Find("whole"), "Customer"));
          CPPUNIT_ASSERT(HeaderOf(simulation.Find("whole"), "Key").empty());
        }),
     It("goes by the keys of the configuration in force",
        [] {
          Keyed simulation;
          std::vector<Customer> fewer = Customers();
          fewer[0].keys.pop_back();
          fewer[1].keys.push_back(DigestOf("key 4"));
          simulation.Configure(fewer);
          CPPUNIT_ASSERT_EQUAL(401, simulation.Status("key 2", "r1"));
          CPPUNIT_ASSERT_EQUAL(200, simulation.Status("key 1", "r2"));
          CPPUNIT_ASSERT_EQUAL(200, simulation.Status("key 4", "r3"));
        }),
     It("needs none where the configuration has no customers",
        [] {
          Keyed simulation;
          simulation.Configure();
          CPPUNIT_ASSERT_EQUAL(200, simulation.Status("", "r1"));
          CPPUNIT_ASSERT_EQUAL(200, simulation.Status("key 1", "r2"));
        }),
     It("is not known before there is a configuration, and may come again", [] {
       GatewaySimulation simulation;
       simulation.key = "key 1";
       CPPUNIT_ASSERT_EQUAL(503,
                            simulation.SendRequest("/once/a", "r")->status);
     })});

const acacialug::testing::Story kOpen(
    "a request on a route that is open to all",
    {It("needs no key",
        [] {
          Keyed simulation;
          simulation.SendRequestWith("", "/open/a", "r1");
          CPPUNIT_ASSERT(
              HeaderOf(simulation.Find("whole"), "Customer").empty());
          simulation.SendRequestWith("key 4", "/open/a", "r2");
          CPPUNIT_ASSERT(
              HeaderOf(simulation.Find("whole"), "Customer").empty());
        }),
     It("is its customer's if it shows a key", [] {
       Keyed simulation;
       simulation.SendRequestWith("key 3", "/open/a", "r1");
       CPPUNIT_ASSERT_EQUAL(std::string("second"),
                            HeaderOf(simulation.Find("whole"), "Customer"));
     })});

const acacialug::testing::Story kApart(
    "of two customers that send the same request",
    // Guards against: one customer's crashes refuse another's request.
    {It("one under which endpoints end leaves the other's served", [] {
      Keyed simulation;
      for (const char* const id : {"r1", "r2", "r3"}) {
        simulation.SendRequestWith("key 1", "/once/a", id);
        simulation.Break(simulation.Find("whole"));
      }
      const auto refused = simulation.SendRequestWith("key 1", "/once/a", "r4");
      CPPUNIT_ASSERT_EQUAL(503, refused->status);
      CPPUNIT_ASSERT_EQUAL(200, simulation.Status("key 3", "r5"));
    })});

const acacialug::testing::Story kLimits(
    "a customer with a limit",
    {It("is refused beyond it, at once, with the time at which it has room",
        [] {
          Keyed simulation(Customers(kTokens, 2 * kTokens));
          // A new process does not know what was taken before.
          CPPUNIT_ASSERT_EQUAL(200, simulation.Status("key 1", "r1"));
          const auto finished =
              simulation.SendRequestWith("key 2", "/once/a", "r2");
          CPPUNIT_ASSERT_EQUAL(429, finished->status);
          CPPUNIT_ASSERT_EQUAL(std::string("1.00"), finished->retry_after);
          CPPUNIT_ASSERT(simulation.Calls().empty());
          simulation.AdvanceBy(1010ms);
          CPPUNIT_ASSERT_EQUAL(200, simulation.Status("key 2", "r3"));
          CPPUNIT_ASSERT_EQUAL(429, simulation.Status("key 1", "r4"));
        }),
     It("leaves other customers alone",
        [] {
          Keyed simulation(Customers(kTokens, 2 * kTokens));
          simulation.Status("key 1", "r1");
          for (const char* const id : {"s1", "s2", "s3", "s4"}) {
            CPPUNIT_ASSERT_EQUAL(200, simulation.Status("key 3", id));
          }
        }),
     It("gets back what was taken for a request that ran nowhere",
        [] {
          Keyed simulation(Customers(kTokens, 2 * kTokens));
          for (const char* const id : {"p1", "p2", "p3", "p4", "p5"}) {
            simulation.RemoveEndpoint(id);
          }
          CPPUNIT_ASSERT_EQUAL(503, simulation.Status("key 1", "r1"));
          CPPUNIT_ASSERT_EQUAL(503, simulation.Status("key 1", "r2"));
          simulation.AddEndpoint("p6", "plain", EndpointRole::kPlain);
          CPPUNIT_ASSERT_EQUAL(200, simulation.Status("key 1", "r3"));
        }),
     It("pays for one that may have run",
        [] {
          Keyed simulation(Customers(kTokens, 2 * kTokens));
          const auto lost =
              simulation.SendRequestWith("key 1", "/once/a", "r1");
          simulation.Break(simulation.Find("whole"));
          CPPUNIT_ASSERT_EQUAL(502, lost->status);
          CPPUNIT_ASSERT_EQUAL(429, simulation.Status("key 1", "r2"));
        }),
     It("pays once for a request that is sent to a second endpoint",
        [] {
          Keyed simulation(Customers(kTokens, 4 * kTokens));
          simulation.SendRequestWith("key 1", "/idempotent/a", "r1");
          simulation.Break(simulation.Find("whole"));
          simulation.ReplyProof(simulation.Find("whole"), 200);
          CPPUNIT_ASSERT_EQUAL(200, simulation.Status("key 1", "r2"));
          CPPUNIT_ASSERT_EQUAL(429, simulation.Status("key 1", "r3"));
        }),
     It("is told its limit apart from an overloaded service", [] {
       Keyed simulation(Customers(kTokens, 2 * kTokens));
       simulation.Status("key 1", "r1");
       const auto finished =
           simulation.SendRequestWith("key 1", "/once/a", "r2");
       CPPUNIT_ASSERT(finished->body.find("caller_over_limit") !=
                      std::string::npos);
     })});

}  // namespace
}  // namespace acacialug::gateway
