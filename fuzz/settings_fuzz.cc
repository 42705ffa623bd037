#include <string>

#include "framework/settings/reader.h"
#include "framework/settings/units.h"
#include "fuzz_support.h"

namespace acacialug::settings {
namespace {

// Reads each key of a table as every type, to a bounded depth.
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

}  // namespace
}  // namespace acacialug::settings

// For any text, parsing terminates, every problem has a number and one line,
// and a duration that parses is written as text that parses to the same
// duration.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace acacialug;
  const std::string_view text = fuzz::Text(data, size);
  settings::Reader reader = settings::Reader::FromText("fuzz", text);
  settings::ReadAll(reader.Root(), /*depth=*/3);
  const auto problems = reader.Finish();
  fuzz::Require(problems.size() <= settings::Reader::kMaximumProblems);
  for (const settings::Problem& problem : problems) {
    fuzz::Require(problem.code != ResultCode::kOk);
    fuzz::Require(ToString(problem).find('\n') == std::string::npos);
  }
  if (const auto duration = settings::ParseDuration(text)) {
    fuzz::Require(settings::ParseDuration(settings::ToString(*duration)) ==
                  duration);
  }
  return 0;
}
