#include "service_levels/types/level_counts.h"

#include <algorithm>

namespace acacialug::service_levels {
namespace {

// Parsed counts come from other hosts, so a sum of two of them may overflow.
std::uint64_t Sum(std::uint64_t one, std::uint64_t other) {
  const std::uint64_t sum = one + other;
  return sum < one ? std::numeric_limits<std::uint64_t>::max() : sum;
}

}  // namespace

std::string_view CauseName(Cause cause) {
  const std::string_view own = NameOf(kCauseNames, cause);
  return own != "unlisted" ? own
                           : ResultCodeName(static_cast<ResultCode>(cause));
}

std::optional<Cause> CauseFromName(std::string_view name) {
  if (const std::optional<Cause> own = ValueOf(kCauseNames, name)) {
    return own;
  }
  for (const ResultCodeRow& row : ResultCodeTable()) {
    if (row.name == name) {
      return CauseOf(row.code);
    }
  }
  return std::nullopt;
}

void LevelCounts::AddCause(Cause cause,
                           std::uint64_t count,
                           std::size_t max_causes) {
  const auto found = std::ranges::find(this->causes, cause, &CauseCount::cause);
  if (found != this->causes.end()) {
    found->count = Sum(found->count, count);
    return;
  }
  if (this->causes.size() < max_causes || cause == Cause::kOther) {
    this->causes.push_back({.cause = cause, .count = count});
    return;
  }
  this->AddCause(Cause::kOther, count, max_causes);
}

void LevelCounts::Add(const LevelCounts& other, std::size_t max_causes) {
  this->total = Sum(this->total, other.total);
  this->good = Sum(this->good, other.good);
  for (const CauseCount& item : other.causes) {
    this->AddCause(item.cause, item.count, max_causes);
  }
}

std::uint64_t LevelCounts::CountOf(Cause cause) const {
  const auto found = std::ranges::find(this->causes, cause, &CauseCount::cause);
  return found == this->causes.end() ? 0 : found->count;
}

}  // namespace acacialug::service_levels
