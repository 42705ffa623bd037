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

// The tokens of a request of the default size.
constexpr double kRequestTokens = 3900;

std::vector<Customer> Customers(double per_second = 0, double burst = 0) {
  return {{.name = CustomerName("first"),
           .keys = {DigestOf("key 1"), DigestOf("key 2")},
           .limit = {.unit = LimitUnit::kTokens,
                     .per_second = per_second,
                     .burst = burst,
                     .unsized_tokens = 200}},
          {.name = CustomerName("second"), .keys = {DigestOf("key 3")}}};
}

struct KeyedSimulation : GatewaySimulation {
  explicit KeyedSimulation(
      const std::vector<Customer>& customers = Customers()) {
    this->Configure(customers);
    for (const char* const id : {"p1", "p2", "p3", "p4", "p5"}) {
      this->AddEndpoint(id, "plain", EndpointRole::kPlain);
    }
  }

  std::shared_ptr<Answer> SendRequestWith(const std::string& key_text,
                                          const std::string& path,
                                          const std::string& id) {
    this->key = key_text;
    return this->SendRequest(path, id);
  }
  // Sends a request that its endpoint answers at once, and returns the status.
  int Status(const std::string& key_text, const std::string& id) {
    const auto answer = this->SendRequestWith(key_text, "/once/a", id);
    if (!answer->ended) {
      this->ReplyProof(this->Find("whole"), 200);
    }
    return answer->status;
  }
};

const acacialug::testing::Story kKeys(
    "a request on a route that needs a key",
    {It("is refused at once without a key, or with a key of no customer",
        [] {
          KeyedSimulation simulation;
          for (const char* const key_text : {"", "key 4", "key 1 "}) {
            const auto answer =
                simulation.SendRequestWith(key_text, "/once/a", "r");
            CPPUNIT_ASSERT_EQUAL(401, answer->status);
          }
          CPPUNIT_ASSERT(simulation.Calls().empty());
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               simulation.core->requests_under_way());
        }),
     It("reaches an endpoint with its customer's name, and without its key",
        [] {
          KeyedSimulation simulation;
          simulation.SendRequestWith("key 2", "/once/a", "r1");
          CPPUNIT_ASSERT_EQUAL(std::string("first"),
                               HeaderOf(simulation.Find("whole"), "Customer"));
          CPPUNIT_ASSERT(HeaderOf(simulation.Find("whole"), "Key").empty());
        }),
     It("is checked against the keys of the active configuration",
        [] {
          KeyedSimulation simulation;
          std::vector<Customer> fewer = Customers();
          fewer[0].keys.pop_back();
          fewer[1].keys.push_back(DigestOf("key 4"));
          simulation.Configure(fewer);
          CPPUNIT_ASSERT_EQUAL(401, simulation.Status("key 2", "r1"));
          CPPUNIT_ASSERT_EQUAL(200, simulation.Status("key 1", "r2"));
          CPPUNIT_ASSERT_EQUAL(200, simulation.Status("key 4", "r3"));
        }),
     It("needs no key where the configuration has no customers",
        [] {
          KeyedSimulation simulation;
          simulation.Configure();
          CPPUNIT_ASSERT_EQUAL(200, simulation.Status("", "r1"));
          CPPUNIT_ASSERT_EQUAL(200, simulation.Status("key 1", "r2"));
        }),
     It("is refused as retryable before there is a configuration", [] {
       GatewaySimulation simulation;
       simulation.key = "key 1";
       CPPUNIT_ASSERT_EQUAL(503,
                            simulation.SendRequest("/once/a", "r")->status);
     })});

const acacialug::testing::Story kOpen(
    "a request on a route that is open to all",
    {It("needs no key",
        [] {
          KeyedSimulation simulation;
          simulation.SendRequestWith("", "/open/a", "r1");
          CPPUNIT_ASSERT(
              HeaderOf(simulation.Find("whole"), "Customer").empty());
          simulation.SendRequestWith("key 4", "/open/a", "r2");
          CPPUNIT_ASSERT(
              HeaderOf(simulation.Find("whole"), "Customer").empty());
        }),
     It("belongs to the customer whose key it carries", [] {
       KeyedSimulation simulation;
       simulation.SendRequestWith("key 3", "/open/a", "r1");
       CPPUNIT_ASSERT_EQUAL(std::string("second"),
                            HeaderOf(simulation.Find("whole"), "Customer"));
     })});

const acacialug::testing::Story kApart(
    "a request that two customers send",
    // Guards against refusing one customer's request for the crashes under
    // another customer's request.
    {It("is served for one while endpoints end under the other's", [] {
      KeyedSimulation simulation;
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
    {It("is refused beyond it at once, with the time until a request fits",
        [] {
          KeyedSimulation simulation(
              Customers(kRequestTokens, 2 * kRequestTokens));
          // A new process does not know how many tokens were taken before.
          CPPUNIT_ASSERT_EQUAL(200, simulation.Status("key 1", "r1"));
          const auto over_limit =
              simulation.SendRequestWith("key 2", "/once/a", "r2");
          CPPUNIT_ASSERT_EQUAL(429, over_limit->status);
          CPPUNIT_ASSERT_EQUAL(std::string("1.00"), over_limit->retry_after);
          CPPUNIT_ASSERT(simulation.Calls().empty());
          simulation.AdvanceBy(1010ms);
          CPPUNIT_ASSERT_EQUAL(200, simulation.Status("key 2", "r3"));
          CPPUNIT_ASSERT_EQUAL(429, simulation.Status("key 1", "r4"));
        }),
     It("does not affect other customers",
        [] {
          KeyedSimulation simulation(
              Customers(kRequestTokens, 2 * kRequestTokens));
          simulation.Status("key 1", "r1");
          for (const char* const id : {"s1", "s2", "s3", "s4"}) {
            CPPUNIT_ASSERT_EQUAL(200, simulation.Status("key 3", id));
          }
        }),
     It("is refunded for a request that ran nowhere",
        [] {
          KeyedSimulation simulation(
              Customers(kRequestTokens, 2 * kRequestTokens));
          for (const char* const id : {"p1", "p2", "p3", "p4", "p5"}) {
            simulation.RemoveEndpoint(id);
          }
          CPPUNIT_ASSERT_EQUAL(503, simulation.Status("key 1", "r1"));
          CPPUNIT_ASSERT_EQUAL(503, simulation.Status("key 1", "r2"));
          simulation.AddEndpoint("p6", "plain", EndpointRole::kPlain);
          CPPUNIT_ASSERT_EQUAL(200, simulation.Status("key 1", "r3"));
        }),
     It("is charged for a request that may have run",
        [] {
          KeyedSimulation simulation(
              Customers(kRequestTokens, 2 * kRequestTokens));
          const auto lost =
              simulation.SendRequestWith("key 1", "/once/a", "r1");
          simulation.Break(simulation.Find("whole"));
          CPPUNIT_ASSERT_EQUAL(502, lost->status);
          CPPUNIT_ASSERT_EQUAL(429, simulation.Status("key 1", "r2"));
        }),
     It("is charged once for a request that is sent to a second endpoint",
        [] {
          KeyedSimulation simulation(
              Customers(kRequestTokens, 4 * kRequestTokens));
          simulation.SendRequestWith("key 1", "/idempotent/a", "r1");
          simulation.Break(simulation.Find("whole"));
          simulation.ReplyProof(simulation.Find("whole"), 200);
          CPPUNIT_ASSERT_EQUAL(200, simulation.Status("key 1", "r2"));
          CPPUNIT_ASSERT_EQUAL(429, simulation.Status("key 1", "r3"));
        }),
     It("gets an error code that differs from that of an overloaded service",
        [] {
          KeyedSimulation simulation(
              Customers(kRequestTokens, 2 * kRequestTokens));
          simulation.Status("key 1", "r1");
          const auto over_limit =
              simulation.SendRequestWith("key 1", "/once/a", "r2");
          CPPUNIT_ASSERT(over_limit->body.find("caller_over_limit") !=
                         std::string::npos);
        })});

}  // namespace
}  // namespace acacialug::gateway
