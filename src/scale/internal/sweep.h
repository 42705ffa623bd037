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

// A quantity as a straight line over what it depends on.
struct Row {
  std::string quantity;
  std::string unit;
  std::string x;
  std::vector<Point> points;  // medians of the runs
  double slope = 0;           // median of the runs' own slopes
  double intercept = 0;
  double slope_least = 0;
  double slope_greatest = 0;
  double spread = 0;  // (greatest - least slope) / |median slope|
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

// Measures every x in every run, and fits a line of least squares a run.
// Precondition: at least two different xs.
Row Fit(const Sweep& sweep);

// Processor time of this thread since its start, in microseconds: what other
// work on the machine costs it is mostly left out, cold caches are not.
double ThreadMicroseconds();

// Bytes that malloc has handed out and not got back, with its own overhead.
double HeapBytes();

}  // namespace acacialug::scale

#endif  // SCALE_INTERNAL_SWEEP_H_
