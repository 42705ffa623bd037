#ifndef CONFIGURATION_CONFIGURATION_FOLLOWER_H_
#define CONFIGURATION_CONFIGURATION_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <variant>
#include <vector>

#include "cluster/i_log.h"
#include "configuration/configuration_history.h"
#include "framework/global/random_source.h"
#include "framework/global/types/instant.h"

namespace acacialug::configuration {

// ---- what a follower asks of the process around it ----

// Reads the configuration stream. `wait`: the log may hold its answer that
// long for a record to come.
struct ReadStream {
  LogOffset from;
  Duration wait{};
};
// Re-appends what is current, before retention drops its only copy.
struct AppendCheckpoint {
  std::string payload;
};
// A newer manifest is in force in this process from now on.
struct ActivateManifest {
  AcceptedManifest accepted;
};
// A peer knows a newer manifest and the log did not give it: ask that peer.
struct FetchFromPeer {
  LogOffset offset;
};

using FollowerAction =
    std::variant<ReadStream, AppendCheckpoint, ActivateManifest, FetchFromPeer>;

struct FollowerOptions {
  std::string author;                    // in checkpoints
  Duration long_poll = 10s;              // zero: plain polls
  Duration poll_interval = 500ms;        // after an answer without news
  Duration initial_retry_delay = 250ms;  // after a failed read, doubled
  Duration max_retry_delay = 5s;         // up to this
  // The log keeps records at least this long; a copy of the current manifest
  // is made when the newest one is half as old. Zero: never.
  Duration retention = 0s;
  // An offset that a peer spoke of, and that the log, read to its end, has not
  // shown after so long, is doubted: it no longer keeps a starting process
  // from serving, and is looked for at `doubted_interval` only.
  Duration doubted_after = 10s;
  Duration doubted_interval = 30s;
  // False for agents, which get manifests from entries: thousands of readers
  // must not poll the log. They read once at start, when poked, and while no
  // peer speaks to them.
  bool follow_stream = true;
  // Between its long polls then. A change has to be in force within 4 s, also
  // at an endpoint that no entry has in its working set.
  Duration alone_interval = 2s;
};

// Follows the configuration: the log first, peers when the log is out. What
// it put in force never goes back. No I/O; not thread safe; `now` never goes
// backwards.
class ConfigurationFollower {
 public:
  ConfigurationFollower(FollowerOptions options, RandomSource& random);

  void Start(Instant now);
  void OnRead(const Result<cluster::ILog::Read>& read, Instant now);
  // A peer spoke of this offset in a heartbeat or a hello.
  void OnPeerOffset(LogOffset offset, Instant now);
  // Whether no peer has a session with this process. Of no effect on one that
  // follows the stream.
  void SetAlone(bool is_alone, Instant now);
  // A peer's manifest, as it was accepted at `offset`. Peers are processes of
  // this system (authenticated when keys are on), so an accepted offset is
  // taken as such. Errors: kManifestInvalid when the text cannot be read;
  // kManifestStale when it is not newer than what is in force.
  Status OnPeerManifest(LogOffset offset, const std::string& text);
  void OnTimer(Instant now);

  Instant next_timer() const;
  std::vector<FollowerAction> TakeActions();

  // The manifest in force in this process; null before the first.
  const AcceptedManifest* active() const;
  LogOffset offset() const;

  // A starting process may serve: it has a manifest, and it is the newest
  // that the log (read to its end once), or else its peers, know. One that may
  // serve goes on, whatever it hears.
  bool ready() const;

 private:
  void Read(Duration wait);
  void ApplyRecords(const cluster::ILog::Read& read);
  void TakeInForce(const AcceptedManifest& candidate);
  void ConsiderCheckpoint(Instant now);
  void ScheduleRetry(Instant now);
  void ScheduleRead(Instant now);
  void Doubt(Instant now);
  bool KnowsNewest() const;

  FollowerOptions options;
  RandomSource& random;
  std::optional<ConfigurationHistory> history;
  std::optional<AcceptedManifest> forced;
  LogOffset highest_heard;
  Instant heard_at{};  // for the first time
  bool doubted = false;
  bool heard_from_peer = false;
  bool was_ready = false;
  bool alone = false;
  bool read_to_end = false;
  bool reading = false;
  bool log_failed = false;
  Duration retry_delay{};
  Instant timer = kNever;
  Instant ask_at = kNever;  // ask the peers, if the log has not given the news
  LogOffset copy_seen;
  Instant copy_due = kNever;
  std::vector<FollowerAction> actions;
};

}  // namespace acacialug::configuration

#endif  // CONFIGURATION_CONFIGURATION_FOLLOWER_H_
