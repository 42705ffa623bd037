#include "manifest/internal/table_reader.h"

#include <string>
#include <vector>

namespace acacialug::manifest::internal {
namespace {

using settings::Table;

constexpr std::int64_t kMaxTokens = 100'000'000;
constexpr std::int64_t kMaxSlots = 100'000;
constexpr std::int64_t kMaxPool = 1'000'000;
constexpr std::int64_t kMaxQueue = 1'000'000;
constexpr double kMaxRate = 1e9;
constexpr Duration kMaxTarget = 24h;

std::string OptionalText(const Table& table, std::string_view key) {
  return table.String(key, {.fallback = "", .minimum_bytes = 0});
}

std::uint32_t Count(const Table& table,
                    std::string_view key,
                    std::uint32_t fallback,
                    std::int64_t minimum,
                    std::int64_t maximum) {
  return static_cast<std::uint32_t>(table.Integer(
      key, {.fallback = fallback, .minimum = minimum, .maximum = maximum}));
}

LatencyClass ReadClass(const Table& table) {
  const LatencyClass defaults;
  return {
      .name = table.String("name"),
      .first_token = table.Duration("first_token",
                                    {.minimum = 1ms, .maximum = kMaxTarget}),
      .token_interval =
          table.Duration("token_interval", {.fallback = defaults.token_interval,
                                            .minimum = 1ms,
                                            .maximum = kMaxTarget}),
      .priority = static_cast<std::int32_t>(table.Integer(
          "priority", {.fallback = 0, .minimum = -1000, .maximum = 1000})),
      .objective = table.Number(
          "objective",
          {.fallback = defaults.objective, .minimum = 0.5, .maximum = 0.99999}),
      .patience = table.Duration("patience", {.fallback = defaults.patience,
                                              .minimum = 1ms,
                                              .maximum = kMaxTarget}),
  };
}

IdempotencyRule ReadRule(const Table& table) {
  return {.method = OptionalText(table, "method"),
          .path_prefix = OptionalText(table, "path"),
          .idempotent = table.Bool("idempotent")};
}

PoolRule ReadPool(const Table& table) {
  return {.role = table.Choice("role", protocol::kEndpointRoleNames),
          .minimum_serving = Count(table, "minimum_serving", 0, 0, kMaxPool),
          .minimum_serving_share =
              table.Number("minimum_serving_share",
                           {.fallback = 0.0, .minimum = 0.0, .maximum = 1.0})};
}

Adapter ReadAdapter(const Table& table) {
  return {.name = table.String("name"), .version = table.String("version")};
}

void ReadModels(const Table& table, Service& service) {
  const std::vector<std::string> none;
  for (std::string& model : table.StringList("models", {.fallback = none})) {
    service.models.emplace_back(std::move(model));
  }
  service.model_version = OptionalText(table, "model_version");
  for (const Table& adapter : table.Tables("adapters")) {
    service.adapters.push_back(ReadAdapter(adapter));
  }
}

Service ReadService(const Table& table) {
  const Service defaults;
  Service service;
  service.name = ServiceName(table.String("name"));
  service.kind = table.Choice("kind", kServiceKindNames);
  ReadModels(table, service);
  service.context_tokens =
      Count(table, "context_tokens", defaults.context_tokens, 1, kMaxTokens);
  service.default_max_tokens = Count(
      table, "default_max_tokens", defaults.default_max_tokens, 1, kMaxTokens);
  service.kv_bytes_per_token = table.Bytes(
      "kv_bytes_per_token", {.fallback = defaults.kv_bytes_per_token});
  service.piece_tokens =
      Count(table, "piece_tokens", defaults.piece_tokens, 16, kMaxTokens);
  for (const Table& item : table.Tables("class", {.minimum_count = 1})) {
    service.classes.push_back(ReadClass(item));
  }
  for (const Table& rule : table.Tables("idempotency")) {
    service.idempotency.push_back(ReadRule(rule));
  }
  for (const Table& pool : table.Tables("pool")) {
    service.pools.push_back(ReadPool(pool));
  }
  service.queue_limit =
      Count(table, "queue_limit", defaults.queue_limit, 1, kMaxQueue);
  return service;
}

Endpoint ReadEndpoint(const Table& table) {
  return {
      .id = EndpointId(table.String("id")),
      .host = HostId(table.String("host")),
      .domain = FailureDomain(table.String("domain")),
      .service = ServiceName(table.String("service")),
      .role = table.Choice("role", protocol::kEndpointRoleNames),
      .agent = table.Parsed<http::Address>(
          "agent", {.parse = http::ParseAddress, .expected = "IP:PORT"}),
      .kv_tokens = static_cast<std::uint64_t>(table.Integer(
          "kv_tokens", {.fallback = 0, .minimum = 0, .maximum = kMaxTokens})),
      .slots = Count(table, "slots", 1, 1, kMaxSlots),
      .link_bytes_per_second =
          table.Bytes("link_bytes_per_second", {.fallback = 0}),
      .checks_fencing = table.Bool("checks_fencing", {.fallback = false}),
      .leaving = table.Bool("leaving", {.fallback = false}),
  };
}

CallerLimits ReadCaller(const Table& table) {
  const CallerLimits defaults;
  return {
      .caller = CallerName(table.String("name")),
      .share = table.Number(
          "share",
          {.fallback = defaults.share, .minimum = 0.001, .maximum = 1e6}),
      .requests_per_second =
          table.Number("requests_per_second",
                       {.fallback = 0.0, .minimum = 0.0, .maximum = kMaxRate}),
      .burst_seconds =
          table.Number("burst_seconds", {.fallback = defaults.burst_seconds,
                                         .minimum = 0.1,
                                         .maximum = 3600.0}),
      .latency_class = OptionalText(table, "class"),
  };
}

DomainDistance ReadDistance(const Table& table) {
  return {.from = FailureDomain(table.String("from")),
          .to = FailureDomain(table.String("to")),
          .one_way = table.Duration("one_way", {.maximum = 10s})};
}

}  // namespace

void ReadManifest(const Table& root, Manifest& manifest) {
  manifest.version = root.String("version");
  manifest.replaces = LogOffset(static_cast<std::uint64_t>(
      root.Integer("replaces", {.fallback = 0, .minimum = 0})));
  manifest.require_known_callers =
      root.Bool("require_known_callers", {.fallback = false});
  for (std::string& domain : root.StringList("domains", {.minimum_count = 1})) {
    manifest.domains.emplace_back(std::move(domain));
  }
  for (const Table& distance : root.Tables("distance")) {
    manifest.distances.push_back(ReadDistance(distance));
  }
  for (const Table& service : root.Tables("service", {.minimum_count = 1})) {
    manifest.services.push_back(ReadService(service));
  }
  for (const Table& endpoint : root.Tables("endpoint")) {
    manifest.endpoints.push_back(ReadEndpoint(endpoint));
  }
  for (const Table& caller : root.Tables("caller")) {
    manifest.callers.push_back(ReadCaller(caller));
  }
}

}  // namespace acacialug::manifest::internal
