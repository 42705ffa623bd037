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

// Which part of what all processes share is this one's and that of the peers it
// hears. Peers that have gone silent may be cut off and go on by themselves:
// the part of each is left to it until it is heard again, and then comes back.
// Not thread safe; `now` never goes backwards.
class PeerShares {
 public:
  struct Options {
    // After which a peer is silent, with so many of them: two rounds of what
    // they tell, since one is lost now and then.
    std::function<Duration(std::size_t peers)> heartbeat_timeout =
        [](std::size_t /*peers*/) { return Duration(800ms); };
    Duration retention = 60s;  // then a silent peer is gone
    // A peer that was listed and never heard may have just started too.
    Duration listed_retention = 5s;
  };

  explicit PeerShares(Options share_options)
      : options(std::move(share_options)) {}

  // The peer was heard just now. True: in another life than before, or for the
  // first time.
  bool OnPeerReport(const std::string& peer,
                    Incarnation incarnation,
                    Instant now);
  // It is said to be there.
  void OnPeerListed(const std::string& peer, Instant now);

  // Brings time forward. Call it before the others.
  void Pass(Instant now);

  // Of the whole, in (0, 1]: this process and the peers that are heard.
  double share() const { return this->own_share; }
  std::size_t heard() const { return this->heard_count; }
  // Time for which the whole would have had to accrue to give what the share
  // accrued since the start.
  Duration accrued() const { return this->accrued_time; }

 private:
  struct Peer {
    Incarnation incarnation;
    Instant heard_at{};
    Instant listed_at{};
    Duration withheld{};  // as accrued()
    bool heard = false;   // ever
    bool silent = false;
  };

  void Count(Instant now);
  void SetShare();
  bool Counts(const Peer& peer, Instant now) const;

  const Options options;
  std::map<std::string, Peer> peers;
  Instant passed_at{};
  Duration accrued_time{};
  double own_share = 1;
  std::size_t heard_count = 0;
};

}  // namespace acacialug::quota

#endif  // QUOTA_PEER_SHARES_H_
