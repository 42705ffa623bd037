#ifndef SCENARIO_INTERNAL_PROCESS_NAME_H_
#define SCENARIO_INTERNAL_PROCESS_NAME_H_

#include <string>
#include <utility>

namespace acacialug::scenario {

// "entry e1" -> {"entry", "e1"}.
inline std::pair<std::string, std::string> SplitName(
    const std::string& process) {
  const std::size_t space = process.find(' ');
  return space == std::string::npos
             ? std::pair<std::string, std::string>()
             : std::pair(process.substr(0, space), process.substr(space + 1));
}

}  // namespace acacialug::scenario

#endif  // SCENARIO_INTERNAL_PROCESS_NAME_H_
