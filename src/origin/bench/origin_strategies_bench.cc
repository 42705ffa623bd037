// Compares how many processes are told at which version each stream began: none
// (all are asked), a few that hashing selects, or all. Prints a row for each
// strategy and fleet.

#include <algorithm>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "origin/tests/origin_fleet.h"

namespace acacialug::origin {
namespace {

using testing::OriginFleet;

constexpr std::size_t kStreams = 60;
constexpr std::uint64_t kSeeds = 20;
// Before a stream's first event its prompt is computed.
constexpr Duration kFirstEvent = 150ms;
constexpr Duration kCallerReturns = 5ms;

struct Case {
  std::string name;
  double killed_share = 0;  // of the processes, beside the first
  double loss_share = 0;    // of the messages
  // The first process ends as soon as it has told the holders.
  bool told_late = false;
};

struct Figures {
  std::size_t asked = 0;
  std::size_t known = 0;
  double mean_ms = 0;
  double longest_ms = 0;
  double bytes_per_stream = 0;
  double bytes_per_lookup = 0;
  double copies = 0;
};

StreamKey StreamOf(std::size_t number, std::uint64_t seed) {
  return StreamKey(number * 7919 + seed);
}

// Kills the first process and a share of the others; returns the live ones.
std::vector<std::string> Kill(OriginFleet& fleet,
                              const std::string& first,
                              double share,
                              RandomSource& random) {
  std::vector<std::string> live;
  for (auto& [id, process] : fleet.processes) {
    process.dead = random.Unit() < share || id == first;
    if (!process.dead) {
      live.push_back(id);
    }
  }
  return live;
}

void LookUp(OriginFleet& fleet,
            const std::vector<std::string>& live,
            std::uint64_t seed,
            RandomSource& random,
            Figures& figures) {
  fleet.sent_bytes = 0;
  std::vector<std::shared_ptr<OriginFleet::Result>> results;
  for (std::size_t number = 0; number < kStreams; ++number) {
    results.push_back(
        fleet.Resolve(live[random.Below(live.size())], StreamOf(number, seed)));
  }
  fleet.AdvanceBy(1s);
  figures.bytes_per_lookup = static_cast<double>(fleet.sent_bytes) / kStreams;
  for (const auto& result : results) {
    ++figures.asked;
    figures.known += result->version ? 1 : 0;
    const double ms = 1000 * Seconds(result->took);
    figures.mean_ms += ms / kStreams;
    figures.longest_ms = std::max(figures.longest_ms, ms);
  }
}

Figures Measure(const Case& row,
                std::size_t processes,
                std::size_t holders,
                std::uint64_t seed) {
  RandomSource random(seed);
  OriginFleet fleet({.processes = processes,
                     .holders = holders,
                     .loss_share = row.loss_share});
  fleet.sent_bytes = 0;
  const std::string first = "g" + std::to_string(random.Below(processes));
  for (std::size_t number = 0; number < kStreams; ++number) {
    fleet.Begin(first, StreamOf(number, seed));
  }
  if (!row.told_late) {
    fleet.AdvanceBy(kFirstEvent);
  }
  Figures figures;
  figures.bytes_per_stream = static_cast<double>(fleet.sent_bytes) / kStreams;
  std::size_t kept = 0;
  for (const auto& [id, process] : fleet.processes) {
    kept += process.ledger.size();
  }
  figures.copies = static_cast<double>(kept) / kStreams;
  const auto live = Kill(fleet, first, row.killed_share, random);
  fleet.AdvanceBy(kCallerReturns);
  if (!live.empty()) {
    LookUp(fleet, live, seed, random, figures);
  }
  return figures;
}

void Print(const Case& row, std::size_t processes, std::size_t holders) {
  Figures sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Figures one = Measure(row, processes, holders, seed);
    sum.asked += one.asked;
    sum.known += one.known;
    sum.mean_ms += one.mean_ms / kSeeds;
    sum.longest_ms = std::max(sum.longest_ms, one.longest_ms);
    sum.bytes_per_stream += one.bytes_per_stream / kSeeds;
    sum.bytes_per_lookup += one.bytes_per_lookup / kSeeds;
    sum.copies += one.copies / kSeeds;
  }
  const std::string told =
      holders >= processes ? "all" : std::to_string(holders);
  std::printf("%-34s %4zu %7s %8.0f %7.1f %8.0f %7.1f %6.0f %6.3f\n",
              row.name.c_str(), processes, told.c_str(), sum.bytes_per_stream,
              sum.copies, sum.bytes_per_lookup, sum.mean_ms, sum.longest_ms,
              static_cast<double>(sum.known) /
                  static_cast<double>(std::max<std::size_t>(1, sum.asked)));
}

void PrintAll() {
  const std::vector<Case> cases = {
      {.name = "first killed"},
      {.name = "first killed, 3 % of messages lost", .loss_share = 0.03},
      {.name = "first killed when it has told", .told_late = true},
      {.name = "first and a tenth killed", .killed_share = 0.1},
      {.name = "first and 0.55 killed", .killed_share = 0.55}};
  std::printf("%-34s %4s %7s %8s %7s %8s %7s %6s %6s\n", "case", "gws", "told",
              "B/stream", "copies", "B/lookup", "mean ms", "max ms", "known");
  for (const std::size_t processes : {5, 28, 103}) {
    for (const std::size_t holders : {0, 1, 2, 3, 4, 1000}) {
      for (const Case& row : cases) {
        Print(row, processes, holders);
      }
    }
  }
}

}  // namespace
}  // namespace acacialug::origin

int main() {
  acacialug::origin::PrintAll();
  return 0;
}
