#include "framework/http/request_target.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "framework/testing/story.h"

namespace acacialug::http {
namespace {

using acacialug::testing::ForEach;
using acacialug::testing::It;

struct Encoded {
  std::string text;
  std::string in_target;
};

// Guards against a text of another writer that ends or changes the target that
// it is a part of.
const std::vector<Encoded> kTexts = {
    {"az-AZ_09.~", "az-AZ_09.~"},
    {"a05&b=", "a05%26b%3D"},
    {"a02%#", "a02%25%23"},
    {"a02%20", "a02%2520"},
    {"a+b c", "a%2Bb%20c"},
    {"a/../b?c;d", "a%2F..%2Fb%3Fc%3Bd"},
    {"a\"\r\n\tb", "a%22%0D%0A%09b"},
    {std::string("\0\x7f\xc3\xa9\xff", 5), "%00%7F%C3%A9%FF"}};

const acacialug::testing::Story kTarget(
    "the target of a request",
    {ForEach<Encoded>(
         "keeps a text apart:",
         kTexts,
         [](const Encoded& row) { return row.in_target; },
         [](const Encoded& row) {
           CPPUNIT_ASSERT_EQUAL("/p?topic=t&after=" + row.in_target + "&part=0",
                                RequestTarget("/p")
                                    .Parameter("topic", "t")
                                    .Parameter("after", row.text)
                                    .Parameter("part", std::uint64_t{0})
                                    .text());
           CPPUNIT_ASSERT_EQUAL("/p/" + row.in_target,
                                RequestTarget("/p/").Segment(row.text).text());
         }),
     It("keeps a segment that would be a step through the path", [] {
       CPPUNIT_ASSERT_EQUAL(std::string("/p/%2E"),
                            RequestTarget("/p/").Segment(".").text());
       CPPUNIT_ASSERT_EQUAL(std::string("/p/%2E%2E"),
                            RequestTarget("/p/").Segment("..").text());
     })});

}  // namespace
}  // namespace acacialug::http
