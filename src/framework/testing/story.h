#ifndef FRAMEWORK_TESTING_STORY_H_
#define FRAMEWORK_TESTING_STORY_H_

#include <cppunit/TestAssert.h>

#include <functional>
#include <string>
#include <vector>

namespace acacialug::testing {

// One section of a story: nested sections become nested CppUnit suites, and
// their names, read from the outside in, form a sentence.
//
//   const Story kStory = Describe("a decode pool", {
//       Section("that is full", {
//           It("refuses a reservation as not run", [] { ... }),
//       }),
//   });
//
// Each `It` body runs on its own; it builds what it needs and shares nothing.
struct Section {
  std::string name;
  std::function<void()> body;     // empty for a section that only nests
  std::vector<Section> children;  // empty for a leaf

  Section(std::string section_name, std::vector<Section> nested)
      : name(std::move(section_name)), children(std::move(nested)) {}
  Section(std::string section_name, std::function<void()> test_body)
      : name(std::move(section_name)), body(std::move(test_body)) {}
};

// A leaf: one test. The body fails by a CppUnit assertion or an exception.
Section It(std::string name, std::function<void()> body);

// A leaf for each row of a table: `body` gets the row; `name_of` gives the
// leaf's name. For fault cases that differ only in their values.
template <typename Row>
Section ForEach(std::string name,
                std::vector<Row> rows,
                std::function<std::string(const Row&)> name_of,
                std::function<void(const Row&)> body) {
  std::vector<Section> leaves;
  leaves.reserve(rows.size());
  for (const Row& row : rows) {
    leaves.push_back(It(name_of(row), [row, body] { body(row); }));
  }
  return Section(std::move(name), std::move(leaves));
}

// Registers a story with the program's runner. Define one at namespace scope
// in each test file. Not thread safe; runs before main.
class Story {
 public:
  Story(std::string name, std::vector<Section> sections);
};

}  // namespace acacialug::testing

#endif  // FRAMEWORK_TESTING_STORY_H_
