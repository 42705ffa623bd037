#include "manifest/internal/rule_checker.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace acacialug::manifest::internal {
namespace {

using protocol::EndpointRole;
using settings::Table;

class Checker {
 public:
  Checker(const Table& text_root, const Manifest& checked)
      : root(text_root), manifest(checked) {}

  void CheckAll() {
    this->CheckDistances();
    this->CheckServices();
    this->CheckEndpoints();
    this->CheckCallers();
    this->CheckPools();
  }

 private:
  static void Broken(const Table& table,
                     std::string_view key,
                     std::string expected) {
    table.Report(key, ResultCode::kManifestInvalid, std::move(expected));
  }

  // Two items of one name would make every reference to it ambiguous.
  static void CheckNew(std::set<std::string>& seen,
                       const std::string& name,
                       const Table& table,
                       std::string_view key) {
    if (!seen.insert(name).second) {
      Broken(table, key,
             "expected a name used once, found \"" + name + "\" again");
    }
  }

  void CheckDomain(const FailureDomain& domain,
                   const Table& table,
                   std::string_view key) const {
    const auto& domains = this->manifest.domains;
    if (std::find(domains.begin(), domains.end(), domain) == domains.end()) {
      Broken(table, key,
             "expected one of `domains`, found \"" + domain.text + "\"");
    }
  }

  void CheckDistances() const {
    const std::vector<Table> tables = this->root.Tables("distance");
    for (std::size_t i = 0; i < this->manifest.distances.size(); ++i) {
      this->CheckDomain(this->manifest.distances[i].from, tables[i], "from");
      this->CheckDomain(this->manifest.distances[i].to, tables[i], "to");
    }
  }

  void CheckServices() const {
    const std::vector<Table> tables = this->root.Tables("service");
    std::set<std::string> names;
    std::set<std::string> models;
    for (std::size_t i = 0; i < this->manifest.services.size(); ++i) {
      const Service& service = this->manifest.services[i];
      CheckNew(names, service.name.text, tables[i], "name");
      for (const ModelName& model : service.models) {
        CheckNew(models, model.text, tables[i], "models");
      }
      CheckServiceKind(service, tables[i]);
      CheckClasses(service, tables[i]);
      this->CheckPoolRules(service, tables[i]);
    }
  }

  static void CheckServiceKind(const Service& service, const Table& table) {
    const bool is_model = service.kind == ServiceKind::kModel;
    if (is_model && service.models.empty()) {
      Broken(table, "models", "expected at least one model, found none");
    }
    if (!is_model && !service.models.empty()) {
      Broken(table, "models", "expected none for a plain service");
    }
  }

  static void CheckClasses(const Service& service, const Table& table) {
    const std::vector<Table> tables = table.Tables("class");
    std::set<std::string> names;
    for (std::size_t i = 0; i < service.classes.size(); ++i) {
      CheckNew(names, service.classes[i].name, tables[i], "name");
    }
  }

  // A pool with fewer endpoints than its minimum would never be updated, and
  // no operator would see the reason.
  void CheckPoolRules(const Service& service, const Table& table) const {
    const std::vector<Table> tables = table.Tables("pool");
    const bool is_plain = service.kind == ServiceKind::kPlain;
    std::set<EndpointRole> roles;
    for (std::size_t i = 0; i < service.pools.size(); ++i) {
      const PoolRule& rule = service.pools[i];
      if (is_plain != (rule.role == EndpointRole::kPlain)) {
        Broken(tables[i], "role", "expected a role of the service's kind");
      } else if (!roles.insert(rule.role).second) {
        Broken(tables[i], "role", "expected each role once");
      }
      const std::size_t members =
          this->manifest.PoolMembers(service.name, rule.role).size();
      if (members > 0 && rule.minimum_serving > members) {
        Broken(tables[i], "minimum_serving",
               "expected at most the pool's " + std::to_string(members) +
                   " endpoints that are not leaving, found " +
                   std::to_string(rule.minimum_serving));
      }
    }
  }

  void CheckEndpoints() const {
    const std::vector<Table> tables = this->root.Tables("endpoint");
    std::set<std::string> names;
    std::set<std::string> agents;
    for (std::size_t i = 0; i < this->manifest.endpoints.size(); ++i) {
      const Endpoint& endpoint = this->manifest.endpoints[i];
      CheckNew(names, endpoint.id.text, tables[i], "id");
      CheckNew(agents, http::ToString(endpoint.agent), tables[i], "agent");
      this->CheckDomain(endpoint.domain, tables[i], "domain");
      this->CheckEndpointRole(endpoint, tables[i]);
    }
  }

  void CheckEndpointRole(const Endpoint& endpoint, const Table& table) const {
    const Service* service = this->manifest.FindService(endpoint.service);
    if (service == nullptr) {
      Broken(table, "service",
             "expected the name of a service, found \"" +
                 endpoint.service.text + "\"");
      return;
    }
    const bool is_plain = endpoint.role == EndpointRole::kPlain;
    if (is_plain != (service->kind == ServiceKind::kPlain)) {
      Broken(table, "role",
             is_plain ? "expected \"prefill\" or \"decode\" in a model service"
                      : "expected \"plain\" in a plain service");
    }
    if (endpoint.role == EndpointRole::kDecode && endpoint.kv_tokens == 0) {
      Broken(table, "kv_tokens",
             "expected a decode endpoint's memory, found 0");
    }
  }

  void CheckCallers() const {
    const std::vector<Table> tables = this->root.Tables("caller");
    std::set<std::string> names;
    for (std::size_t i = 0; i < this->manifest.callers.size(); ++i) {
      const CallerLimits& caller = this->manifest.callers[i];
      CheckNew(names, caller.caller.text, tables[i], "name");
      if (!caller.latency_class.empty() &&
          !this->KnowsClass(caller.latency_class)) {
        Broken(tables[i], "class",
               "expected a class of some service, found \"" +
                   caller.latency_class + "\"");
      }
    }
  }

  bool KnowsClass(const std::string& name) const {
    const auto& services = this->manifest.services;
    const auto has_class = [&name](const Service& service) {
      return std::any_of(
          service.classes.begin(), service.classes.end(),
          [&name](const LatencyClass& item) { return item.name == name; });
    };
    return std::any_of(services.begin(), services.end(), has_class);
  }

  // A model service that has only one of the two pools could admit requests
  // and never finish them. A service without any endpoint is allowed: its
  // requests are refused as kNoEndpoint until its endpoints are declared.
  void CheckPools() const {
    const std::vector<Table> tables = this->root.Tables("service");
    for (std::size_t i = 0; i < this->manifest.services.size(); ++i) {
      const Service& service = this->manifest.services[i];
      if (service.kind != ServiceKind::kModel) {
        continue;
      }
      const bool prefill = this->HasRole(service, EndpointRole::kPrefill);
      const bool decode = this->HasRole(service, EndpointRole::kDecode);
      if (prefill != decode) {
        Broken(tables[i], "name",
               std::string("expected endpoints of both roles, found no ") +
                   (prefill ? "decode" : "prefill") + " endpoint");
      }
    }
  }

  bool HasRole(const Service& service, EndpointRole role) const {
    const auto& endpoints = this->manifest.endpoints;
    return std::any_of(
        endpoints.begin(), endpoints.end(), [&](const Endpoint& endpoint) {
          return endpoint.service == service.name && endpoint.role == role;
        });
  }

  Table root;
  const Manifest& manifest;
};

}  // namespace

void CheckRules(const Table& root, const Manifest& manifest) {
  Checker(root, manifest).CheckAll();
}

}  // namespace acacialug::manifest::internal
