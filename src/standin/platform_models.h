#ifndef STANDIN_PLATFORM_MODELS_H_
#define STANDIN_PLATFORM_MODELS_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "cluster/i_host_list.h"
#include "cluster/i_log.h"
#include "framework/global/types/result.h"
#include "standin/types/platform_options.h"

// The platform's services without sockets or a clock, used by the HTTP
// stand-ins and the in-process fakes. `now` never decreases. None is thread
// safe.
namespace acacialug::standin {

// Append-only streams with offsets from 1, limited retention and a limited
// rate of appends.
class LogModel {
 public:
  explicit LogModel(LogOptions log_options);

  // Errors, all of them without effect: kPlatformUnavailable (outage, rate),
  // kInvalidParameter (record too large).
  Result<LogOffset> Append(const std::string& stream,
                           std::string payload,
                           Instant now);

  // Errors: kPlatformUnavailable (outage).
  Result<cluster::ILog::Read> ReadFrom(const std::string& stream,
                                       LogOffset from,
                                       std::size_t limit,
                                       Instant now);

  void SetOutage(bool is_out) { this->outage = is_out; }
  void SetOptions(const LogOptions& log_options) {
    this->options = log_options;
  }
  const LogOptions& log_options() const { return this->options; }

 private:
  struct Stream {
    struct Entry {
      std::string payload;
      Instant at;
    };
    std::deque<Entry> entries;
    std::uint64_t first_kept = 1;

    std::uint64_t next() const {
      return this->first_kept + this->entries.size();
    }
  };

  bool TakeToken(Instant now);
  void Expire(Stream& stream, Instant now) const;

  LogOptions options;
  bool outage = false;
  std::map<std::string, Stream> streams;
  double tokens = 0;  // of the rate limit's bucket
  bool tokens_begun = false;
  Instant tokens_at;
};

// Live and leaving hosts; a change is visible after the lag.
class HostListModel {
 public:
  explicit HostListModel(const HostListOptions& host_options);

  void Set(const HostId& host, cluster::HostState state, Instant now);
  void Remove(const HostId& host, Instant now);
  std::vector<cluster::HostRecord> Read(Instant now);

 private:
  struct Change {
    Instant at;
    HostId host;
    bool removed = false;
    cluster::HostState state = cluster::HostState::kLive;
  };

  void Apply(Instant now);

  Duration lag;
  std::map<HostId, cluster::HostState> hosts;
  std::deque<Change> changes;
};

// Permits to load weights, of which only a few are granted at once.
class WeightStoreModel {
 public:
  explicit WeightStoreModel(WeightStoreOptions store_options)
      : options(store_options) {}

  // Returns how long the permit is valid. A repeated request of the holder
  // renews it. Errors: kOverloaded.
  Result<Duration> Acquire(const EndpointId& endpoint, Instant now);
  void Release(const EndpointId& endpoint);
  std::size_t held(Instant now);

 private:
  WeightStoreOptions options;
  std::map<EndpointId, Instant> holders;  // with the end of each permit
};

}  // namespace acacialug::standin

#endif  // STANDIN_PLATFORM_MODELS_H_
