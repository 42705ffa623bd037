#include "scale/internal/sweep.h"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <ctime>

namespace acacialug::scale {
namespace {

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  const std::size_t middle = values.size() / 2;
  return values.size() % 2 == 1 ? values[middle]
                                : (values[middle - 1] + values[middle]) / 2;
}

double SlopeOf(const std::vector<Point>& points) {
  double mean_x = 0;
  double mean_y = 0;
  const auto count = static_cast<double>(points.size());
  for (const Point& point : points) {
    mean_x += point.x / count;
    mean_y += point.y / count;
  }
  double covariance = 0;
  double variance = 0;
  for (const Point& point : points) {
    covariance += (point.x - mean_x) * (point.y - mean_y);
    variance += (point.x - mean_x) * (point.x - mean_x);
  }
  return covariance / variance;
}

double InterceptOf(const std::vector<Point>& points, double slope) {
  double sum = 0;
  for (const Point& point : points) {
    sum += point.y - slope * point.x;
  }
  return sum / static_cast<double>(points.size());
}

}  // namespace

Row Fit(const Sweep& sweep) {
  Row row{.quantity = sweep.quantity,
          .unit = sweep.unit,
          .x = sweep.x,
          .runs = sweep.runs};
  std::vector<double> slopes;
  std::vector<std::vector<double>> values(sweep.xs.size());
  for (int run = 0; run < sweep.runs; ++run) {
    std::vector<Point> points;
    for (std::size_t i = 0; i < sweep.xs.size(); ++i) {
      const double y = sweep.measure(sweep.xs[i]);
      values[i].push_back(y);
      points.push_back({static_cast<double>(sweep.xs[i]), y});
    }
    slopes.push_back(SlopeOf(points));
  }
  for (std::size_t i = 0; i < sweep.xs.size(); ++i) {
    row.points.push_back({static_cast<double>(sweep.xs[i]), Median(values[i])});
  }
  row.slope = Median(slopes);
  row.intercept = InterceptOf(row.points, row.slope);
  const auto [least, greatest] =
      std::minmax_element(slopes.begin(), slopes.end());
  row.slope_least = *least;
  row.slope_greatest = *greatest;
  row.spread = row.slope == 0 ? 0 : (*greatest - *least) / std::abs(row.slope);
  return row;
}

double ThreadMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

}  // namespace acacialug::scale
