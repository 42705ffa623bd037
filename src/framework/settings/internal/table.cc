#include "framework/settings/table.h"

#include <cmath>
#include <sstream>
#include <utility>

#include "framework/settings/internal/document.h"
#include "framework/settings/units.h"

namespace acacialug::settings {
namespace {

using internal::Document;
using internal::Quoted;
using internal::TypeName;

constexpr std::string_view kDurationForm =
    "a duration as text, a whole number and us, ms, s, min or h";
constexpr std::string_view kBytesForm =
    "a size in bytes, or as text a whole number and B, KiB, MiB or GiB";

void ReportMissing(Document& document,
                   std::size_t table,
                   std::string_view key,
                   std::string_view expected) {
  document.Report(table, key, ResultCode::kSettingsMissingKey,
                  "expected " + std::string(expected) + ", found nothing");
}

void ReportType(Document& document,
                std::size_t table,
                std::string_view key,
                std::string_view expected,
                const toml::node& found) {
  document.Report(table, key, ResultCode::kSettingsWrongType,
                  "expected " + std::string(expected) + ", found " +
                      std::string(TypeName(found)));
}

void ReportRange(Document& document,
                 std::size_t table,
                 std::string_view key,
                 const std::string& low,
                 const std::string& high,
                 const std::string& found) {
  document.Report(
      table, key, ResultCode::kSettingsOutOfRange,
      "expected a value from " + low + " to " + high + ", found " + found);
}

std::string NumberText(double number) {
  std::ostringstream text;
  text << number;
  return text.str();
}

}  // namespace

bool Table::Has(std::string_view key) const {
  return this->document->Find(this->index, key) != nullptr;
}

std::vector<std::string> Table::Keys() const {
  std::vector<std::string> keys;
  if (const toml::table* node = this->document->node(this->index)) {
    for (const auto& [key, value] : *node) {
      keys.emplace_back(key.str());
    }
  }
  return keys;
}

std::optional<std::string> Table::FindText(std::string_view key,
                                           bool optional,
                                           std::string_view expected) const {
  const toml::node* node = this->document->Find(this->index, key);
  if (node == nullptr) {
    if (!optional) {
      ReportMissing(*this->document, this->index, key, expected);
    }
    return std::nullopt;
  }
  const auto* text = node->as_string();
  if (text == nullptr) {
    ReportType(*this->document, this->index, key, expected, *node);
    return std::nullopt;
  }
  return text->get();
}

void Table::ReportValue(std::string_view key,
                        std::string_view expected,
                        std::string_view found) const {
  this->document->Report(
      this->index, key, ResultCode::kSettingsOutOfRange,
      "expected " + std::string(expected) + ", found " + Quoted(found));
}

std::string Table::String(std::string_view key, const StringRule& rule) const {
  const std::optional<std::string> text =
      this->FindText(key, rule.fallback.has_value(), "a string");
  if (!text) {
    return rule.fallback.value_or("");
  }
  if (text->size() < rule.minimum_bytes || text->size() > rule.maximum_bytes) {
    ReportRange(*this->document, this->index, key,
                std::to_string(rule.minimum_bytes),
                std::to_string(rule.maximum_bytes) + " bytes",
                std::to_string(text->size()) + " bytes");
  }
  return *text;
}

std::int64_t Table::Integer(std::string_view key,
                            const IntegerRule& rule) const {
  const toml::node* node = this->document->Find(this->index, key);
  if (node == nullptr) {
    if (!rule.fallback) {
      ReportMissing(*this->document, this->index, key, "an integer");
    }
    return rule.fallback.value_or(0);
  }
  const auto* integer = node->as_integer();
  if (integer == nullptr) {
    ReportType(*this->document, this->index, key, "an integer", *node);
    return rule.fallback.value_or(0);
  }
  const std::int64_t value = integer->get();
  if (value < rule.minimum || value > rule.maximum) {
    ReportRange(*this->document, this->index, key, std::to_string(rule.minimum),
                std::to_string(rule.maximum), std::to_string(value));
  }
  return value;
}

double Table::Number(std::string_view key, const NumberRule& rule) const {
  const toml::node* node = this->document->Find(this->index, key);
  if (node == nullptr) {
    if (!rule.fallback) {
      ReportMissing(*this->document, this->index, key, "a number");
    }
    return rule.fallback.value_or(0.0);
  }
  if (!node->is_number()) {
    ReportType(*this->document, this->index, key, "a number", *node);
    return rule.fallback.value_or(0.0);
  }
  const double value = node->value<double>().value_or(0.0);
  // TOML has nan, which no comparison catches.
  if (!std::isfinite(value) || value < rule.minimum || value > rule.maximum) {
    ReportRange(*this->document, this->index, key, NumberText(rule.minimum),
                NumberText(rule.maximum), NumberText(value));
    return rule.fallback.value_or(0.0);
  }
  return value;
}

bool Table::Bool(std::string_view key, const BoolRule& rule) const {
  const toml::node* node = this->document->Find(this->index, key);
  if (node == nullptr) {
    if (!rule.fallback) {
      ReportMissing(*this->document, this->index, key, "a boolean");
    }
    return rule.fallback.value_or(false);
  }
  const auto* boolean = node->as_boolean();
  if (boolean == nullptr) {
    ReportType(*this->document, this->index, key, "a boolean", *node);
    return rule.fallback.value_or(false);
  }
  return boolean->get();
}

acacialug::Duration Table::Duration(std::string_view key,
                                    const DurationRule& rule) const {
  const std::optional<std::string> text =
      this->FindText(key, rule.fallback.has_value(), kDurationForm);
  if (!text) {
    return rule.fallback.value_or(rule.minimum);
  }
  const auto value = ParseDuration(*text);
  if (!value) {
    this->ReportValue(key, kDurationForm, *text);
    return rule.fallback.value_or(rule.minimum);
  }
  if (*value < rule.minimum || *value > rule.maximum) {
    ReportRange(*this->document, this->index, key, ToString(rule.minimum),
                ToString(rule.maximum), *text);
  }
  return *value;
}

std::uint64_t Table::Bytes(std::string_view key, const BytesRule& rule) const {
  const toml::node* node = this->document->Find(this->index, key);
  std::optional<std::uint64_t> value;
  std::string found;
  if (node != nullptr && node->is_integer()) {
    const std::int64_t integer = node->value<std::int64_t>().value_or(-1);
    found = std::to_string(integer);
    if (integer >= 0) {
      value = static_cast<std::uint64_t>(integer);
    }
  } else if (const auto text =
                 this->FindText(key, rule.fallback.has_value(), kBytesForm)) {
    found = *text;
    value = ParseBytes(*text);
  } else {
    return rule.fallback.value_or(rule.minimum);
  }
  if (!value) {
    this->ReportValue(key, kBytesForm, found);
    return rule.fallback.value_or(rule.minimum);
  }
  if (*value < rule.minimum || *value > rule.maximum) {
    ReportRange(*this->document, this->index, key, std::to_string(rule.minimum),
                std::to_string(rule.maximum), found);
  }
  return *value;
}

std::vector<std::string> Table::StringList(std::string_view key,
                                           const StringListRule& rule) const {
  constexpr std::string_view kExpected = "an array of strings";
  const toml::node* node = this->document->Find(this->index, key);
  if (node == nullptr) {
    if (!rule.fallback) {
      ReportMissing(*this->document, this->index, key, kExpected);
    }
    return rule.fallback.value_or(std::vector<std::string>{});
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    ReportType(*this->document, this->index, key, kExpected, *node);
    return {};
  }
  std::vector<std::string> texts;
  for (const toml::node& element : *array) {
    if (const auto* text = element.as_string()) {
      texts.push_back(text->get());
    } else {
      ReportType(*this->document, this->index, key, kExpected, element);
    }
  }
  if (array->size() < rule.minimum_count ||
      array->size() > rule.maximum_count) {
    ReportRange(*this->document, this->index, key,
                std::to_string(rule.minimum_count),
                std::to_string(rule.maximum_count) + " elements",
                std::to_string(array->size()) + " elements");
  }
  return texts;
}

Table Table::Child(std::string_view key, const TableRule& rule) const {
  const toml::node* node = this->document->Find(this->index, key);
  bool muted = this->document->muted(this->index);
  if (node == nullptr && rule.required) {
    ReportMissing(*this->document, this->index, key, "a table");
    muted = true;
  }
  if (node != nullptr && !node->is_table()) {
    ReportType(*this->document, this->index, key, "a table", *node);
    muted = true;
  }
  const toml::table* child = node == nullptr ? nullptr : node->as_table();
  return {this->document,
          this->document->TableAt(child, this->PathOf(key), muted)};
}

std::vector<Table> Table::Tables(std::string_view key,
                                 const TablesRule& rule) const {
  constexpr std::string_view kExpected = "an array of tables";
  const toml::node* node = this->document->Find(this->index, key);
  const toml::array* array = node == nullptr ? nullptr : node->as_array();
  if (node != nullptr && array == nullptr) {
    ReportType(*this->document, this->index, key, kExpected, *node);
    return {};
  }
  std::vector<Table> tables;
  const std::size_t count = array == nullptr ? 0 : array->size();
  for (std::size_t position = 0; position < count; ++position) {
    const toml::node& element = (*array)[position];
    if (!element.is_table()) {
      ReportType(*this->document, this->index, key, kExpected, element);
      continue;
    }
    const std::string path =
        this->PathOf(key) + "[" + std::to_string(position) + "]";
    tables.push_back(
        Table(this->document,
              this->document->TableAt(element.as_table(), path,
                                      this->document->muted(this->index))));
  }
  if (count < rule.minimum_count || count > rule.maximum_count) {
    if (node == nullptr) {
      ReportMissing(*this->document, this->index, key, kExpected);
    } else {
      ReportRange(*this->document, this->index, key,
                  std::to_string(rule.minimum_count),
                  std::to_string(rule.maximum_count) + " tables",
                  std::to_string(count));
    }
  }
  return tables;
}

void Table::Report(std::string_view key,
                   ResultCode code,
                   std::string expected) const {
  this->document->Report(this->index, key, code, std::move(expected));
}

std::string Table::PathOf(std::string_view key) const {
  return this->document->PathOf(this->index, key);
}

}  // namespace acacialug::settings
