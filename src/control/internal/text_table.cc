#include "control/internal/text_table.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace acacialug::control {
namespace {

constexpr std::size_t kGap = 2;

std::string Shown(const std::string& cell) {
  std::string shown = cell.empty() ? "-" : cell;
  std::replace_if(
      shown.begin(), shown.end(),
      [](unsigned char symbol) { return symbol < ' ' || symbol == 0x7f; }, '?');
  return shown;
}

}  // namespace

std::string TextTable::Render() const {
  std::vector<std::size_t> widths(this->rows.front().size(), 0);
  for (const std::vector<std::string>& row : this->rows) {
    for (std::size_t at = 0; at < row.size(); ++at) {
      widths[at] = std::max(widths[at], Shown(row[at]).size());
    }
  }
  std::string text;
  for (const std::vector<std::string>& row : this->rows) {
    for (std::size_t at = 0; at < row.size(); ++at) {
      std::string cell = Shown(row[at]);
      if (at + 1 < row.size()) {
        cell.resize(widths[at] + kGap, ' ');
      }
      text += cell;
    }
    text += "\n";
  }
  return text;
}

std::string ShortDuration(Duration duration) {
  std::array<char, 32> text{};
  if (duration < 1ms) {
    std::snprintf(text.data(), text.size(), "%lld us",
                  static_cast<long long>(duration.count()));
  } else if (duration < 1s) {
    std::snprintf(text.data(), text.size(), "%.1f ms",
                  Seconds(duration) * 1000.0);
  } else {
    std::snprintf(text.data(), text.size(), "%.3f s", Seconds(duration));
  }
  return text.data();
}

}  // namespace acacialug::control
