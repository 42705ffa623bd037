#ifndef FORECAST_TYPES_REPORTED_VALUE_H_
#define FORECAST_TYPES_REPORTED_VALUE_H_

#include <cstdint>

namespace acacialug::forecast {

// A learned value as one process reports it to another.
struct ReportedValue {
  double value = 0;
  // 0: nothing was learned, and `value` has no meaning.
  std::uint32_t observations = 0;

  friend bool operator==(const ReportedValue&, const ReportedValue&) = default;
};

}  // namespace acacialug::forecast

#endif  // FORECAST_TYPES_REPORTED_VALUE_H_
