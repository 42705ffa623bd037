#ifndef QUOTA_PEER_SHARES_H_
#define QUOTA_PEER_SHARES_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"

namespace acacialug::quota {

// Computes which fraction of a limit shared by all processes belongs to this
// process and its live peers. An unresponsive peer may be partitioned and still
// running: its fraction is withheld until its next report and then credited.
// Not thread safe; `now` never decreases.
class PeerShares {
 public:
  struct Options {
    // Time without a report after which a peer is unresponsive, by the number
    // of peers: two rounds of reports, since single reports get lost.
    std::function<Duration(std::size_t peers)> heartbeat_timeout =
        [](std::size_t /*peers*/) { return Duration(800ms); };
    // Time without a report after which a peer is forgotten.
    Duration retention = 60s;
    // The same for a listed peer that has never reported: it may have just
    // started too.
    Duration listed_retention = 5s;
  };

  explicit PeerShares(Options share_options)
      : options(std::move(share_options)) {}

  // Records a report of the peer. Returns whether it is the first one of the
  // peer or of its incarnation.
  bool OnPeerReport(const std::string& peer,
                    Incarnation incarnation,
                    Instant now);
  // Records that the peer exists according to a listing.
  void OnPeerListed(const std::string& peer, Instant now);

  // Advances the time to `now`. Call it before the other methods.
  void AdvanceTo(Instant now);

  // Fraction of the whole, in (0, 1], of this process and its live peers.
  double share() const { return this->live_share; }
  std::size_t live_peers() const { return this->live_count; }
  // Time for which the whole limit would have to accrue to yield what the share
  // accrued since the start.
  Duration accrued() const { return this->accrued_time; }

 private:
  struct Peer {
    Incarnation incarnation;
    Instant last_received_at{};
    Instant listed_at{};
    Duration withheld{};    // in the time base of accrued()
    bool received = false;  // any report
    bool unresponsive = false;
  };

  void UpdatePeers(Instant now);
  void UpdateShare();
  bool IsRetained(const Peer& peer, Instant now) const;

  const Options options;
  std::map<std::string, Peer> peers;
  Instant advanced_at{};
  Duration accrued_time{};
  double live_share = 1;
  std::size_t live_count = 0;
};

}  // namespace acacialug::quota

#endif  // QUOTA_PEER_SHARES_H_
