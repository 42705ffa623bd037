#include <cstdint>
#include <string>
#include <string_view>

#include "framework/settings/reader.h"
#include "framework/settings/units.h"

namespace acacialug::settings {
namespace {

// Asks a table for each of its keys in every way, to a bounded depth.
void ReadAll(const Table& table, int depth) {
  for (const std::string& key : table.Keys()) {
    (void)table.String(key, {.fallback = "x", .maximum_bytes = 8});
    (void)table.Integer(key, {.minimum = -5, .maximum = 5});
    (void)table.Number(key, {.minimum = 0, .maximum = 1});
    (void)table.Bool(key);
    (void)table.Duration(key, {.maximum = 1h});
    (void)table.Bytes(key, {.maximum = 1024});
    (void)table.StringList(key, {.maximum_count = 2});
    if (depth > 0) {
      ReadAll(table.Child(key), depth - 1);
      for (const Table& element : table.Tables(key)) {
        ReadAll(element, depth - 1);
      }
    }
  }
}

// A fault stops the fuzzer by a trap.
void Require(bool condition) {
  if (!condition) {
    __builtin_trap();
  }
}

}  // namespace
}  // namespace acacialug::settings

// Whatever the text is, reading it ends, every problem has a number and one
// line, and a duration that reads is written back as one that reads alike.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace acacialug::settings;
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  Reader reader = Reader::FromText("fuzz", text);
  ReadAll(reader.Root(), /*depth=*/3);
  const auto problems = reader.Finish();
  Require(problems.size() <= Reader::kMaximumProblems);
  for (const Problem& problem : problems) {
    Require(problem.code != acacialug::ResultCode::kOk);
    Require(ToString(problem).find('\n') == std::string::npos);
  }
  if (const auto duration = ParseDuration(text)) {
    Require(ParseDuration(ToString(*duration)) == duration);
  }
  return 0;
}
