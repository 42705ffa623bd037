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

// ---- what a keeper asks of the process around it ----

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

// What the endpoint's state asks for.
enum class MaintenanceIntent : std::uint8_t {
  kNone,   // it serves as it should: whatever it claimed is given back
  kKeep,   // not known, or it does not serve: neither claims nor gives back
  kEnter,  // it serves, and has to be taken out for an order
};
inline constexpr EnumNames<MaintenanceIntent, 3> kMaintenanceIntentNames = {{
    {MaintenanceIntent::kNone, "none"},
    {MaintenanceIntent::kKeep, "keep"},
    {MaintenanceIntent::kEnter, "turn"},
}};

// The pool as the manifest in force at this process has it.
struct MaintenancePool {
  std::string stream;            // of the platform's log
  std::set<EndpointId> members;  // those that are not leaving
  std::size_t allowed_out = 0;   // of the members, at once
  LogOffset manifest;
};

struct MaintenanceOptions {
  EndpointId endpoint;
  // A turn is used only on a reading of the stream that began within this
  // time: a process that was paused, or that has lost the log, reads again.
  Duration fresh_for = 5s;
  Duration shortest_poll = 1s;  // of who may go next
  Duration longest_poll = 30s;  // of who is far behind
  // Spreads a pool's first appends: this much for each member.
  Duration spread_per_member = 50ms;
  Duration retry_first = 500ms;  // after a failure, doubled
  Duration retry_most = 30s;     // up to this
  // An open claim is copied when its newest record was read so long ago, by
  // whoever reads; well below the log's retention.
  Duration copy_after = 1h;
};

// Takes the endpoint's place in its pool's order, keeps it, and gives it back.
// One read or append at a time; an append's answer is never believed, only
// what is read. Not thread safe; `now` never goes backwards.
class MaintenanceQueueClient {
 public:
  MaintenanceQueueClient(MaintenanceOptions turn_options,
                         RandomSource& random_source);

  // Call at each change. Another stream than before starts anew.
  void SetPool(MaintenancePool pool, Instant now);
  void SetIntent(MaintenanceIntent wish, Instant now);

  void OnRead(const Result<cluster::ILog::Read>& read, Instant now);
  void OnAppended(const Result<LogOffset>& result, Instant now);
  void OnTimer(Instant now);
  Instant next_timer() const;
  std::vector<MaintenanceAction> TakeActions();

  // Other members whose claim stands before this endpoint's, if it may be
  // taken out now as far as their number tells; else empty.
  std::optional<std::size_t> PermittedRank(Instant now) const;

  // The same by what was read last, whatever its age and the number allowed.
  std::optional<std::size_t> Rank() const {
    return this->turn_book.RankOf(this->options.endpoint, this->pool.members);
  }

  const MaintenanceQueue& book() const { return this->turn_book; }
  std::uint64_t appends() const { return this->append_count; }

 private:
  void Forget();
  void Pursue(Instant now);
  void Read(Instant now);
  void ReadAgainAt(Instant when);
  void Append(const MaintenanceRecord& record);
  bool NeedsRelease() const;
  void Claim();
  void Release();
  // A copy that is due, if there is one.
  bool CopyOne(Instant now);
  void NoteCopies(Instant now);
  Duration PollInterval();
  void RetryLater(Instant now);
  Instant Spread(Instant now);

  MaintenanceOptions options;
  RandomSource& random;
  MaintenancePool pool;
  MaintenanceIntent wish = MaintenanceIntent::kKeep;
  MaintenanceQueue turn_book;
  bool busy = false;  // a read or an append is under way
  bool read_to_end = false;
  bool settled = true;  // nothing to do until the wish changes
  Instant due = kNever;
  Instant read_began{};
  std::optional<Instant> verified_at;
  Duration retry{};            // of what failed
  Duration append_retry{};     // of appends without an answer
  Instant append_at{};         // the next one not before
  std::uint64_t claim_id = 0;  // claimed, and not known to be closed
  LogOffset claim_since;       // where it was read first
  // When the newest record of each open claim was read here.
  std::map<EndpointId, std::pair<LogOffset, Instant>> copies;
  std::uint64_t append_count = 0;
  std::vector<MaintenanceAction> actions;
};

}  // namespace acacialug::maintenance

#endif  // MAINTENANCE_MAINTENANCE_QUEUE_CLIENT_H_
