#include "framework/global/hex_text.h"

#include <cppunit/extensions/HelperMacros.h>

#include "framework/testing/story.h"

namespace acacialug {
namespace {

using testing::It;

const testing::Story kStory(
    "a number in hexadecimal digits",
    {It("is written with all of its digits, and read back",
        [] {
          CPPUNIT_ASSERT_EQUAL(std::string("00000000000000ab"), HexText(0xab));
          CPPUNIT_ASSERT_EQUAL(std::string("fedcba9876543210"),
                               HexText(0xfedcba9876543210));
          for (const std::uint64_t number :
               {std::uint64_t{0}, std::uint64_t{0xab}, UINT64_MAX}) {
            CPPUNIT_ASSERT(ReadHex(HexText(number)) == number);
          }
        }),
     It("is not read from anything else", [] {
       for (const char* const text :
            {"", "x", "-1", "0x1", " 1", "1 ", "11111111111111111"}) {
         CPPUNIT_ASSERT(!ReadHex(text).has_value());
       }
     })});

}  // namespace
}  // namespace acacialug
