#include "control/manifest_diff.h"

#include <map>
#include <nlohmann/json.hpp>

namespace acacialug::control {
namespace {

using Json = nlohmann::ordered_json;
// An item's name, and all its values in one comparable text.
using Items = std::map<std::string, std::string>;

Json ToJson(const manifest::LatencyClass& item) {
  return {item.name,     item.first_token.count(), item.token_interval.count(),
          item.priority, item.objective,           item.patience.count()};
}

std::string TextOf(const manifest::Service& item) {
  Json json = {NameOf(manifest::kServiceKindNames, item.kind),
               item.model_version,
               item.context_tokens,
               item.default_max_tokens,
               item.kv_bytes_per_token,
               item.piece_tokens,
               item.queue_limit};
  for (const ModelName& model : item.models) {
    json.push_back({"model", model.text});
  }
  for (const manifest::Adapter& adapter : item.adapters) {
    json.push_back({"adapter", adapter.name, adapter.version});
  }
  for (const manifest::LatencyClass& latency_class : item.classes) {
    json.push_back(ToJson(latency_class));
  }
  for (const manifest::IdempotencyRule& rule : item.idempotency) {
    json.push_back({rule.method, rule.path_prefix, rule.idempotent});
  }
  return json.dump();
}

std::string TextOf(const manifest::Endpoint& item) {
  return Json{item.host.text,
              item.domain.text,
              item.service.text,
              NameOf(protocol::kEndpointRoleNames, item.role),
              http::ToString(item.agent),
              item.kv_tokens,
              item.slots,
              item.link_bytes_per_second,
              item.checks_fencing,
              item.leaving}
      .dump();
}

std::string TextOf(const manifest::CallerLimits& item) {
  return Json{item.share, item.requests_per_second, item.burst_seconds,
              item.latency_class}
      .dump();
}

void Compare(const std::string& section,
             const Items& before,
             const Items& after,
             std::vector<Change>& changes) {
  for (const auto& [name, text] : before) {
    const auto found = after.find(name);
    if (found == after.end()) {
      changes.push_back({ChangeKind::kRemoved, section, name});
    } else if (found->second != text) {
      changes.push_back({ChangeKind::kChanged, section, name});
    }
  }
  for (const auto& [name, text] : after) {
    if (!before.contains(name)) {
      changes.push_back({ChangeKind::kAdded, section, name});
    }
  }
}

struct Sections {
  Items domains;
  Items distances;
  Items services;
  Items endpoints;
  Items callers;

  explicit Sections(const manifest::Manifest& manifest) {
    for (const FailureDomain& domain : manifest.domains) {
      this->domains[domain.text] = {};
    }
    for (const manifest::DomainDistance& item : manifest.distances) {
      this->distances[item.from.text + " - " + item.to.text] =
          std::to_string(item.one_way.count());
    }
    for (const manifest::Service& item : manifest.services) {
      this->services[item.name.text] = TextOf(item);
    }
    for (const manifest::Endpoint& item : manifest.endpoints) {
      this->endpoints[item.id.text] = TextOf(item);
    }
    for (const manifest::CallerLimits& item : manifest.callers) {
      this->callers[item.caller.text] = TextOf(item);
    }
  }
};

}  // namespace

std::vector<Change> DiffManifests(const manifest::Manifest& before,
                                  const manifest::Manifest& after) {
  const Sections old_items(before);
  const Sections new_items(after);
  std::vector<Change> changes;
  Compare("domain", old_items.domains, new_items.domains, changes);
  Compare("distance", old_items.distances, new_items.distances, changes);
  Compare("service", old_items.services, new_items.services, changes);
  Compare("endpoint", old_items.endpoints, new_items.endpoints, changes);
  Compare("caller", old_items.callers, new_items.callers, changes);
  if (before.require_known_callers != after.require_known_callers) {
    changes.push_back(
        {ChangeKind::kChanged, "manifest", "require_known_callers"});
  }
  return changes;
}

}  // namespace acacialug::control
