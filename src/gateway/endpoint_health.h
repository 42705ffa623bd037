#ifndef GATEWAY_ENDPOINT_HEALTH_H_
#define GATEWAY_ENDPOINT_HEALTH_H_

#include <cstdint>
#include <map>
#include <vector>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "gateway/types/endpoint_load.h"

namespace acacialug::gateway {

// What this process has seen of each endpoint's work. An endpoint that cannot
// be reached, or stays silent, is avoided at once: unlike a pool of agents,
// which say themselves that they are ill, nothing else tells of a dead host for
// some seconds. It is tried again after a pause that doubles. One that answers
// with failures, or loses some answers, is avoided by degrees. Avoided
// endpoints are still used when there is no other. Not thread safe.
class EndpointHealth {
 public:
  // A host that restarts is back in about a second; a dead one loses its
  // record in three heartbeats, under 4 s.
  static constexpr Duration kFirstPause = 500ms;
  static constexpr Duration kMaxPause = 4s;
  // A peer's word on an endpoint that cannot be reached counts for this long,
  // and is repeated while it holds; and not against an answer that is newer
  // than this: some two heartbeats of a peer.
  static constexpr Duration kReportedPause = 500ms;
  static constexpr Duration kRecentAnswer = 250ms;
  // Refusals in a row, while far from full, of which peers are told.
  static constexpr std::uint32_t kConfirmedRefusals = 2;
  // Refusals of work that was promised room, after which it is avoided.
  static constexpr std::uint32_t kMaxBrokenReservations = 2;
  static constexpr Duration kMemory = 60s;
  // A full endpoint ends some request about this often, and peers' loads are
  // heard again within it.
  static constexpr Duration kFullPause = 150ms;
  // A share of failures above this is avoided like silence. Sound services
  // answer a part of their requests with failures of their own.
  static constexpr double kMaxFailureShare = 0.35;
  // Weight of the newest outcome: some ten outcomes decide.
  static constexpr double kOutcomeWeight = 0.12;
  // Weight of the newest speed.
  static constexpr double kSpeedWeight = 0.2;

  void NoteSuccess(const EndpointId& endpoint, Instant now);
  // It answered, whatever it said: it can be reached.
  void NoteAnswer(const EndpointId& endpoint, Instant now);
  // It answered, and with a failure.
  void NoteFailure(const EndpointId& endpoint, Instant now);
  // No connection, a broken one, or no answer in time.
  void NoteTimeout(const EndpointId& endpoint, Instant now);
  // A silence before anything could be sent: peers are told of it.
  void NoteUnreachable(const EndpointId& endpoint, Instant now);
  // An exchange broke; `sent`: after something of it may have arrived.
  void NoteLost(const EndpointId& endpoint, bool sent, Instant now);
  // A peer could not reach it, and thinks so until then. Believed unless the
  // endpoint has just answered here: the peer may be the one that is cut off.
  // True: nobody had told so of late.
  bool NoteReportedUnreachable(std::uint64_t endpoint_key,
                               Duration left,
                               Instant now);
  // It refused for want of room that it was thought to have; and it has room
  // again, since it took work or something there has ended.
  void NoteFull(const EndpointId& endpoint, Instant now);
  void NoteCapacity(const EndpointId& endpoint);
  // It refused while it was thought to be far from full: it leaves, or does not
  // work. Paused longer each time. One refusal, and those until all peers have
  // told what they had placed there by then, may have their placements as a
  // cause: if each process doubted it then and told the others, a sound
  // endpoint that is just full would be left alone by all. `oldest_report_age`:
  // since when every peer has told.
  void NoteUnexpectedRefusal(const EndpointId& endpoint,
                             Duration oldest_report_age,
                             Instant now);
  // It refused work for which it had set memory aside, in a row since it last
  // began any: it changes its role, or is about to end. Avoided like one that
  // is silent, from the second on; the first may be a computed prompt that
  // lapsed.
  void NoteBrokenReservation(const EndpointId& endpoint, Instant now);
  // It began work.
  void NoteStarted(const EndpointId& endpoint);
  // It changes its role, and takes no work until then. By the hash of its id,
  // as peers tell it (LoadTable::KeyOf).
  void NotePause(std::uint64_t endpoint_key, Instant until);
  // A piece of work took `ratio` times what was expected. Precondition: > 0.
  void NoteSpeed(const EndpointId& endpoint, double ratio);

  bool Avoided(const EndpointId& endpoint, Instant now) const;
  // Those that this process could not reach itself, for its peers.
  std::vector<EndpointPause> Unreachable(Instant now) const;
  // Refused for want of room a moment ago.
  bool Full(const EndpointId& endpoint, Instant now) const;
  // Not to be used, also if there is no other.
  bool Paused(const EndpointId& endpoint, Instant now) const;
  // 0 (none seen) to 1.
  double FailureShare(const EndpointId& endpoint) const;
  // How many times longer than expected its work takes, lately; 1 if unknown.
  double Slowness(const EndpointId& endpoint) const;

  // It started again under its id: nothing seen before counts.
  void Forget(const EndpointId& endpoint);

  // Forgets endpoints that nothing was seen of for a minute: each start of an
  // endpoint has a new id.
  void Sweep(Instant now);

 private:
  struct State {
    Instant seen_at{};
    Instant answered_at{};
    Instant unreachable_until{};
    double failure_share = 0;
    double slowness = 1;
    std::uint32_t timeouts = 0;             // in a row
    std::uint32_t refusals = 0;             // in a row, while far from full
    Instant refused_at{};                   // the last of those that counts
    std::uint32_t broken_reservations = 0;  // since it last began work
    Instant avoided_until{};
    Instant full_until{};
  };

  State& Touch(const EndpointId& endpoint, Instant now);

  std::map<EndpointId, State> states;
  std::map<std::uint64_t, Instant> pauses;                // until
  std::map<std::uint64_t, Instant> reported_unreachable;  // until
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_ENDPOINT_HEALTH_H_
