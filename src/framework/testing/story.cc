#include "framework/testing/story.h"

#include <cppunit/TestCase.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/TestFactory.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <memory>
#include <utility>

namespace acacialug::testing {
namespace {

class LeafTest : public CppUnit::TestCase {
 public:
  LeafTest(const std::string& name, std::function<void()> test_body)
      : CppUnit::TestCase(name), body(std::move(test_body)) {}

  void runTest() override { this->body(); }

 private:
  std::function<void()> body;
};

CppUnit::Test* MakeTest(const Section& section, const std::string& prefix) {
  const std::string full_name = prefix + section.name;
  if (section.body) {
    return new LeafTest(full_name, section.body);
  }
  auto* suite = new CppUnit::TestSuite(full_name);
  for (const Section& child : section.children) {
    suite->addTest(MakeTest(child, full_name + ", "));
  }
  return suite;
}

class StoryFactory : public CppUnit::TestFactory {
 public:
  explicit StoryFactory(Section root_section) : root(std::move(root_section)) {}

  CppUnit::Test* makeTest() override { return MakeTest(this->root, ""); }

 private:
  Section root;
};

}  // namespace

Section It(std::string name, std::function<void()> body) {
  return Section(std::move(name), std::move(body));
}

Story::Story(std::string name, std::vector<Section> sections) {
  // The registry keeps the factory until the program ends.
  static std::vector<std::unique_ptr<StoryFactory>> factories;
  factories.push_back(std::make_unique<StoryFactory>(
      Section(std::move(name), std::move(sections))));
  CppUnit::TestFactoryRegistry::getRegistry().registerFactory(
      factories.back().get());
}

}  // namespace acacialug::testing
