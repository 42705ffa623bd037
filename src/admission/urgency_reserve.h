#ifndef ADMISSION_URGENCY_RESERVE_H_
#define ADMISSION_URGENCY_RESERVE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "framework/global/types/instant.h"

namespace acacialug::admission {

// How often requests of one priority arrive; 0 is the most urgent.
struct LevelDemand {
  std::uint32_t priority = 0;
  double requests_per_second = 0;

  friend bool operator==(const LevelDemand&, const LevelDemand&) = default;
};

// How many places of a pool are kept free for more urgent requests, wherever
// these arrive.
//
// Load pattern: a pool is short of room for seconds, many processes place work
// in it, and each of them gets one or two requests a second. A queue by
// priority at each process holds one request or none, so that a less urgent
// request takes the last place although a more urgent one arrives elsewhere a
// moment later. Here each process keeps as many places free as more urgent
// requests are expected, at all processes, until it sees them in its load data.
// What is free beyond that goes to any request, so that no place stays idle
// that more urgent requests do not take, and every process comes to the same
// decision from the same load data. There is nothing to give out, to return or
// to lose with a process.
//
// Known from telephone networks as trunk reservation: a few kept circuits give
// one kind of call nearly full priority (F. P. Kelly, "Loss networks", Annals
// of Applied Probability 1, 1991). Not thread safe.
class UrgencyReserve {
 public:
  // Lower priorities count as this one.
  static constexpr std::uint32_t kLeastUrgent = 9;

  struct Options {
    // Time constant of the observed demand. After a burst the reserve has to
    // shrink within a second; with less, a process with one request a second
    // would forget it before the next.
    Duration demand_memory = 1s;
    // A peer's report counts for this long; about three reports may be lost.
    Duration peer_memory = 1500ms;
    // Each priority is served at least this share as often as all requests are:
    // no caller is refused for as long as urgent demand lasts.
    double least_service = 0.1;
    // The part of its first exemption that each priority has from the start,
    // from 0 to 1. To be drawn at random at each process: with few requests at
    // each of many, none would get as far as its first.
    double first_exemption = 0;
    // Time constant of the share of requests that are served.
    Duration service_memory = 10s;
  };

  explicit UrgencyReserve(Options reserve_options);

  // A request arrived at this process.
  void NoteRequest(std::uint32_t priority, Instant now);

  // What arrived at this process, for its peers: levels with demand, at most
  // kLeastUrgent + 1.
  std::vector<LevelDemand> Report(Instant now) const;
  // Replaces the earlier report of this peer. Rates that are not finite
  // positive numbers are ignored, and of two for one priority the first counts.
  void SetPeer(const std::string& peer,
               const std::vector<LevelDemand>& demand,
               Instant now);

  // Places to keep free of a request with this priority, while load data that
  // is `data_age` old shows the others' placements. Zero for a request that is
  // exempt, and for one that is as urgent as any.
  std::size_t PlacesFor(std::uint32_t priority,
                        Duration data_age,
                        Instant now) const;

  // Whether the next request of the priority is not held back, for the sake of
  // Options::least_service.
  bool Exempt(std::uint32_t priority) const;
  // A request took a place, which uses up an exemption.
  void NotePlaced(std::uint32_t priority, Instant now);

  // Requests a second at all processes that are more urgent than `priority`.
  double DemandAbove(std::uint32_t priority, Instant now) const;

 private:
  struct Peer {
    std::map<std::uint32_t, double> rates;
    Instant at{};
  };

  // A number of events that fades with age.
  struct Count {
    double value = 0;
    Instant at{};

    double At(Instant now, Duration memory) const;
    void Add(Instant now, Duration memory);
  };

  struct Level {
    Count arrived;
    double exemptions;  // that its requests may still use
  };

  double RateOf(const Level& level, Instant now) const;
  // The share of this process's requests that are served.
  double ServedShare(Instant now) const;

  const Options options;
  std::map<std::uint32_t, Level> levels;
  Count arrived;
  Count placed;
  std::map<std::string, Peer> peers;
};

}  // namespace acacialug::admission

#endif  // ADMISSION_URGENCY_RESERVE_H_
