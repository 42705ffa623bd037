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

// ---- actions that the process around the follower carries out ----

// Reads the configuration stream. `wait`: the maximum time for which the log
// may delay its answer until a record arrives.
struct ReadStream {
  LogOffset from;
  Duration wait{};
};
// Appends the current manifest again before retention drops its only copy.
struct AppendCheckpoint {
  std::string payload;
};
// A newer manifest becomes active in this process.
struct ActivateManifest {
  AcceptedManifest accepted;
};
// A peer knows a newer manifest that the log did not deliver: fetch it from
// that peer.
struct FetchFromPeer {
  LogOffset offset;
};

using FollowerAction =
    std::variant<ReadStream, AppendCheckpoint, ActivateManifest, FetchFromPeer>;

struct FollowerOptions {
  std::string author;                    // named in checkpoints
  Duration long_poll = 10s;              // zero: polls without waiting
  Duration poll_interval = 500ms;        // after an answer without records
  Duration initial_retry_delay = 250ms;  // doubled after each failed read
  Duration max_retry_delay = 5s;         // limit of the doubling
  // Minimum time for which the log keeps records. The current manifest is
  // copied when its newest copy is half as old. Zero: never.
  Duration retention = 0s;
  // An offset reported by a peer is unconfirmed when the log, read to its end,
  // has not shown it after this time. It then no longer keeps a starting
  // process from serving, and the log is read for it only at
  // `unconfirmed_interval`.
  Duration unconfirmed_after = 10s;
  Duration unconfirmed_interval = 30s;
  // False for agents, which get manifests from entries: thousands of readers
  // must not poll the log. They read once at start, when a peer reports a newer
  // offset, and while no peer has a session with them.
  bool follow_stream = true;
  // Interval between long polls while no peer has a session. A change has to be
  // active within 4 s, also at an endpoint that is in no entry's working set.
  Duration alone_interval = 2s;
};

// Follows the configuration from the log, and from peers when the log is
// unavailable. The active manifest is never replaced by an older one. No I/O;
// not thread safe; `now` never goes backwards.
class ConfigurationFollower {
 public:
  ConfigurationFollower(FollowerOptions options, RandomSource& random);

  void Start(Instant now);
  void OnRead(const Result<cluster::ILog::Read>& read, Instant now);
  // A peer reported this offset in a heartbeat or a hello.
  void OnPeerOffset(LogOffset offset, Instant now);
  // Sets whether no peer has a session with this process. Has no effect on a
  // follower with `follow_stream`.
  void SetAlone(bool is_alone, Instant now);
  // A peer's manifest, as it was accepted at `offset`. Peers are processes of
  // this system (authenticated when keys are on), so the offset is trusted as
  // accepted. Errors: kManifestInvalid when the text cannot be parsed;
  // kManifestStale when it is not newer than the active manifest.
  Status OnPeerManifest(LogOffset offset, const std::string& text);
  void OnTimer(Instant now);

  Instant next_timer() const;
  std::vector<FollowerAction> TakeActions();

  // The active manifest of this process; null before the first one.
  const AcceptedManifest* active() const;
  LogOffset offset() const;

  // Whether the process may serve: it has a manifest, and the manifest is the
  // newest one known to the log (read to its end once) or, failing that, to its
  // peers. Once true, this stays true whatever peers report.
  bool ready() const;

 private:
  void Read(Duration wait);
  void ApplyRecords(const cluster::ILog::Read& read);
  void Activate(const AcceptedManifest& candidate);
  void ConsiderCheckpoint(Instant now);
  void ScheduleRetry(Instant now);
  void ScheduleRead(Instant now);
  void UpdateUnconfirmed(Instant now);
  bool KnowsNewest() const;

  FollowerOptions options;
  RandomSource& random;
  std::optional<ConfigurationHistory> history;
  std::optional<AcceptedManifest> active_manifest;
  LogOffset highest_reported;
  Instant highest_received_at{};  // when highest_reported was first reported
  bool unconfirmed = false;
  bool received_from_peer = false;
  bool was_ready = false;
  bool alone = false;
  bool read_to_end = false;
  bool reading = false;
  bool log_failed = false;
  Duration retry_delay{};
  Instant timer = kNever;
  // When to fetch from peers, unless the log has delivered by then.
  Instant fetch_at = kNever;
  LogOffset copy_seen;
  Instant copy_due = kNever;
  std::vector<FollowerAction> actions;
};

}  // namespace acacialug::configuration

#endif  // CONFIGURATION_CONFIGURATION_FOLLOWER_H_
