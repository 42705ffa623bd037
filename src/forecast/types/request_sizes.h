#ifndef FORECAST_TYPES_REQUEST_SIZES_H_
#define FORECAST_TYPES_REQUEST_SIZES_H_

#include <cstdint>

namespace acacialug::forecast {

// Mean sizes of the recent requests for a service at one process.
struct RequestSizes {
  double prompt_tokens = 0;
  double output_tokens = 0;    // expected
  std::uint32_t requests = 0;  // that the means cover

  friend bool operator==(const RequestSizes&, const RequestSizes&) = default;
};

}  // namespace acacialug::forecast

#endif  // FORECAST_TYPES_REQUEST_SIZES_H_
