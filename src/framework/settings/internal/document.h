#ifndef FRAMEWORK_SETTINGS_INTERNAL_DOCUMENT_H_
#define FRAMEWORK_SETTINGS_INTERNAL_DOCUMENT_H_

#include <toml++/toml.h>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "framework/settings/types/problem.h"

namespace acacialug::settings::internal {

// A parsed text, what was asked of it, and the problems found. Not thread
// safe.
class Document {
 public:
  explicit Document(std::string source_name) : source(std::move(source_name)) {}

  // Keeps a syntax error as the one problem.
  void Parse(std::string_view text);

  // Reports a problem of the text as a whole.
  void ReportWhole(ResultCode code, std::string expected);

  // The state index of a table node; the same node gives the same index. A
  // null node is an absent table. A muted table reports nothing: its own
  // place was reported already.
  std::size_t TableAt(const toml::table* node,
                      const std::string& path,
                      bool muted);
  std::size_t Root() { return this->TableAt(&this->root, "", this->unusable); }

  // The node under `key`, or null; marks the key as known.
  const toml::node* Find(std::size_t table, std::string_view key);

  // A key that no getter asked for stays unknown.
  void MarkKnown(std::size_t table, std::string_view key);

  const toml::table* node(std::size_t table) const {
    return this->tables[table].node;
  }
  bool muted(std::size_t table) const { return this->tables[table].muted; }
  std::string PathOf(std::size_t table, std::string_view key) const;

  void Report(std::size_t table,
              std::string_view key,
              ResultCode code,
              std::string expected);

  std::vector<Problem> Finish();

 private:
  struct TableState {
    const toml::table* node;
    std::string path;
    bool muted;
    std::set<std::string, std::less<>> known;
  };

  void Add(ResultCode code,
           const toml::source_position& place,
           std::string key,
           std::string expected);
  void ReportUnknownKeys(const TableState& state);

  std::string source;
  toml::table root;
  bool unusable = false;
  std::vector<TableState> tables;
  // A manifest has a table for each of thousands of endpoints.
  std::map<std::pair<const toml::table*, std::string>, std::size_t> indexes;
  std::vector<Problem> problems;
};

// The TOML name of a node's type, with an article: "a string". Thread safe.
std::string_view TypeName(const toml::node& node);

// Text in quotes, shortened, with control characters replaced. Thread safe.
std::string Quoted(std::string_view text);

}  // namespace acacialug::settings::internal

#endif  // FRAMEWORK_SETTINGS_INTERNAL_DOCUMENT_H_
