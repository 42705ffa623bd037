#include "standin/settings.h"

#include <utility>

#include "framework/settings/reader.h"

namespace acacialug::standin {
namespace {

using settings::Reader;
using settings::Table;

constexpr std::int64_t kMostTokens = 100'000'000;

http::Address ReadListen(const Table& table) {
  return table.Parsed<http::Address>(
      "listen", {.parse = http::ParseAddress, .expected = "IP:PORT"});
}

std::uint64_t ReadSeed(const Table& table) {
  return static_cast<std::uint64_t>(
      table.Integer("seed", {.fallback = 1, .minimum = 0}));
}

std::uint32_t ReadCount(const Table& table,
                        std::string_view key,
                        std::uint32_t fallback,
                        std::int64_t minimum) {
  return static_cast<std::uint32_t>(table.Integer(
      key, {.fallback = fallback, .minimum = minimum, .maximum = kMostTokens}));
}

double ReadShare(const Table& table, std::string_view key, double fallback) {
  return table.Number(key,
                      {.fallback = fallback, .minimum = 0.0, .maximum = 1.0});
}

void ReadIteration(const Table& table, EngineOptions& engine) {
  engine.base_iteration = table.Duration(
      "base_iteration", {.fallback = engine.base_iteration, .minimum = 1us});
  engine.stream_iteration =
      table.Duration("stream_iteration", {.fallback = engine.stream_iteration});
  engine.calibration_context =
      ReadCount(table, "calibration_context", engine.calibration_context, 1);
}

void ReadRoom(const Table& table, EngineOptions& engine) {
  engine.slots = ReadCount(table, "slots", engine.slots, 1);
  engine.kv_tokens = static_cast<std::uint64_t>(
      table.Integer("kv_tokens", {.fallback = 0, .minimum = 0}));
  engine.context_tokens =
      ReadCount(table, "context_tokens", engine.context_tokens, 1);
  engine.waiting_limit =
      ReadCount(table, "waiting_limit", engine.waiting_limit, 0);
}

void ReadPrefill(const Table& table, EngineOptions& engine) {
  engine.prefill_tokens_per_second = table.Number(
      "prefill_tokens_per_second",
      {.fallback = engine.prefill_tokens_per_second, .minimum = 1.0});
  engine.prefill_fixed =
      table.Duration("prefill_fixed", {.fallback = engine.prefill_fixed});
  engine.prefill_chunk_tokens =
      ReadCount(table, "prefill_chunk_tokens", engine.prefill_chunk_tokens, 1);
  engine.prefill_slots =
      ReadCount(table, "prefill_slots", engine.prefill_slots, 1);
  engine.block_tokens =
      ReadCount(table, "piece_tokens", engine.block_tokens, 1);
  engine.cache_blocks =
      ReadCount(table, "cache_pieces", engine.cache_blocks, 0);
  engine.export_lifetime =
      table.Duration("export_lifetime", {.fallback = engine.export_lifetime});
  engine.pinned_lifetime =
      table.Duration("pinned_lifetime", {.fallback = engine.pinned_lifetime});
}

void ReadTransfer(const Table& table, EngineOptions& engine) {
  engine.kv_bytes_per_token = table.Bytes(
      "kv_bytes_per_token", {.fallback = engine.kv_bytes_per_token});
  engine.link_bytes_per_second =
      table.Bytes("link_bytes_per_second",
                  {.fallback = engine.link_bytes_per_second, .minimum = 1});
  engine.transfer_setup =
      table.Duration("transfer_setup", {.fallback = engine.transfer_setup});
}

void ReadReports(const Table& table, EngineOptions& engine) {
  engine.load_lag = table.Duration("load_lag", {.fallback = engine.load_lag});
  engine.cache_event_delay = table.Duration(
      "cache_event_delay", {.fallback = engine.cache_event_delay});
  engine.cache_event_gap =
      ReadShare(table, "cache_event_gap", engine.cache_event_gap);
}

EngineServerOptions ReadEngine(const Table& table) {
  EngineServerOptions options{
      .listen = ReadListen(table),
      .one_way_delay = table.Duration("one_way_delay", {.fallback = 0us}),
      .seed = ReadSeed(table)};
  EngineOptions& engine = options.engine;
  engine.id = table.String("id");
  engine.role = table.Choice("role", kEngineRoleNames, EngineRole::kMixed);
  engine.model = table.String("model", {.fallback = "", .minimum_bytes = 0});
  engine.version =
      table.String("version", {.fallback = "", .minimum_bytes = 0});
  engine.adapters =
      table.StringList("adapters", {.fallback = std::vector<std::string>{}});
  engine.checks_fencing = table.Bool("checks_fencing", {.fallback = true});
  engine.load_time =
      table.Duration("load_time", {.fallback = engine.load_time});
  ReadIteration(table, engine);
  ReadRoom(table, engine);
  ReadPrefill(table, engine);
  ReadTransfer(table, engine);
  ReadReports(table, engine);
  return options;
}

ServiceServerOptions ReadService(const Table& table) {
  ServiceServerOptions options{
      .listen = ReadListen(table),
      .one_way_delay = table.Duration("one_way_delay", {.fallback = 0us}),
      .seed = ReadSeed(table)};
  ServiceOptions& service = options.service;
  service.id = table.String("id");
  service.mean_time =
      table.Duration("mean_time", {.fallback = service.mean_time});
  service.times = table.Choice("times", kServiceTimesNames, service.times);
  service.concurrency = ReadCount(table, "concurrency", service.concurrency, 1);
  service.queue_limit = ReadCount(table, "queue_limit", service.queue_limit, 0);
  return options;
}

LogServerOptions ReadLog(const Table& table) {
  LogServerOptions options{.listen = ReadListen(table),
                           .seed = ReadSeed(table)};
  LogOptions& log = options.log;
  log.retain_records = static_cast<std::uint64_t>(
      table.Integer("retain_records", {.fallback = 0, .minimum = 0}));
  log.retain_age = table.Duration("retain_age", {.fallback = 0us});
  log.appends_per_second =
      table.Number("appends_per_second",
                   {.fallback = log.appends_per_second, .minimum = 0.0});
  log.max_record_bytes =
      table.Bytes("max_record_bytes", {.fallback = log.max_record_bytes});
  return options;
}

HostListServerOptions ReadHosts(const Table& table) {
  HostListServerOptions options{.listen = ReadListen(table),
                                .seed = ReadSeed(table)};
  options.hosts.lag = table.Duration("lag", {.fallback = 0us});
  for (const std::string& name :
       table.StringList("live", {.fallback = std::vector<std::string>{}})) {
    options.hosts.hosts.push_back({.host = HostId(name)});
  }
  return options;
}

WeightStoreServerOptions ReadWeights(const Table& table) {
  WeightStoreServerOptions options{.listen = ReadListen(table),
                                   .seed = ReadSeed(table)};
  options.store.permits = ReadCount(table, "permits", options.store.permits, 1);
  options.store.lease =
      table.Duration("lease", {.fallback = options.store.lease});
  return options;
}

LoadedSettings Read(Reader reader) {
  LoadedSettings loaded;
  StandinSettings& standin = loaded.settings;
  const Table root = reader.Root();
  for (const Table& table : root.Tables("engine")) {
    standin.engines.push_back(ReadEngine(table));
  }
  for (const Table& table : root.Tables("service")) {
    standin.services.push_back(ReadService(table));
  }
  if (root.Has("log")) {
    standin.log = ReadLog(root.Child("log"));
  }
  if (root.Has("hosts")) {
    standin.hosts = ReadHosts(root.Child("hosts"));
  }
  if (root.Has("weights")) {
    standin.weights = ReadWeights(root.Child("weights"));
  }
  loaded.problems = reader.Finish();
  return loaded;
}

}  // namespace

LoadedSettings LoadStandinSettings(const std::string& path) {
  return Read(Reader::FromFile(path));
}

LoadedSettings ReadStandinSettings(std::string source, std::string_view text) {
  return Read(Reader::FromText(std::move(source), text));
}

}  // namespace acacialug::standin
