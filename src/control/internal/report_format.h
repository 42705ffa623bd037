#ifndef CONTROL_INTERNAL_REPORT_FORMAT_H_
#define CONTROL_INTERNAL_REPORT_FORMAT_H_

#include <cstdint>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "control/burn_report.h"
#include "framework/global/types/instant.h"

namespace acacialug::control {

// As std::snprintf, of any length. Thread safe.
template <typename... Values>
std::string Format(const char* form, Values... values) {
  std::string text(
      static_cast<std::size_t>(std::snprintf(nullptr, 0, form, values...)),
      '\0');
  std::snprintf(text.data(), text.size() + 1, form, values...);
  return text;
}

// "2 h 5 min": the duration in its two largest units. Thread safe.
std::string DurationText(Duration duration);

// "first_token 2.0 s", or the target's name alone. Thread safe.
std::string TargetText(const BurnRow& row);

// The largest count first: "overloaded 12, late_first_token 3". Thread safe.
std::string CausesText(const std::map<std::string, std::uint64_t>& causes);

// One sentence for each gap of the sources; empty when no gap is known. Thread
// safe.
std::vector<std::string> GapTexts(const BurnReport& report);

// The sources of the figures, in one sentence. Thread safe.
std::string SourcesText(const BurnReport& report);

}  // namespace acacialug::control

#endif  // CONTROL_INTERNAL_REPORT_FORMAT_H_
