#ifndef MAINTENANCE_MAINTENANCE_QUEUE_CLIENT_H_
#define MAINTENANCE_MAINTENANCE_QUEUE_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cluster/i_log.h"
#include "framework/global/random_source.h"
#include "framework/global/types/enum_names.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "framework/global/types/result.h"
#include "maintenance/maintenance_queue.h"

namespace acacialug::maintenance {

// ---- actions that the process around the client carries out ----

struct ReadMaintenanceStream {
  std::string stream;
  LogOffset from;
};
struct AppendMaintenanceRecord {
  std::string stream;
  std::string payload;
};
using MaintenanceAction =
    std::variant<ReadMaintenanceStream, AppendMaintenanceRecord>;

// What the endpoint's state requires.
enum class MaintenanceIntent : std::uint8_t {
  kNone,   // the endpoint serves as configured: its claim is released
  kKeep,   // unknown, or the endpoint does not serve: no claim or release
  kEnter,  // the endpoint serves, and has to leave service for an order
};
inline constexpr EnumNames<MaintenanceIntent, 3> kMaintenanceIntentNames = {{
    {MaintenanceIntent::kNone, "none"},
    {MaintenanceIntent::kKeep, "keep"},
    {MaintenanceIntent::kEnter, "turn"},
}};

// The pool as defined by the manifest that is active in this process.
struct MaintenancePool {
  std::string stream;            // of the platform's log
  std::set<EndpointId> members;  // without those that are leaving
  std::size_t allowed_out = 0;   // members out of service at once
  LogOffset manifest;
};

struct MaintenanceOptions {
  EndpointId endpoint;
  // Permission to leave service requires a read of the stream that began
  // within this time: a process that was paused, or whose log is unavailable,
  // has to read again first.
  Duration fresh_for = 5s;
  Duration shortest_poll = 1s;  // when few claims stand before this one
  Duration longest_poll = 30s;  // when many claims stand before this one
  // A pool's first appends are spread over this duration times the number of
  // members.
  Duration spread_per_member = 50ms;
  Duration initial_retry_delay = 500ms;  // doubled after each failure
  Duration max_retry_delay = 30s;        // limit of the doubling
  // Any reader copies an open claim when the claim's newest record was read
  // this long ago. Must be well below the log's retention.
  Duration copy_after = 1h;
};

// Claims a position in the pool's maintenance queue for the endpoint, keeps the
// claim in the log, and releases it. Runs one read or append at a time. The
// answer to an append is never relied on; only records that are read count.
// Not thread safe; `now` never goes backwards.
class MaintenanceQueueClient {
 public:
  MaintenanceQueueClient(MaintenanceOptions client_options,
                         RandomSource& random_source);

  // To be called at each change. A change of the stream resets the client.
  void SetPool(MaintenancePool pool, Instant now);
  void SetIntent(MaintenanceIntent intent, Instant now);

  void OnRead(const Result<cluster::ILog::Read>& read, Instant now);
  void OnAppended(const Result<LogOffset>& result, Instant now);
  void OnTimer(Instant now);
  Instant next_timer() const;
  std::vector<MaintenanceAction> TakeActions();

  // The number of other members whose claims stand before this endpoint's, if
  // that number permits the endpoint to leave service now; else empty.
  std::optional<std::size_t> PermittedRank(Instant now) const;

  // The same number by the last read, regardless of the read's age and of the
  // number of members that may be out.
  std::optional<std::size_t> Rank() const {
    return this->queue.RankOf(this->options.endpoint, this->pool.members);
  }

  const MaintenanceQueue& claims() const { return this->queue; }
  std::uint64_t appends() const { return this->append_count; }

 private:
  void ClearReadState();
  void Proceed(Instant now);
  void Read(Instant now);
  void ScheduleRead(Instant when);
  void Append(const MaintenanceRecord& record);
  bool NeedsRelease() const;
  void Claim();
  void Release();
  // Appends a copy of one claim if a copy is due; returns whether it did.
  bool CopyOne(Instant now);
  void NoteCopies(Instant now);
  Duration PollInterval();
  void RetryLater(Instant now);
  Instant RandomizedStart(Instant now);

  MaintenanceOptions options;
  RandomSource& random;
  MaintenancePool pool;
  MaintenanceIntent intent = MaintenanceIntent::kKeep;
  MaintenanceQueue queue;
  bool busy = false;  // a read or an append is in progress
  bool read_to_end = false;
  bool idle = true;  // nothing to do until the intent changes
  Instant due = kNever;
  Instant read_started_at{};
  std::optional<Instant> verified_at;
  Duration retry{};            // after failed requests
  Duration append_retry{};     // after appends with an unknown outcome
  Instant append_at{};         // earliest time of the next append
  std::uint64_t claim_id = 0;  // claimed and not known to be closed; 0: none
  LogOffset claim_since;       // offset at which the claim was first read
  // The newest record of each open claim, and when this client read it (with a
  // random offset, see NoteCopies).
  std::map<EndpointId, std::pair<LogOffset, Instant>> copies;
  std::uint64_t append_count = 0;
  std::vector<MaintenanceAction> actions;
};

}  // namespace acacialug::maintenance

#endif  // MAINTENANCE_MAINTENANCE_QUEUE_CLIENT_H_
