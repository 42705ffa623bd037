#ifndef GATEWAY_ENDPOINT_HEALTH_H_
#define GATEWAY_ENDPOINT_HEALTH_H_

#include <cstdint>
#include <map>
#include <vector>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "gateway/types/endpoint_load.h"

namespace acacialug::gateway {

// The health of each endpoint as this process has observed it. An endpoint that
// is unreachable or does not respond is avoided at once: unlike in a pool of
// agents, which report their own health, there is no other sign of a dead host
// for some seconds. It is tried again after a pause that doubles each time. An
// endpoint that answers with failures, or loses some answers, is avoided by
// degrees. Avoided endpoints are still used when there is no other. Not thread
// safe.
class EndpointHealth {
 public:
  // A host that restarts is available again in about 1 s. A dead host loses its
  // record after three heartbeats, which is less than 4 s.
  static constexpr Duration kFirstPause = 500ms;
  static constexpr Duration kMaxPause = 4s;
  // A peer's report that an endpoint is unreachable counts for this long, and
  // is repeated while it holds.
  static constexpr Duration kReportedPause = 500ms;
  // Such a report doesn't count against an answer that is newer than this,
  // which is about two heartbeats of a peer.
  static constexpr Duration kRecentAnswer = 250ms;
  // Consecutive refusals, while far from full, that are reported to peers.
  static constexpr std::uint32_t kConfirmedRefusals = 2;
  // Refusals of work with a reservation, after which the endpoint is avoided.
  static constexpr std::uint32_t kMaxBrokenReservations = 2;
  static constexpr Duration kMemory = 60s;
  // A full endpoint ends a request about this often, and peers report their
  // loads again within this time.
  static constexpr Duration kFullPause = 150ms;
  // An endpoint with a failure share above this is avoided like one that does
  // not respond. Healthy services answer a part of their requests with failures
  // of their own.
  static constexpr double kMaxFailureShare = 0.35;
  // Weight of the newest outcome. About ten outcomes determine the share.
  static constexpr double kOutcomeWeight = 0.12;
  // Weight of the newest speed ratio.
  static constexpr double kSpeedWeight = 0.2;

  void NoteSuccess(const EndpointId& endpoint, Instant now);
  // The endpoint is reachable: it answered, with success or not.
  void NoteAnswer(const EndpointId& endpoint, Instant now);
  // The endpoint answered with a failure.
  void NoteFailure(const EndpointId& endpoint, Instant now);
  // There was no connection, a broken one, or no answer in time.
  void NoteTimeout(const EndpointId& endpoint, Instant now);
  // As NoteTimeout, before anything could be sent. It is reported to peers.
  void NoteUnreachable(const EndpointId& endpoint, Instant now);
  // An exchange broke. `sent`: a part of it may have reached the endpoint.
  void NoteLost(const EndpointId& endpoint, bool sent, Instant now);
  // A peer could not reach the endpoint, and avoids it for another `left`. The
  // report counts unless the endpoint has just answered this process: the peer
  // itself may be cut off. Returns whether no such report was in effect.
  bool NoteReportedUnreachable(std::uint64_t endpoint_key,
                               Duration left,
                               Instant now);
  // The endpoint refused work because it lacks capacity that it was expected to
  // have.
  void NoteFull(const EndpointId& endpoint, Instant now);
  // The endpoint has capacity again: it accepted work, or some work there has
  // ended.
  void NoteCapacity(const EndpointId& endpoint);
  // The endpoint refused work while it was expected to be far from full: it is
  // leaving, or does not work. The pause grows each time. The placements of
  // peers may be the cause of a first refusal, and of those that follow before
  // all peers have reported what they had placed there by then. If each process
  // suspected the endpoint at that point and reported it, all of them would
  // avoid a healthy endpoint that is only full. `oldest_report_age`: the time
  // within which every peer has reported.
  void NoteUnexpectedRefusal(const EndpointId& endpoint,
                             Duration oldest_report_age,
                             Instant now);
  // The endpoint refused work for which it had reserved memory: it is changing
  // its role, or is about to end. From the second refusal since it last started
  // work, it is avoided like one that does not respond; the cause of the first
  // may be a computed prompt that expired.
  void NoteBrokenReservation(const EndpointId& endpoint, Instant now);
  // The endpoint rejected work, and takes none from this process for this long.
  // A later, shorter rest does not end an earlier one, nor does other work that
  // succeeds meanwhile.
  void NoteRest(const EndpointId& endpoint, Duration rest, Instant now);
  // The endpoint started work.
  void NoteStarted(const EndpointId& endpoint);
  // The endpoint is changing its role, and takes no work before `until`.
  // `endpoint_key`: the hash of its id that peers report (LoadTable::KeyOf).
  void NotePause(std::uint64_t endpoint_key, Instant until);
  // A piece of work took `ratio` times the expected time. Precondition:
  // ratio > 0.
  void NoteSpeed(const EndpointId& endpoint, double ratio);

  bool Avoided(const EndpointId& endpoint, Instant now) const;
  // The endpoints that this process itself could not reach, for its peers.
  std::vector<EndpointPause> Unreachable(Instant now) const;
  // Whether the endpoint recently refused work for lack of capacity.
  bool Full(const EndpointId& endpoint, Instant now) const;
  // Whether the endpoint must not be used even if there is no other.
  bool Paused(const EndpointId& endpoint, Instant now) const;
  // Whether the endpoint asked this process for a rest that has not ended. It
  // must not be used even if there is no other.
  bool Resting(const EndpointId& endpoint, Instant now) const;
  // From 0 to 1; 0 if there were no failures.
  double FailureShare(const EndpointId& endpoint) const;
  // The recent ratio of its work's time to the expected time; 1 if unknown.
  double Slowness(const EndpointId& endpoint) const;

  // The endpoint restarted under its id: earlier observations don't count.
  void Forget(const EndpointId& endpoint);

  // Drops endpoints without an observation within kMemory, and no rest left:
  // each incarnation of an endpoint has a new id.
  void Sweep(Instant now);

 private:
  struct State {
    Instant seen_at{};
    Instant answered_at{};
    Instant unreachable_until{};
    double failure_share = 0;
    double slowness = 1;
    std::uint32_t timeouts = 0;             // consecutive
    std::uint32_t refusals = 0;             // consecutive, while far from full
    Instant refused_at{};                   // the last one in `refusals`
    std::uint32_t broken_reservations = 0;  // since it last started work
    Instant avoided_until{};
    Instant full_until{};
    Instant rest_until{};
  };

  State& Touch(const EndpointId& endpoint, Instant now);

  std::map<EndpointId, State> states;
  std::map<std::uint64_t, Instant> pauses;                // end times
  std::map<std::uint64_t, Instant> reported_unreachable;  // end times
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_ENDPOINT_HEALTH_H_
