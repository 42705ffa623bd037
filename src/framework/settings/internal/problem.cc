#include "framework/settings/types/problem.h"

namespace acacialug::settings {

std::string ToString(const Problem& problem) {
  std::string text = problem.source;
  if (problem.line > 0) {
    text += ":" + std::to_string(problem.line) + ":" +
            std::to_string(problem.column);
  }
  text += ": " + (problem.key.empty() ? "" : problem.key + ": ");
  return text + problem.expected + " (" +
         std::to_string(static_cast<int>(problem.code)) + " " +
         std::string(ResultCodeName(problem.code)) + ")";
}

Error ToError(const std::vector<Problem>& problems) {
  std::string detail;
  for (const Problem& problem : problems) {
    detail += (detail.empty() ? "" : "\n") + ToString(problem);
  }
  return {problems.front().code, detail};
}

}  // namespace acacialug::settings
