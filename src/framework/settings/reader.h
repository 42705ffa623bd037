#ifndef FRAMEWORK_SETTINGS_READER_H_
#define FRAMEWORK_SETTINGS_READER_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "framework/global/types/result.h"
#include "framework/settings/table.h"
#include "framework/settings/types/problem.h"

namespace acacialug::settings {

// Reads one TOML text with checks, and collects every problem in place of
// stopping at the first. The way to use it:
//
//   Reader reader = Reader::FromFile(path);
//   Table root = reader.Root();
//   options.threads = root.Integer("threads", {.fallback = 2, .minimum = 1});
//   options.listen = root.Parsed<Address>("listen", {...});
//   const std::vector<Problem> problems = reader.Finish();
//
// Values read before Finish reported no problem are not to be used: a getter
// whose key is faulty gives a value within its rule's type, not its range.
// Not thread safe.
class Reader {
 public:
  // A text larger than this is refused before it is parsed.
  static constexpr std::size_t kMaximumBytes = std::size_t{16} << 20;
  // Problems beyond this number are dropped: a person mends the first ones.
  static constexpr std::size_t kMaximumProblems = 100;

  // A file that cannot be read, or is no TOML, gives a reader with that one
  // problem (kSettingsUnreadable, kSettingsSyntax) and an empty root.
  static Reader FromFile(const std::string& path);

  // `source` names the text in problems, as "manifest at offset 12".
  static Reader FromText(std::string source, std::string_view text);

  ~Reader();
  Reader(Reader&&) noexcept;
  Reader& operator=(Reader&&) noexcept;

  // The outermost table. Tables point into this reader, also after a move:
  // none may outlive it.
  Table Root();

  // All problems so far and one for each key that no getter asked for, in the
  // order of the text. Call it once, after the last getter.
  std::vector<Problem> Finish();

  // Finish() as a Status: see ToError.
  Status FinishStatus();

 private:
  explicit Reader(std::unique_ptr<internal::Document> parsed);

  std::unique_ptr<internal::Document> document;
};

}  // namespace acacialug::settings

#endif  // FRAMEWORK_SETTINGS_READER_H_
