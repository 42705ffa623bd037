#include "framework/global/random_source.h"

namespace acacialug {

RandomSource RandomSource::FromSystem() {
  std::random_device device;
  const std::uint64_t high = device();
  return RandomSource((high << 32U) | device());
}

std::uint64_t RandomSource::Below(std::uint64_t bound) {
  return std::uniform_int_distribution<std::uint64_t>(0,
                                                      bound - 1)(this->engine);
}

double RandomSource::Unit() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(this->engine);
}

double RandomSource::Exponential(double mean) {
  return std::exponential_distribution<double>(1.0 / mean)(this->engine);
}

RequestId RandomSource::NextRequestId() {
  const std::uint64_t high = this->Next();
  return {.high = high, .low = this->Next()};
}

Incarnation RandomSource::NextIncarnation() {
  // Zero stands for "no incarnation".
  return Incarnation(this->Next() | 1U);
}

}  // namespace acacialug
