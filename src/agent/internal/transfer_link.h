#ifndef AGENT_INTERNAL_TRANSFER_LINK_H_
#define AGENT_INTERNAL_TRANSFER_LINK_H_

#include <cstdint>
#include <set>
#include <unordered_map>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"

namespace acacialug::agent {

// Windows on the rate-limited link by which KV caches reach a decode engine,
// one transfer after the other at the full rate. They are booked before the
// prefill: otherwise several prefills end together, their transfers share the
// link, and the exports of the last ones are evicted. Not thread safe.
class TransferLink {
 public:
  struct Options {
    std::uint64_t bytes_per_second = 0;  // 0: not limited
    Duration export_lifetime = 800ms;
  };

  struct Answer {
    bool granted = true;
    Duration retry_after{};  // when not granted
  };

  explicit TransferLink(Options link_options) : options(link_options) {}

  // Books the first window from `ready_in` on that ends within the export's
  // lifetime; a transfer longer than that must begin at once. A transfer that
  // is ready now goes before windows of transfers that were not ready when they
  // were booked.
  Answer Book(const AttemptId& attempt,
              std::uint64_t bytes,
              Duration ready_in,
              Instant now);

  // The transfer begins now: its window moves to the first gap from now on.
  void Begin(const AttemptId& attempt, Instant now);

  // An unknown attempt is no error.
  void Release(const AttemptId& attempt);

  // Applies to windows booked from now on.
  void SetRate(std::uint64_t bytes_per_second) {
    this->options.bytes_per_second = bytes_per_second;
  }

 private:
  struct Window {
    Instant start;
    Instant end;
    AttemptId attempt;
    bool ready = false;  // ready when booked, or transfer started

    friend auto operator<=>(const Window&, const Window&) = default;
  };

  Instant FirstGap(Instant from, Duration length, bool only_ready) const;
  void Insert(const Window& window);
  void ForgetPast(Instant now);

  Options options;
  std::set<Window> windows;
  std::unordered_map<AttemptId, Window> by_attempt;
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_TRANSFER_LINK_H_
