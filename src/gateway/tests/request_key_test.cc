#include "gateway/request_key.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <vector>

#include "framework/testing/story.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::It;

WorkRequest Request() {
  return {
      .id = "r1",
      .host = "h.example",
      .message = {.method = "POST", .target = "/a/b?c=1", .body = "a prompt"}};
}

const acacialug::testing::Story kStory(
    "the key of a request",
    {It("is the same for each attempt, whatever its id and its deadline",
        [] {
          WorkRequest again = Request();
          again.id = "r2";
          again.deadline = 3s;
          again.resume_after = 7;
          again.message.headers.push_back({"Deadline", "3000"});
          CPPUNIT_ASSERT(RequestKeyOf(Request()) == RequestKeyOf(again));
        }),
     It("differs for another customer, method, host, target or body", [] {
       for (const auto& change : std::vector<std::function<void(WorkRequest&)>>{
                [](WorkRequest& other) { other.customer = CustomerName("c1"); },
                [](WorkRequest& other) { other.message.method = "PUT"; },
                [](WorkRequest& other) { other.host = "i.example"; },
                [](WorkRequest& other) { other.message.target = "/a/b"; },
                [](WorkRequest& other) { other.message.body = "a promp"; },
                [](WorkRequest& other) {
                  other.message.target = "/a/b?c=1a";
                  other.message.body = " prompt";
                }}) {
         WorkRequest other = Request();
         change(other);
         CPPUNIT_ASSERT(!(RequestKeyOf(Request()) == RequestKeyOf(other)));
       }
     })});

}  // namespace
}  // namespace acacialug::gateway
