#ifndef ORIGIN_ORIGIN_DIRECTORY_H_
#define ORIGIN_ORIGIN_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "framework/global/types/instant.h"
#include "origin/stream_ledger.h"
#include "origin/types/stream_origin.h"

namespace acacialug::origin {

// Tells a few other processes at which version a stream begins, and asks them.
// A caller whose process ended takes its stream up at any other, milliseconds
// later. Rendezvous hashing of the stream selects the holders among the
// processes, so that the bytes for a stream do not grow with their number; a
// holder that does not confirm is replaced by the next. A process that is asked
// by a caller asks the holders first, and all others only if those don't know:
// processes may disagree about who is live. Not thread safe.
class OriginDirectory {
 public:
  // A peer that sent nothing for this long is not asked, and holds nothing new.
  static constexpr Duration kPeerMemory = 2s;
  // A notice or a query without an answer is repeated after this time.
  static constexpr Duration kRepeatInterval = 25ms;
  static constexpr std::uint32_t kMaxNotices = 3;  // to one holder
  static constexpr std::size_t kPortion = 32;      // streams
  static constexpr Duration kPortionInterval = 5ms;
  // The answers of the other holders are awaited for this long after the first:
  // one may know a later placement.
  static constexpr Duration kAnswerGrace = 5ms;
  // All peers are asked after this time, even if a holder has not answered.
  static constexpr Duration kHolderWait = 40ms;
  // Without an answer after this time, the origin is unknown.
  static constexpr Duration kMaxWait = 250ms;
  // The same for a process that started lately and may not know its peers.
  static constexpr Duration kMaxStartWait = 600ms;
  static constexpr Duration kStartTime = 1s;

  struct Found {
    std::optional<VersionKey> version;  // empty: unknown
    std::size_t answered = 0;           // peers that answered the query
    // Those of them that know no endpoints that this process does not know.
    std::size_t agreeing = 0;
  };
  using Done = std::function<void(const Found& found)>;

  struct Options {
    std::string id;  // of this process
    // Processes that hold a stream's origin, beside the one that began it.
    std::size_t holders = 4;
    std::function<Instant()> now;
    std::function<void(const std::string& peer, const OriginMessage& message)>
        send;
    // Calls `call` once at `at`.
    std::function<void(Instant at, std::function<void()> call)> set_timer;
  };

  // `origins` outlives this object.
  OriginDirectory(Options directory_options, StreamLedger& origins);

  void OnPeerHeard(const std::string& peer);
  void OnMessage(const std::string& peer, const OriginMessage& message);

  // Tells the stream's holders.
  void Announce(const StreamOrigin& origin);
  // Tells the holders of all streams of this process, in portions: sent at
  // once, the notices of a busy process would overflow the sockets.
  void AnnounceAll();
  // Tells the streams of this process to a peer that has become one of their
  // holders.
  void AnnounceAllTo(const std::string& peer);

  // Asks the other processes. `done` runs once, later; without a version, none
  // of them knows the stream, or none has answered in time.
  void Resolve(StreamKey stream, Done done);

  // The number of live peers whose ids sort before this process's.
  std::size_t Rank() const;

  // Deletes peers that were not heard for long. Call periodically.
  void Sweep();

  std::size_t unconfirmed() const { return this->notices.size(); }

 private:
  struct Peer {
    std::uint64_t weight = 0;  // hash of its id
    Instant heard_at;
  };
  struct Notice {
    StreamOrigin origin;
    std::uint32_t sent = 0;
    Instant sent_at;
  };
  struct Lookup {
    Instant begun_at;
    Instant sent_at;
    std::set<std::string> asked;
    std::set<std::string> answered;
    std::set<std::string> agreeing;
    std::optional<StreamOrigin> found;
    Instant found_at = kNever;
    std::vector<Done> done;
  };

  Instant Now() const { return this->options.now(); }
  bool Live(const Peer& peer) const {
    return this->Now() - peer.heard_at < kPeerMemory;
  }
  std::size_t LivePeers() const;
  // Whether most peers are live. If they are not, it may be this process that
  // stood still or was cut off, and a lookup asks all that it remembers.
  bool MostAreLive() const;
  bool Holds(const std::string& peer, StreamKey stream) const;
  // The peers, or the live ones of them, those that hold the stream first.
  std::vector<std::string> Ranked(StreamKey stream,
                                  bool live_only = true) const;
  void SendNotice(const std::string& peer, const StreamOrigin& origin);
  void ReplaceHolder(const std::string& former, const StreamOrigin& origin);
  void OnKnown(const std::string& peer, const StreamOrigin& origin);
  void OnAnswered(const std::string& peer, StreamKey stream, bool agrees);
  void Ask(StreamKey stream, Lookup& lookup, std::size_t count);
  // Whether the lookup has its result. `count`: of the peers to be asked.
  bool Ended(const Lookup& lookup, std::size_t count) const;
  void AnnouncePortion();
  void PollLookups();
  void PollNotices();
  void SchedulePoll(Duration after);
  void Poll();

  const Options options;
  StreamLedger& ledger;
  const Instant started_at;
  std::map<std::string, Peer> peers;
  // Not confirmed yet, by stream and holder.
  std::map<std::pair<StreamKey, std::string>, Notice> notices;
  std::map<StreamKey, Lookup> lookups;
  std::vector<StreamOrigin> backlog;  // to be announced
  Instant poll_at = kNever;
};

}  // namespace acacialug::origin

#endif  // ORIGIN_ORIGIN_DIRECTORY_H_
