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
// just one more call.
struct SentWork {
  std::uint64_t kv_tokens = 0;
  Duration prefill_time{};
};

// What an entry believes of one endpoint: its last load report, corrected by
// what this entry sent since, and the latencies it measured. Only a hint: the
// agent decides. Not thread safe; `now` never goes backwards.
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

  // A load report arrived. Work sent less than a round trip ago stays as a
  // correction, since the report was made before it arrived there.
  void Report(const protocol::EndpointLoad& load, Instant now);

  // This entry sent work that no report can yet contain.
  void NoteSent(const SentWork& work, Instant now);

  // The agent refused decode memory of that size, and expects it free then.
  // Holds until a report shows room.
  void NoteFull(std::uint64_t kv_tokens, Duration free_in, Instant now);

  // A message and its immediate answer took this long.
  void NoteRoundTrip(Duration round_trip);

  // Measured time of a piece of work, as a multiple of what was expected (1:
  // as expected) or, for plain calls, in seconds.
  void NoteLatency(double latency);

  // Whether a decode stream of that size has room by the last report, whatever
  // was refused since.
  bool HasCapacity(std::uint64_t kv_tokens) const;

  // Time until a decode stream of that size may start; zero: now.
  Duration SlotWait(std::uint64_t kv_tokens, Instant now) const;

  // Time until all prefills known of here are done.
  Duration WorkAhead(Instant now) const;

  // Time to compute that many prompt tokens, without waiting.
  Duration PrefillTime(std::uint64_t tokens) const;

  // Time to move that many bytes of KV cache to here.
  Duration TransferTime(std::uint64_t bytes) const;

  // Calls that one more call would wait behind, as a share of the endpoint's
  // concurrency; 1 and more: it would queue.
  double Occupancy() const;

  Duration TokenInterval() const;
  Duration RoundTrip() const { return this->round_trip; }

  // Exponentially weighted mean of NoteLatency; zero before the first.
  double Latency() const { return this->latency; }

  const protocol::EndpointLoad& LastReport() const { return this->load; }
  const EndpointId& Id() const { return this->options.id; }
  Duration Distance() const { return this->options.distance; }

  // Hash of the id: seeds rendezvous weights, and identifies the endpoint
  // where comparing strings would be slow.
  std::uint64_t Key() const { return this->key; }

 private:
  struct Correction {
    Instant sent_at{};
    SentWork work;
  };

  std::uint32_t Limit() const;
  void DropOldest();

  // More corrections than this within one round trip mean that the view is
  // far off anyway; the bound keeps the cost of a decision constant.
  static constexpr std::size_t kCorrections = 32;

  Options options;
  std::uint64_t key = 0;
  protocol::EndpointLoad load;
  Instant reported_at{};
  Instant full_until{};
  std::uint64_t full_tokens = 0;  // the size that was refused
  Duration round_trip{};
  double latency = 0;

  std::array<Correction, kCorrections> corrections;  // a ring
  std::size_t first = 0;
  std::size_t count = 0;
  SentWork sum;
};

}  // namespace acacialug::placement

#endif  // PLACEMENT_ENDPOINT_VIEW_H_
