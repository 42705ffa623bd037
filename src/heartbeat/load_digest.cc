#include "heartbeat/load_digest.h"

#include <algorithm>
#include <cmath>

namespace acacialug::heartbeat {
namespace {

constexpr double kMaterialShare = 1.0 / 8;
// Smaller differences in time do not affect placement: they are within one
// round of a decision.
constexpr double kMaterialSeconds = 0.05;

bool Differs(double known, double current, double min_difference) {
  const double scale = std::max(std::abs(known), std::abs(current));
  return std::abs(known - current) >=
         std::max(min_difference, scale * kMaterialShare);
}

bool Differs(Duration known, Duration current) {
  return Differs(Seconds(known), Seconds(current), kMaterialSeconds);
}

// Compares the difference with the total rather than with the values, so that a
// nearly empty endpoint does not report each request.
bool DiffersRelativeTo(std::uint64_t total,
                       std::uint64_t known,
                       std::uint64_t now) {
  const std::uint64_t difference = known > now ? known - now : now - known;
  return difference > 0 && static_cast<double>(difference) >=
                               static_cast<double>(total) * kMaterialShare;
}

}  // namespace

bool ChangedMaterially(const protocol::EndpointLoad& known,
                       const protocol::EndpointLoad& current) {
  return known.leaving != current.leaving || known.limit != current.limit ||
         known.total_kv_tokens != current.total_kv_tokens ||
         (known.queued == 0) != (current.queued == 0) ||
         DiffersRelativeTo(current.total_kv_tokens, known.free_kv_tokens,
                           current.free_kv_tokens) ||
         DiffersRelativeTo(current.limit, known.running, current.running) ||
         DiffersRelativeTo(current.limit, known.queued, current.queued) ||
         Differs(known.work_ahead, current.work_ahead) ||
         Differs(known.next_slot_in, current.next_slot_in) ||
         Differs(Seconds(known.token_interval), Seconds(current.token_interval),
                 0.001) ||
         Differs(known.prefill_tokens_per_second,
                 current.prefill_tokens_per_second, 1);
}

}  // namespace acacialug::heartbeat
