#include "agent_process/settings_reader.h"

#include "operations/drain_request.h"

namespace acacialug::agent_process {
namespace {

using settings::Table;

http::Address ReadAddress(const Table& table, std::string_view key) {
  return table.Parsed<http::Address>(
      key, {.parse = http::ParseAddress, .expected = "IP:PORT"});
}

// An empty text means "not set", as in the shipped examples.
std::string ReadPath(const Table& table, std::string_view key) {
  return table.String(key, {.fallback = "", .minimum_bytes = 0});
}

void ReadAgent(const Table& table, AgentSettings& into) {
  into.agent.endpoint = EndpointId(table.String("endpoint"));
  into.agent.domain = FailureDomain(table.String("domain"));
  into.listen = ReadAddress(table, "listen");
  into.operations_listen = ReadAddress(table, "operations_listen");
}

// Every client that reaches the operations port may read it, but draining needs
// more care. Only this host's processes reach a loopback address; on any other
// address every client on the network could drain the hosts one by one.
void ReadOperations(const Table& table, AgentSettings& into) {
  into.allow_drain =
      table.Bool("allow_drain",
                 {.fallback = operations::IsLoopback(into.operations_listen)});
}

void ReadEngine(const Table& table, AgentSettings& into) {
  const engine::EngineOptions defaults;
  into.engine.address = ReadAddress(table, "address");
  into.engine.kind =
      table.Choice("kind", engine::kEngineKindNames, defaults.kind);
  into.engine.connect_timeout = table.Duration(
      "connect_timeout",
      {.fallback = defaults.connect_timeout, .minimum = 1ms, .maximum = 60s});
  into.engine.silence_timeout =
      table.Duration("silence_timeout",
                     {.fallback = into.engine.kind == engine::EngineKind::kPlain
                                      ? into.agent.call_limit
                                      : defaults.silence_timeout,
                      .minimum = 1ms,
                      .maximum = 24h});
}

void ReadSource(const Table& root, AgentSettings& into) {
  const Table manifest = root.Child("manifest");
  const Table platform = root.Child("platform");
  into.manifest_file = ReadPath(manifest, "file");
  if (platform.Has("log")) {
    into.platform_log = ReadAddress(platform, "log");
  }
  if (platform.Has("weights")) {
    into.platform_weights = ReadAddress(platform, "weights");
  }
  into.peers = platform.ParsedList<http::Address>(
      "peers", {.parse = http::ParseAddress, .expected = "IP:PORT"},
      {.fallback = std::vector<std::string>{}});
  if (into.manifest_file.empty() && !into.platform_log) {
    manifest.Report("file", ResultCode::kSettingsMissingKey,
                    "expected a manifest file, or platform.log");
  }
}

void ReadPolicy(const Table& table, agent::AgentOptions& into) {
  const agent::AgentOptions defaults;
  into.reservation = table.Choice("reservation", agent::kReservationPolicyNames,
                                  defaults.reservation);
  into.order = table.Choice("order", agent::kPrefillOrderNames, defaults.order);
  into.feasibility_counts_queue =
      table.Bool("feasibility_counts_queue",
                 {.fallback = defaults.feasibility_counts_queue});
  const auto duration = [&table](std::string_view key, Duration fallback) {
    return table.Duration(
        key, {.fallback = fallback, .minimum = 1ms, .maximum = 24h});
  };
  into.session_lease = duration("session_lease", defaults.session_lease);
  into.heartbeats.bytes_per_second = static_cast<double>(table.Bytes(
      "heartbeat_bytes_per_second", {.fallback = static_cast<std::uint64_t>(
                                         defaults.heartbeats.bytes_per_second),
                                     .minimum = 100,
                                     .maximum = std::uint64_t{1} << 30}));
  into.heartbeats.longest = table.Duration(
      "heartbeat_longest_interval",
      {.fallback = defaults.heartbeats.longest, .minimum = 1s, .maximum = 24h});
  into.export_lifetime = duration("export_lifetime", defaults.export_lifetime);
  into.reservation_limit =
      duration("reservation_limit", defaults.reservation_limit);
  into.stall_timeout = duration("stall_timeout", defaults.stall_timeout);
  into.drain_grace = duration("drain_grace", defaults.drain_grace);
  into.call_limit = duration("call_limit", defaults.call_limit);
  into.once_window = duration("once_window", defaults.once_window);
  into.initial_token_interval =
      duration("initial_token_interval", defaults.initial_token_interval);
  into.initial_prefill_tokens_per_second =
      table.Number("initial_prefill_tokens_per_second",
                   {.fallback = defaults.initial_prefill_tokens_per_second,
                    .minimum = 1,
                    .maximum = 1e9});
  into.queue_limit = static_cast<std::uint32_t>(table.Integer(
      "queue_limit",
      {.fallback = defaults.queue_limit, .minimum = 1, .maximum = 65536}));
  into.once_max_bytes = table.Bytes(
      "once_max_bytes",
      {.fallback = defaults.once_max_bytes, .maximum = std::uint64_t{1} << 30});
  into.once_max_keys = static_cast<std::uint32_t>(
      table.Integer("once_max_keys", {.fallback = defaults.once_max_keys,
                                      .minimum = 1,
                                      .maximum = 10'000'000}));
}

void ReadPeerTls(const Table& table, http::TlsFiles& into) {
  into.certificate_file = ReadPath(table, "certificate_file");
  into.key_file = ReadPath(table, "key_file");
  into.authority_file = ReadPath(table, "authority_file");
  if (into.enabled() &&
      (into.key_file.empty() || into.authority_file.empty())) {
    table.Report("certificate_file", ResultCode::kSettingsMissingKey,
                 "expected key_file and authority_file beside it");
  }
}

}  // namespace

std::vector<settings::Problem> ReadAgentSettings(
    settings::Reader reader,
    AgentSettings& agent_settings) {
  const Table root = reader.Root();
  ReadAgent(root.Child("agent", {.required = true}), agent_settings);
  ReadOperations(root.Child("operations"), agent_settings);
  ReadPolicy(root.Child("policy"), agent_settings.agent);
  ReadEngine(root.Child("engine", {.required = true}), agent_settings);
  ReadSource(root, agent_settings);
  ReadPeerTls(root.Child("peer_tls"), agent_settings.peer_tls);
  agent_settings.log_level =
      root.Child("log").Choice("level", log::kLevelNames, log::Level::kInfo);
  return reader.Finish();
}

}  // namespace acacialug::agent_process
