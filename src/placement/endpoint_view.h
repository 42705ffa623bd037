#ifndef PLACEMENT_ENDPOINT_VIEW_H_
#define PLACEMENT_ENDPOINT_VIEW_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "protocol/types/messages.h"

namespace acacialug::placement {

// Work that an entry sends to an endpoint: decode memory, prefill time, or
// one more call.
struct SentWork {
  std::uint64_t kv_tokens = 0;
  Duration prefill_time{};
};

// The state of one endpoint as estimated by an entry: the last load report,
// corrected by the work that this entry sent since, and measured latencies.
// Only a hint: the agent decides. Not thread safe; `now` never goes backwards.
class EndpointView {
 public:
  struct Options {
    EndpointId id;
    Duration distance{};  // one way, to the entry
    std::uint32_t slots = 0;
    std::uint64_t kv_tokens = 0;
    std::uint64_t link_bytes_per_second = 0;   // 0: not limited
    double prefill_tokens_per_second = 20000;  // until the first report
    Duration token_interval = 30ms;            // until the first report
  };

  explicit EndpointView(Options view_options);

  // A load report arrived. Work sent less than a round-trip time ago stays
  // as a correction, since the report was made before the work arrived there.
  void Report(const protocol::EndpointLoad& load, Instant now);

  // This entry sent work that no report can contain yet.
  void NoteSent(const SentWork& work, Instant now);

  // The agent refused decode memory of this size and expects it to be free
  // after `free_in`. Applies until then or until a report shows capacity.
  void NoteFull(std::uint64_t kv_tokens, Duration free_in, Instant now);

  // Records the measured time of a message and its immediate answer.
  void NoteRoundTrip(Duration round_trip);

  // Records the measured time of a request, as a multiple of the expected time
  // (1: as expected) or, for plain calls, in seconds.
  void NoteLatency(double latency);

  // Whether the endpoint has capacity for a decode stream of this size by the
  // last report and the corrections, regardless of refusals since.
  bool HasCapacity(std::uint64_t kv_tokens) const;

  // Time until a decode stream of this size may start; zero: now.
  Duration SlotWait(std::uint64_t kv_tokens, Instant now) const;

  // Time until all known prefills of this endpoint are finished.
  Duration WorkAhead(Instant now) const;

  // Time to compute `tokens` prompt tokens, without the wait before them.
  Duration PrefillTime(std::uint64_t tokens) const;

  // Time to transfer `bytes` of KV cache to this endpoint.
  Duration TransferTime(std::uint64_t bytes) const;

  // Running, queued and recently sent calls as a share of the endpoint's
  // concurrency limit; at 1 and above, one more call would queue.
  double Occupancy() const;

  Duration TokenInterval() const;
  Duration RoundTrip() const { return this->round_trip; }

  // Exponentially weighted mean of NoteLatency; zero before the first.
  double Latency() const { return this->latency; }

  const protocol::EndpointLoad& LastReport() const { return this->load; }
  const EndpointId& Id() const { return this->options.id; }
  Duration Distance() const { return this->options.distance; }

  // Hash of the id: the seed of rendezvous weights, and an identifier of the
  // endpoint where string comparisons would be slow.
  std::uint64_t Key() const { return this->key; }

 private:
  struct Correction {
    Instant sent_at{};
    SentWork work;
  };

  std::uint32_t Limit() const;
  void DropOldest();

  // With more corrections than this within one round-trip time, the estimate is
  // inaccurate anyway; the bound keeps the cost of a decision constant.
  static constexpr std::size_t kMaxCorrections = 32;

  Options options;
  std::uint64_t key = 0;
  protocol::EndpointLoad load;
  Instant reported_at{};
  Instant full_until{};
  std::uint64_t full_tokens = 0;  // the size that was refused
  Duration round_trip{};
  double latency = 0;

  std::array<Correction, kMaxCorrections> corrections;  // a ring buffer
  std::size_t first = 0;
  std::size_t count = 0;
  SentWork sum;
};

}  // namespace acacialug::placement

#endif  // PLACEMENT_ENDPOINT_VIEW_H_
