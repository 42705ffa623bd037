#ifndef SCALE_INTERNAL_SWEEP_H_
#define SCALE_INTERNAL_SWEEP_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace acacialug::scale {

struct Point {
  double x = 0;
  double y = 0;
};

// A quantity as a linear function of the variable it depends on.
struct Row {
  std::string quantity;
  std::string unit;
  std::string x;
  std::vector<Point> points;  // medians of the runs
  double slope = 0;           // median of the runs' own slopes
  double intercept = 0;
  double slope_least = 0;
  double slope_greatest = 0;
  double spread = 0;  // (max slope - min slope) / |median slope|
  int runs = 0;
};

// One run at `x`; returns the quantity.
using Measure = std::function<double(std::size_t x)>;

struct Sweep {
  std::string quantity;
  std::string unit;
  std::string x;
  std::vector<std::size_t> xs;
  Measure measure;
  int runs = 7;
};

// Measures each x in each run, and fits a line to each run by least squares.
// Precondition: at least two different xs.
Row Fit(const Sweep& sweep);

// Processor time of this thread since its start, in microseconds. It excludes
// most effects of other work on the machine, but not those on caches.
double ThreadMicroseconds();

// Bytes allocated by malloc and not freed, including its overhead.
double HeapBytes();

}  // namespace acacialug::scale

#endif  // SCALE_INTERNAL_SWEEP_H_
