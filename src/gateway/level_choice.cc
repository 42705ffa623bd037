#include "gateway/level_choice.h"

#include <algorithm>

namespace acacialug::gateway {
namespace {

// The level that `unseen` fills the lowest of `loads` up to.
double LevelOf(std::vector<double> loads, double unseen) {
  std::sort(loads.begin(), loads.end());
  double sum = 0;
  double level = loads.front();
  for (std::size_t filled = 0; filled < loads.size(); ++filled) {
    // Those below this one are not filled up to it.
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
  const double level = LevelOf(loads, unseen);
  double left = random.Unit() * unseen;
  for (std::size_t at = 0; at < loads.size(); ++at) {
    left -= std::max(0.0, level - loads[at]);
    if (left < 0) {
      return at;
    }
  }
  return static_cast<std::size_t>(std::min_element(loads.begin(), loads.end()) -
                                  loads.begin());
}

}  // namespace acacialug::gateway
