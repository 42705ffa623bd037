#include "framework/settings/internal/document.h"

#include <algorithm>
#include <utility>

#include "framework/settings/reader.h"

namespace acacialug::settings::internal {
namespace {

constexpr std::size_t kMaximumQuotedBytes = 80;

std::string Printable(std::string_view text) {
  std::string printable(text);
  std::replace_if(
      printable.begin(), printable.end(),
      [](unsigned char byte) { return byte < 0x20 || byte == 0x7f; }, '?');
  return printable;
}

bool IsBareKey(std::string_view key) {
  return !key.empty() && key.find_first_not_of(
                             "abcdefghijklmnopqrstuvwxyz"
                             "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-") ==
                             std::string_view::npos;
}

}  // namespace

std::string_view TypeName(const toml::node& node) {
  switch (node.type()) {
    case toml::node_type::table:
      return "a table";
    case toml::node_type::array:
      return "an array";
    case toml::node_type::string:
      return "a string";
    case toml::node_type::integer:
      return "an integer";
    case toml::node_type::floating_point:
      return "a number with a fraction";
    case toml::node_type::boolean:
      return "a boolean";
    default:
      return "a date or time";
  }
}

std::string Quoted(std::string_view text) {
  const bool cut = text.size() > kMaximumQuotedBytes;
  return "\"" + Printable(text.substr(0, kMaximumQuotedBytes)) +
         (cut ? "...\"" : "\"");
}

void Document::Parse(std::string_view text) {
  if (text.size() > Reader::kMaximumBytes) {
    this->ReportWhole(ResultCode::kSettingsUnreadable,
                      "expected at most " +
                          std::to_string(Reader::kMaximumBytes) +
                          " bytes, found " + std::to_string(text.size()));
    return;
  }
  // The Debian library is built with exceptions; they end here.
  try {
    this->root = toml::parse(text);
  } catch (const toml::parse_error& error) {
    this->unusable = true;
    this->Add(ResultCode::kSettingsSyntax, error.source().begin, "",
              "expected valid TOML: " +
                  Printable(std::string_view(error.description())));
  }
}

void Document::ReportWhole(ResultCode code, std::string expected) {
  this->unusable = true;
  this->Add(code, {}, "", std::move(expected));
}

std::size_t Document::TableAt(const toml::table* node,
                              const std::string& path,
                              bool muted) {
  const auto [place, added] =
      this->indexes.try_emplace({node, path}, this->tables.size());
  if (!added) {
    return place->second;
  }
  this->tables.push_back({.node = node, .path = path, .muted = muted});
  return this->tables.size() - 1;
}

const toml::node* Document::Find(std::size_t table, std::string_view key) {
  this->MarkKnown(table, key);
  const toml::table* node = this->tables[table].node;
  return node == nullptr ? nullptr : node->get(key);
}

void Document::MarkKnown(std::size_t table, std::string_view key) {
  this->tables[table].known.emplace(key);
}

std::string Document::PathOf(std::size_t table, std::string_view key) const {
  std::string path = this->tables[table].path;
  if (key.empty()) {
    return path;
  }
  path += path.empty() ? "" : ".";
  return path + (IsBareKey(key) ? std::string(key) : Quoted(key));
}

void Document::Report(std::size_t table,
                      std::string_view key,
                      ResultCode code,
                      std::string expected) {
  const TableState& state = this->tables[table];
  if (state.muted) {
    return;
  }
  toml::source_position place{};
  if (state.node != nullptr) {
    const toml::node* value = state.node->get(key);
    place =
        value != nullptr ? value->source().begin : state.node->source().begin;
  }
  this->Add(code, place, this->PathOf(table, key), std::move(expected));
}

std::vector<Problem> Document::Finish() {
  if (!this->unusable) {
    for (const TableState& state : this->tables) {
      this->ReportUnknownKeys(state);
    }
  }
  std::stable_sort(this->problems.begin(), this->problems.end(),
                   [](const Problem& left, const Problem& right) {
                     return std::pair(left.line, left.column) <
                            std::pair(right.line, right.column);
                   });
  return this->problems;
}

void Document::ReportUnknownKeys(const TableState& state) {
  if (state.node == nullptr || state.muted) {
    return;
  }
  std::string known;
  for (const std::string& key : state.known) {
    known += (known.empty() ? "" : ", ") + key;
  }
  for (const auto& [key, value] : *state.node) {
    if (!state.known.contains(key.str())) {
      const std::string path = state.path.empty() ? "" : state.path + ".";
      this->Add(ResultCode::kSettingsUnknownKey, key.source().begin,
                path + (IsBareKey(key.str()) ? std::string(key.str())
                                             : Quoted(key.str())),
                known.empty() ? "expected no keys here"
                              : "expected one of: " + known);
    }
  }
}

void Document::Add(ResultCode code,
                   const toml::source_position& place,
                   std::string key,
                   std::string expected) {
  if (this->problems.size() < Reader::kMaximumProblems) {
    this->problems.push_back({.code = code,
                              .source = this->source,
                              .line = place.line,
                              .column = place.column,
                              .key = std::move(key),
                              .expected = std::move(expected)});
  }
}

}  // namespace acacialug::settings::internal
