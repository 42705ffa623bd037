#include "placement/working_set.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "placement/types/hashing.h"

namespace acacialug::placement {
namespace {

struct Ranked {
  bool remote = false;
  Duration distance{};
  std::uint64_t weight = 0;
  const manifest::Endpoint* endpoint = nullptr;

  friend bool operator<(const Ranked& left, const Ranked& right) {
    // Greater weights first.
    return std::tie(left.remote, left.distance, right.weight,
                    left.endpoint->id) < std::tie(right.remote, right.distance,
                                                  left.weight,
                                                  right.endpoint->id);
  }
};

}  // namespace

WorkingSet::WorkingSet(Options set_options) : options(std::move(set_options)) {}

std::vector<const manifest::Endpoint*> WorkingSet::Choose(
    const manifest::Manifest& manifest,
    const ServiceName& service,
    protocol::EndpointRole role) const {
  const std::uint64_t entry_hash = HashText(this->options.entry.text);
  std::map<FailureDomain, Duration> distances;
  std::vector<Ranked> ranked;
  for (const manifest::Endpoint& endpoint : manifest.endpoints) {
    if (endpoint.service != service || endpoint.role != role ||
        endpoint.leaving) {
      continue;
    }
    const auto [distance, unknown] =
        distances.try_emplace(endpoint.domain, Duration{});
    if (unknown) {
      distance->second =
          manifest.DistanceBetween(this->options.domain, endpoint.domain);
    }
    ranked.push_back(
        {.remote = endpoint.domain != this->options.domain,
         .distance = distance->second,
         .weight = RendezvousWeight(entry_hash, HashText(endpoint.id.text)),
         .endpoint = &endpoint});
  }
  std::sort(ranked.begin(), ranked.end());
  const auto local_end =
      std::partition_point(ranked.begin(), ranked.end(),
                           [](const Ranked& item) { return !item.remote; });
  const auto local_count = static_cast<std::size_t>(local_end - ranked.begin());
  const std::size_t size = std::min(this->options.size, ranked.size());
  const auto remote_slots =
      std::min(static_cast<std::size_t>(this->options.remote_share *
                                        static_cast<double>(size)),
               ranked.size() - local_count);
  const std::size_t local_slots = std::min(local_count, size - remote_slots);
  std::vector<const manifest::Endpoint*> chosen;
  chosen.reserve(size);
  for (std::size_t index = 0; chosen.size() < size; ++index) {
    if (index < local_slots || index >= local_count) {
      chosen.push_back(ranked[index].endpoint);
    }
  }
  return chosen;
}

}  // namespace acacialug::placement
