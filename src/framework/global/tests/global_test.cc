#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/result_code.h"
#include "framework/testing/story.h"

namespace acacialug {
namespace {

using testing::It;
using testing::Section;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

const testing::Story kResultCodes(
    "result codes",
    {It("stand in docs/RESULT_CODES.md, each with number, name and meaning",
        [] {
          const std::string page =
              ReadFile(ACACIALUG_SOURCE_DIR "/docs/RESULT_CODES.md");
          std::size_t rows = 0;
          for (const ResultCodeRow& row : ResultCodeTable()) {
            const std::string line =
                "| " + std::to_string(static_cast<int>(row.code)) + " | " +
                std::string(row.name) + " | " + std::string(row.meaning) + " |";
            CPPUNIT_ASSERT_MESSAGE(line, page.find(line) != std::string::npos);
            ++rows;
          }
          std::size_t lines = 0;
          std::istringstream stream(page);
          for (std::string line; std::getline(stream, line);) {
            lines +=
                line.starts_with("| ") && line.find("---") == std::string::npos;
          }
          CPPUNIT_ASSERT_EQUAL(rows + 1, lines);  // and the table's head
        })});

const testing::Story kIdentifiers(
    "identifiers",
    {Section("an attempt id",
             {It("reads back from its own text",
                 [] {
                   const AttemptId id{
                       .request = {.high = 0x1234, .low = 0xffffffffffffffff},
                       .attempt = AttemptNumber(3),
                       .entry = Incarnation(77)};
                   CPPUNIT_ASSERT(ParseAttemptId(ToString(id)) == id);
                 }),
              It("does not read from any other text", [] {
                for (const char* text :
                     {"", "-", "--", "1-2-3", "x-1-1",
                      "00000000000012340000000000001234-1-",
                      "00000000000012340000000000001234-1-2x"}) {
                  CPPUNIT_ASSERT_MESSAGE(text, !ParseAttemptId(text));
                }
              })})});

}  // namespace
}  // namespace acacialug
