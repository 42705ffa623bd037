#ifndef FRAMEWORK_SETTINGS_TABLE_H_
#define FRAMEWORK_SETTINGS_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/result_code.h"
#include "framework/settings/types/rules.h"

namespace acacialug::settings {

namespace internal {
class Document;
}  // namespace internal

// One table of a settings text; a handle that is cheap to copy and must not
// outlive its Reader. Every getter marks its key as known, reports what is
// wrong with it, and returns the value, or else the fallback, or else an empty
// value. A table that is absent from the text acts as an empty one, so its
// required keys are reported by their whole path. Not thread safe.
class Table {
 public:
  // True when the text has this key; marks it as known.
  bool Has(std::string_view key) const;

  // The keys in the order of their names, for tables whose keys are names the
  // operator chose. Marks none as known.
  std::vector<std::string> Keys() const;

  std::string String(std::string_view key, const StringRule& rule = {}) const;
  std::int64_t Integer(std::string_view key,
                       const IntegerRule& rule = {}) const;
  // Takes integers too.
  double Number(std::string_view key, const NumberRule& rule = {}) const;
  bool Bool(std::string_view key, const BoolRule& rule = {}) const;
  acacialug::Duration Duration(std::string_view key,
                               const DurationRule& rule = {}) const;
  std::uint64_t Bytes(std::string_view key, const BytesRule& rule = {}) const;
  std::vector<std::string> StringList(std::string_view key,
                                      const StringListRule& rule = {}) const;

  // The table under `key`; an absent one gives an empty table.
  Table Child(std::string_view key, const TableRule& rule = {}) const;

  // The array of tables under `key`; empty when absent.
  std::vector<Table> Tables(std::string_view key,
                            const TablesRule& rule = {}) const;

  // Text that `rule.parse` reads.
  template <typename T>
  T Parsed(std::string_view key, const ParsedRule<T>& rule) const {
    const std::optional<std::string> text =
        this->FindText(key, rule.fallback.has_value(), rule.expected);
    if (text) {
      if (std::optional<T> value = rule.parse(*text)) {
        return *std::move(value);
      }
      this->ReportValue(key, rule.expected, *text);
    }
    return rule.fallback.value_or(T{});
  }

  // A list of texts, each read by `rule.parse`; faulty ones are left out.
  template <typename T>
  std::vector<T> ParsedList(std::string_view key,
                            const ParsedRule<T>& rule,
                            const StringListRule& list_rule = {}) const {
    std::vector<T> values;
    for (const std::string& text : this->StringList(key, list_rule)) {
      if (std::optional<T> value = rule.parse(text)) {
        values.push_back(*std::move(value));
      } else {
        this->ReportValue(key, rule.expected, text);
      }
    }
    return values;
  }

  // Text that is one of an enum's names; required without a fallback.
  template <typename Enum, std::size_t kSize>
  Enum Choice(std::string_view key,
              const EnumNames<Enum, kSize>& names,
              std::type_identity_t<std::optional<Enum>> fallback = {}) const {
    std::string expected = "one of";
    for (const auto& [value, name] : names) {
      expected += (value == names.front().first ? " \"" : ", \"") +
                  std::string(name) + "\"";
    }
    return this->Parsed<Enum>(key, {.parse =
                                        [&names](std::string_view text) {
                                          return ValueOf(names, text);
                                        },
                                    .expected = expected,
                                    .fallback = fallback});
  }

  // Reports a rule of the caller's that the value under `key` breaks, with the
  // key's place in the text. `expected` as "expected ..., found ...".
  void Report(std::string_view key,
              ResultCode code,
              std::string expected) const;

  // The whole path of a key of this table; of the table for an empty key.
  std::string PathOf(std::string_view key) const;

 private:
  friend class internal::Document;
  friend class Reader;

  Table(internal::Document* owner, std::size_t table_index)
      : document(owner), index(table_index) {}

  // The text under `key`; reports a missing key unless `optional`, and a value
  // that is no text.
  std::optional<std::string> FindText(std::string_view key,
                                      bool optional,
                                      std::string_view expected) const;
  // Reports a text outside its form.
  void ReportValue(std::string_view key,
                   std::string_view expected,
                   std::string_view found) const;

  internal::Document* document;
  std::size_t index;
};

}  // namespace acacialug::settings

#endif  // FRAMEWORK_SETTINGS_TABLE_H_
