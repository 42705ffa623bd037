#include "gateway/level_choice.h"

#include <algorithm>

namespace acacialug::gateway {
namespace {

// The level to which `unseen` fills up the lowest of `loads`.
double FillLevel(std::vector<double> loads, double unseen) {
  std::sort(loads.begin(), loads.end());
  double sum = 0;
  double level = loads.front();
  for (std::size_t filled = 0; filled < loads.size(); ++filled) {
    // The lower loads are not filled up to this one.
    if (level <= loads[filled] && filled > 0) {
      break;
    }
    sum += loads[filled];
    level = (sum + unseen) / static_cast<double>(filled + 1);
  }
  return level;
}

}  // namespace

std::optional<std::size_t> ChooseByLevel(const std::vector<double>& loads,
                                         double unseen,
                                         RandomSource& random) {
  if (loads.empty()) {
    return std::nullopt;
  }
  const double level = FillLevel(loads, unseen);
  double left = random.Unit() * unseen;
  for (std::size_t index = 0; index < loads.size(); ++index) {
    left -= std::max(0.0, level - loads[index]);
    if (left < 0) {
      return index;
    }
  }
  return static_cast<std::size_t>(std::min_element(loads.begin(), loads.end()) -
                                  loads.begin());
}

}  // namespace acacialug::gateway
