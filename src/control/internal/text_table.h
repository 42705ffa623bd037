#ifndef CONTROL_INTERNAL_TEXT_TABLE_H_
#define CONTROL_INTERNAL_TEXT_TABLE_H_

#include <string>
#include <vector>

#include "framework/global/types/instant.h"

namespace acacialug::control {

// Rows under a head, in aligned columns, for a terminal. Not thread safe.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> head) : rows({std::move(head)}) {}

  // Precondition: as many cells as the head has.
  void Add(std::vector<std::string> cells) {
    this->rows.push_back(std::move(cells));
  }

  // An empty cell shows as "-" and a control character as "?": names come from
  // other hosts, and their control characters could otherwise send commands to
  // the terminal.
  std::string Render() const;

 private:
  std::vector<std::vector<std::string>> rows;
};

// "450 us", "12.3 ms", "1.234 s". Thread safe.
std::string ShortDuration(Duration duration);

}  // namespace acacialug::control

#endif  // CONTROL_INTERNAL_TEXT_TABLE_H_
