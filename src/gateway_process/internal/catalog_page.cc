#include "gateway_process/internal/catalog_page.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "gateway/key_digest.h"

namespace acacialug::gateway_process {
namespace {

using gateway::Configuration;
using gateway::Customer;
using gateway::EndpointChange;
using gateway::EndpointRecord;
using gateway::EngineTraits;
using gateway::Route;
using gateway::ServiceTraits;
using gateway::WeightedService;
using Json = nlohmann::json;

constexpr std::string_view kKnownQuery = "configuration_known=";
constexpr std::string_view kEndpointsQuery = "endpoints_known=";

std::uint64_t NumberInQuery(std::string_view target, std::string_view name) {
  std::uint64_t number = 0;
  const std::size_t query = target.find(name);
  if (query != std::string_view::npos) {
    const std::string_view digits = target.substr(query + name.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
  }
  return number;
}

template <typename Enum, std::size_t kSize>
Enum ReadEnum(const Json& text, const EnumNames<Enum, kSize>& names) {
  const std::optional<Enum> value = ValueOf(names, text.get<std::string>());
  if (!value) {
    throw Json::other_error::create(501, "unlisted name", &text);
  }
  return *value;
}

Json ToJson(const Route& route) {
  Json services = Json::array();
  for (const WeightedService& choice : route.services) {
    services.push_back({choice.service.text, choice.weight});
  }
  return {{"name", route.name},
          {"host", route.host},
          {"path_prefix", route.path_prefix},
          {"kind", NameOf(gateway::kWorkKindNames, route.kind)},
          {"services", std::move(services)},
          {"max_endpoints", route.max_endpoints},
          {"priority", route.priority},
          {"timeout_us", route.timeout.count()},
          {"objective_us", route.objective.count()},
          {"longest_pause_us", route.longest_pause.count()},
          {"open_to_all", route.open_to_all}};
}

Route RouteOf(const Json& json) {
  Route route{
      .name = json.at("name"),
      .host = json.at("host"),
      .path_prefix = json.at("path_prefix"),
      .kind = ReadEnum(json.at("kind"), gateway::kWorkKindNames),
      .max_endpoints = json.at("max_endpoints"),
      .priority = json.at("priority"),
      .timeout = Duration(json.at("timeout_us").get<std::int64_t>()),
      .objective = Duration(json.at("objective_us").get<std::int64_t>()),
      .longest_pause =
          Duration(json.value("longest_pause_us", std::int64_t{0})),
      .open_to_all = json.value("open_to_all", false)};
  for (const Json& choice : json.at("services")) {
    route.services.push_back(
        {.service = ServiceName(choice.at(0).get<std::string>()),
         .weight = choice.at(1)});
  }
  if (route.services.empty()) {
    throw Json::other_error::create(501, "a route without services", &json);
  }
  return route;
}

Json ToJson(const ServiceTraits& service) {
  Json json = {{"name", service.name.text},
               {"health_path", service.health_path},
               {"max_connections", service.max_connections}};
  if (service.engine) {
    json["engine"] = {
        {"slots", service.engine->slots},
        {"kv_tokens", service.engine->kv_tokens},
        {"tokens_per_event", service.engine->tokens_per_event},
        {"export_lifetime_us", service.engine->export_lifetime.count()},
        {"role_switch_us", service.engine->role_switch.count()}};
  }
  return json;
}

ServiceTraits ServiceOf(const Json& json) {
  ServiceTraits service{.name = ServiceName(json.at("name").get<std::string>()),
                        .health_path = json.at("health_path"),
                        .max_connections = json.at("max_connections")};
  if (json.contains("engine")) {
    const Json& engine = json.at("engine");
    service.engine = EngineTraits{
        .slots = engine.at("slots"),
        .kv_tokens = engine.at("kv_tokens"),
        .tokens_per_event = engine.at("tokens_per_event"),
        .export_lifetime =
            Duration(engine.at("export_lifetime_us").get<std::int64_t>()),
        .role_switch =
            Duration(engine.at("role_switch_us").get<std::int64_t>())};
  }
  return service;
}

Json ToJson(const Customer& customer) {
  Json keys = Json::array();
  for (const gateway::KeyDigest& key : customer.keys) {
    keys.push_back(ToText(key));
  }
  Json json = {{"name", customer.name.text},
               {"keys", std::move(keys)},
               {"unit", NameOf(gateway::kLimitUnitNames, customer.limit.unit)},
               {"per_second", customer.limit.per_second},
               {"burst", customer.limit.burst},
               {"unsized_tokens", customer.limit.unsized_tokens}};
  if (customer.priority) {
    json["priority"] = *customer.priority;
  }
  return json;
}

Customer CustomerOf(const Json& json) {
  Customer customer{
      .name = CustomerName(json.at("name").get<std::string>()),
      .limit = {.unit = ReadEnum(json.at("unit"), gateway::kLimitUnitNames),
                .per_second = json.at("per_second"),
                .burst = json.at("burst"),
                .unsized_tokens = json.at("unsized_tokens")}};
  for (const Json& text : json.at("keys")) {
    const auto key = gateway::ParseKeyDigest(text.get<std::string>());
    if (!key) {
      throw Json::other_error::create(501, "not a key's digest", &json);
    }
    customer.keys.push_back(*key);
  }
  if (json.contains("priority")) {
    customer.priority = json.at("priority");
  }
  return customer;
}

Json ToJson(const Configuration& configuration) {
  Json routes = Json::array();
  for (const Route& route : configuration.routes) {
    routes.push_back(ToJson(route));
  }
  Json services = Json::array();
  for (const ServiceTraits& service : configuration.services) {
    services.push_back(ToJson(service));
  }
  Json json = {
      {"version", configuration.version},
      {"offset", configuration.offset.value},
      {"routes", std::move(routes)},
      {"services", std::move(services)},
      {"max_header_bytes", configuration.limits.max_header_bytes},
      {"max_body_bytes", configuration.limits.max_body_bytes},
      {"header_timeout_us", configuration.limits.header_timeout.count()},
      {"idle_timeout_us", configuration.limits.idle_timeout.count()}};
  if (configuration.customers) {
    Json& customers = json["customers"] = Json::array();
    for (const Customer& customer : *configuration.customers) {
      customers.push_back(ToJson(customer));
    }
  }
  return json;
}

Configuration ConfigurationOf(const Json& json) {
  Configuration configuration{.version = json.at("version"),
                              .offset = LogOffset(json.at("offset"))};
  for (const Json& route : json.at("routes")) {
    configuration.routes.push_back(RouteOf(route));
  }
  for (const Json& service : json.at("services")) {
    configuration.services.push_back(ServiceOf(service));
  }
  configuration.limits = {
      .max_header_bytes = json.at("max_header_bytes"),
      .max_body_bytes = json.at("max_body_bytes"),
      .header_timeout =
          Duration(json.at("header_timeout_us").get<std::int64_t>()),
      .idle_timeout = Duration(json.at("idle_timeout_us").get<std::int64_t>())};
  if (json.contains("customers")) {
    std::vector<Customer>& customers = configuration.customers.emplace();
    for (const Json& customer : json.at("customers")) {
      customers.push_back(CustomerOf(customer));
    }
  }
  return configuration;
}

Json ToJson(const EndpointChange& change) {
  const EndpointRecord& record = *change.record;
  return {{"offset", change.offset.value},
          {"id", record.id.text},
          {"service", record.service.text},
          {"address", http::ToString(record.address)},
          {"domain", record.domain.text},
          {"role", NameOf(gateway::kEndpointRoleNames, record.role)},
          {"slots", record.slots},
          {"born", record.started_at_ms},
          {"leaving", record.leaving},
          {"sequence", record.sequence},
          {"software_version", record.software_version}};
}

EndpointChange EndpointOf(const Json& json) {
  const std::optional<http::Address> address =
      http::ParseAddress(json.at("address").get<std::string>());
  if (!address) {
    throw Json::other_error::create(501, "not an address", &json);
  }
  EndpointRecord record{
      .id = EndpointId(json.at("id").get<std::string>()),
      .service = ServiceName(json.at("service").get<std::string>()),
      .address = *address,
      .domain = FailureDomain(json.at("domain").get<std::string>()),
      .role = ReadEnum(json.at("role"), gateway::kEndpointRoleNames),
      .slots = json.at("slots"),
      .started_at_ms = json.value("born", std::int64_t{0}),
      .leaving = json.at("leaving"),
      .sequence = json.value("sequence", std::uint64_t{0}),
      .software_version = json.value("software_version", std::string())};
  EndpointChange change{.offset = LogOffset(json.at("offset")),
                        .id = record.id};
  change.record = std::move(record);
  return change;
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

std::string CatalogTarget(NextVersion known, LogOffset endpoints) {
  return std::string(kCatalogPath)
      .append("?")
      .append(kKnownQuery)
      .append(std::to_string(known.value))
      .append("&")
      .append(kEndpointsQuery)
      .append(std::to_string(endpoints.value));
}

NextVersion KnownByTarget(std::string_view target) {
  return NextVersion(NumberInQuery(target, kKnownQuery));
}

LogOffset EndpointsKnownByTarget(std::string_view target) {
  return LogOffset(NumberInQuery(target, kEndpointsQuery));
}

std::string RenderConfiguration(const Configuration& configuration) {
  return Dump(ToJson(configuration));
}

std::string RenderCatalog(const gateway::EndpointSnapshot& endpoints,
                          std::string_view configuration_text) {
  Json records = Json::array();
  for (const EndpointChange& change : endpoints.records) {
    records.push_back(ToJson(change));
  }
  Json json = {{"endpoints_as_of", endpoints.as_of.value},
               {"endpoints_settled", endpoints.settled},
               {"endpoints_held_back", endpoints.held_back},
               {"endpoints", std::move(records)}};
  if (endpoints.since != LogOffset()) {
    json["endpoints_since"] = endpoints.since.value;
    Json& removals = json["removed"] = Json::array();
    for (const gateway::EndpointSnapshot::Removal& removal :
         endpoints.removals) {
      removals.push_back({removal.id.text, removal.offset.value});
    }
  }
  std::string page = Dump(json);
  if (!configuration_text.empty()) {
    page.pop_back();  // the object continues
    page.append(R"(,"configuration":)").append(configuration_text).append("}");
  }
  return page;
}

std::string RenderCatalog(const Catalog& catalog) {
  return RenderCatalog(catalog.endpoints,
                       catalog.configuration == nullptr
                           ? std::string()
                           : RenderConfiguration(*catalog.configuration));
}

Result<Catalog> ParseCatalog(std::string_view text, NextVersion known) {
  try {
    const Json json = Json::parse(text);
    Catalog catalog;
    catalog.endpoints.as_of = LogOffset(json.at("endpoints_as_of"));
    catalog.endpoints.settled = json.at("endpoints_settled");
    // A program from before does not tell.
    catalog.endpoints.held_back = json.value("endpoints_held_back", true);
    for (const Json& record : json.at("endpoints")) {
      catalog.endpoints.records.push_back(EndpointOf(record));
    }
    if (json.contains("endpoints_since")) {
      catalog.endpoints.since = LogOffset(json.at("endpoints_since"));
      for (const Json& removal : json.at("removed")) {
        catalog.endpoints.removals.push_back(
            {.id = EndpointId(removal.at(0).get<std::string>()),
             .offset = LogOffset(removal.at(1))});
      }
    }
    if (json.contains("configuration")) {
      const Json& configuration = json.at("configuration");
      if (NextVersion(configuration.at("version")) >= known) {
        catalog.configuration = std::make_shared<const Configuration>(
            ConfigurationOf(configuration));
      }
    }
    return catalog;
  } catch (const Json::exception& exception) {
    return Error(ResultCode::kMalformedJson, exception.what());
  }
}

}  // namespace acacialug::gateway_process
