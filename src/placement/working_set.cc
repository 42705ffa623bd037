#include "placement/working_set.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "placement/types/hashing.h"

namespace acacialug::placement {
namespace {

struct Ranked {
  bool elsewhere = false;
  Duration distance{};
  std::uint64_t weight = 0;
  const manifest::Endpoint* endpoint = nullptr;

  friend bool operator<(const Ranked& left, const Ranked& right) {
    // The greater weight first.
    return std::tie(left.elsewhere, left.distance, right.weight,
                    left.endpoint->id) < std::tie(right.elsewhere,
                                                  right.distance, left.weight,
                                                  right.endpoint->id);
  }
};

}  // namespace

WorkingSet::WorkingSet(Options set_options) : options(std::move(set_options)) {}

std::vector<const manifest::Endpoint*> WorkingSet::Choose(
    const manifest::Manifest& manifest,
    const ServiceName& service,
    protocol::EndpointRole role) const {
  const std::uint64_t own_hash = HashText(this->options.entry.text);
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
        {.elsewhere = endpoint.domain != this->options.domain,
         .distance = distance->second,
         .weight = RendezvousWeight(own_hash, HashText(endpoint.id.text)),
         .endpoint = &endpoint});
  }
  std::sort(ranked.begin(), ranked.end());
  const auto own_end =
      std::partition_point(ranked.begin(), ranked.end(),
                           [](const Ranked& item) { return !item.elsewhere; });
  const auto own = static_cast<std::size_t>(own_end - ranked.begin());
  const std::size_t size = std::min(this->options.size, ranked.size());
  const auto kept_elsewhere =
      std::min(static_cast<std::size_t>(this->options.elsewhere *
                                        static_cast<double>(size)),
               ranked.size() - own);
  const std::size_t near = std::min(own, size - kept_elsewhere);
  std::vector<const manifest::Endpoint*> chosen;
  chosen.reserve(size);
  for (std::size_t index = 0; chosen.size() < size; ++index) {
    if (index < near || index >= own) {
      chosen.push_back(ranked[index].endpoint);
    }
  }
  return chosen;
}

}  // namespace acacialug::placement
