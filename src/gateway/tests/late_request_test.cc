#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

#include "framework/testing/story.h"
#include "gateway/tests/gateway_simulation.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::ForEach;
using acacialug::testing::Section;
using testing::GatewaySimulation;

// Records the status of the answer.
class StatusResponder : public http::Responder {
 public:
  void SendWhole(const http::Response& response) override {
    this->status = response.status;
  }
  void BeginStream(int head_status, const http::Headers& /*headers*/) override {
    this->status = head_status;
  }
  void BeginUnframedStream(int head_status,
                           const http::Headers& headers) override {
    this->BeginStream(head_status, headers);
  }
  void SendData(std::string_view /*data*/) override {}
  void EndStream() override {}
  void Abort() override {}
  bool gone() const override { return false; }
  std::size_t unsent_bytes() const override { return 0; }
  void SetOnGone(std::function<void()> /*on_gone*/) override {}
  void SetOnDrained(std::function<void()> /*on_drained*/) override {}

  int status = 0;
};

// A gateway that reads a request with a deadline of 1,000 ms after the request
// has waited unread for `age`.
struct LateRequest : GatewaySimulation {
  explicit LateRequest(const std::string& path, Duration age) {
    this->Configure();
    this->AddEndpoint("p1", "plain", EndpointRole::kPlain);
    this->AddEndpoint("f1", "model", EndpointRole::kPrefill);
    this->AddEndpoint("d1", "model", EndpointRole::kDecode);
    this->core->Handle({.method = "POST",
                        .target = path,
                        .headers = {{"Host", "h.example"},
                                    {"Id", "a"},
                                    {"Size", "3000,900"},
                                    {"Deadline", "1000"}},
                        .age = age},
                       this->responder);
  }

  std::shared_ptr<StatusResponder> responder =
      std::make_shared<StatusResponder>();
};

const std::vector<std::string> kPaths = {"/once/a", "/idempotent/a",
                                         "/stream/a"};

std::string PathName(const std::string& path) {
  return path;
}

// Guards against a gateway that, after a process stall, forwards each request
// that waited in its sockets with the whole time that the caller allowed:
// endpoints then work on requests that their callers have given up.
const Section kTimeLeft = ForEach<std::string>(
    "forwards only the time that is left",
    {"/once/a", "/idempotent/a"},
    PathName,
    [](const std::string& path) {
      LateRequest simulation(path, 600ms);
      const auto call = simulation.Find(path);
      CPPUNIT_ASSERT(call != nullptr);
      CPPUNIT_ASSERT_EQUAL(
          std::string("400"),
          std::string(http::FindHeader(call->request.headers, "Left")
                          .value_or("none")));
    });

const Section kNoTimeLeft = ForEach<std::string>(
    "refuses a request without time left as not run",
    kPaths,
    PathName,
    [](const std::string& path) {
      LateRequest simulation(path, 1s);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, simulation.Calls().size());
      CPPUNIT_ASSERT_EQUAL(503, simulation.responder->status);
    });

const acacialug::testing::Story kLateRequests(
    "a gateway that reads a request late",
    {kTimeLeft, kNoTimeLeft});

}  // namespace
}  // namespace acacialug::gateway
