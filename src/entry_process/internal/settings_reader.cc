#include "entry_process/settings_reader.h"

#include <cstdint>

#include "operations/drain_request.h"

namespace acacialug::entry_process {
namespace {

using settings::Table;

constexpr std::uint64_t kMiB = 1024 * 1024;

settings::ParsedRule<http::Address> AddressRule() {
  return {.parse = http::ParseAddress, .expected = "IP:PORT"};
}

void ReadOptionalAddress(const Table& table,
                         std::string_view key,
                         std::optional<http::Address>& into) {
  if (table.Has(key)) {
    into = table.Parsed<http::Address>(key, AddressRule());
  }
}

// An empty text means "not set".
std::string ReadPath(const Table& table, std::string_view key) {
  return table.String(key, {.fallback = "", .minimum_bytes = 0});
}

std::uint32_t ReadCount(const Table& table,
                        std::string_view key,
                        std::uint32_t fallback,
                        std::uint32_t maximum) {
  return static_cast<std::uint32_t>(table.Integer(
      key, {.fallback = fallback, .minimum = 1, .maximum = maximum}));
}

Duration ReadDuration(const Table& table,
                      std::string_view key,
                      Duration fallback,
                      Duration minimum = 1ms) {
  return table.Duration(
      key, {.fallback = fallback, .minimum = minimum, .maximum = 24h});
}

void ReadEntry(const Table& table, EntryProcessOptions& into) {
  into.core.id = EntryId(table.String("id", {.maximum_bytes = 128}));
  into.core.domain = FailureDomain(table.String("domain"));
  into.listen = table.Parsed<http::Address>("listen", AddressRule());
  ReadOptionalAddress(table, "operations_listen", into.operations_listen);
  into.shards = static_cast<int>(ReadCount(table, "shards", 2, 64));
  into.live_entries = ReadCount(table, "entries", 1, 100'000);
  into.drain_delay =
      ReadDuration(table, "drain_delay", into.drain_delay, Duration::zero());
  into.drain_grace = ReadDuration(table, "drain_grace", into.drain_grace);
  into.ready_wait =
      ReadDuration(table, "ready_wait", into.ready_wait, Duration::zero());
}

// Any client that reaches the operations port may read its pages, but a drain
// needs more protection. On a loopback address only this host's processes reach
// the port; on any other address every client on the network could take the
// hosts out of service one by one.
void ReadOperations(const Table& table, EntryProcessOptions& into) {
  const bool loopback =
      into.operations_listen && operations::IsLoopback(*into.operations_listen);
  into.allow_drain = table.Bool("allow_drain", {.fallback = loopback});
  into.trace_bytes = table.Bytes(
      "trace_bytes", {.fallback = into.trace_bytes, .maximum = 256 * kMiB});
}

void ReadSources(const Table& root, EntrySettings& into) {
  const Table manifest = root.Child("manifest");
  const Table platform = root.Child("platform");
  into.manifest_file = ReadPath(manifest, "file");
  ReadOptionalAddress(platform, "log", into.platform_log);
  ReadOptionalAddress(platform, "hosts", into.platform_hosts);
  into.peers = platform.ParsedList<http::Address>(
      "peers", AddressRule(), {.fallback = std::vector<std::string>{}});
  into.log_retention = platform.Duration(
      "log_retention", {.fallback = into.log_retention, .minimum = 1min});
  if (into.manifest_file.empty() && !into.platform_log) {
    manifest.Report("file", ResultCode::kSettingsMissingKey,
                    "expected a manifest file, or platform.log");
  }
}

void ReadHeartbeats(const Table& table, EntryProcessOptions& into) {
  heartbeat::HeartbeatBudget::Options& budget = into.heartbeats;
  budget.bytes_per_second = static_cast<double>(table.Bytes(
      "heartbeat_bytes_per_second",
      {.fallback = static_cast<std::uint64_t>(budget.bytes_per_second),
       .minimum = 100,
       .maximum = 1024 * kMiB}));
  budget.longest =
      ReadDuration(table, "heartbeat_longest_interval", budget.longest, 1s);
  if (budget.longest < into.core.renew_interval) {
    table.Report("heartbeat_longest_interval", ResultCode::kSettingsOutOfRange,
                 "expected renew_interval or more");
  }
}

void ReadChoices(const Table& table, entry::EntryOptions& into) {
  into.placement =
      table.Choice("placement", entry::kPlacementPolicyNames, into.placement);
  into.order = table.Choice("order", entry::kQueueOrderNames, into.order);
  into.reservation = table.Choice("reservation", agent::kReservationPolicyNames,
                                  into.reservation);
  into.feasibility_counts_queue = table.Bool(
      "feasibility_counts_queue", {.fallback = into.feasibility_counts_queue});
}

void ReadPolicy(const Table& table, entry::EntryOptions& into) {
  ReadChoices(table, into);
  into.renew_interval =
      ReadDuration(table, "renew_interval", into.renew_interval);
  into.reserve_timeout =
      ReadDuration(table, "reserve_timeout", into.reserve_timeout);
  into.stall_timeout = ReadDuration(table, "stall_timeout", into.stall_timeout);
  into.default_deadline =
      ReadDuration(table, "default_deadline", into.default_deadline);
  into.claim_commit_interval =
      ReadDuration(table, "claim_commit_interval", into.claim_commit_interval);
  into.retry_share =
      table.Number("retry_share",
                   {.fallback = into.retry_share, .minimum = 0, .maximum = 1});
  into.retry_burst = table.Number(
      "retry_burst",
      {.fallback = into.retry_burst, .minimum = 0, .maximum = 1000});
  into.max_attempts = ReadCount(table, "max_attempts", into.max_attempts, 100);
  into.window_chunks =
      ReadCount(table, "window_chunks", into.window_chunks, 1U << 16);
  into.working_set = ReadCount(table, "working_set", into.working_set, 4096);
  into.sampled = ReadCount(table, "sampled", into.sampled, 64);
  into.max_requests =
      ReadCount(table, "max_requests", into.max_requests, 1'000'000);
}

void ReadLimits(const Table& table, EntryProcessOptions& into) {
  http::ServerLimits& http = into.limits;
  http.max_body_bytes = table.Bytes(
      "max_body_bytes",
      {.fallback = http.max_body_bytes, .minimum = 1, .maximum = 256 * kMiB});
  http.max_bodies_bytes =
      table.Bytes("max_bodies_bytes", {.fallback = http.max_bodies_bytes,
                                       .minimum = 1,
                                       .maximum = 1024 * 256 * kMiB});
  http.max_untaken_bytes =
      table.Bytes("max_untaken_bytes", {.fallback = http.max_untaken_bytes,
                                        .minimum = 1,
                                        .maximum = 1024 * 256 * kMiB});
  http.max_header_bytes = table.Bytes(
      "max_header_bytes",
      {.fallback = http.max_header_bytes, .minimum = 256, .maximum = kMiB});
  http.max_connections =
      ReadCount(table, "max_connections",
                static_cast<std::uint32_t>(http.max_connections), 1'000'000);
  http.max_unsent_bytes =
      table.Bytes("max_unsent_bytes", {.fallback = http.max_unsent_bytes,
                                       .minimum = 4096,
                                       .maximum = 64 * kMiB});
  into.answers.max_unsent_bytes = http.max_unsent_bytes;
  into.answers.max_whole_bytes =
      table.Bytes("max_answer_bytes", {.fallback = into.answers.max_whole_bytes,
                                       .minimum = 4096,
                                       .maximum = 256 * kMiB});
  http.idle_timeout = ReadDuration(table, "idle_timeout", http.idle_timeout);
  http.head_timeout = ReadDuration(table, "head_timeout", http.head_timeout);
  http.body_timeout = ReadDuration(table, "body_timeout", http.body_timeout);
}

void ReadTls(const Table& table, bool needs_authority, http::TlsFiles& into) {
  into.certificate_file = ReadPath(table, "certificate_file");
  into.key_file = ReadPath(table, "key_file");
  into.authority_file = ReadPath(table, "authority_file");
  if (!into.enabled() && !(into.key_file + into.authority_file).empty()) {
    table.Report("certificate_file", ResultCode::kSettingsMissingKey,
                 "expected a file beside key_file and authority_file");
  }
  if (into.enabled() && into.key_file.empty()) {
    table.Report("key_file", ResultCode::kSettingsMissingKey,
                 "expected a file beside certificate_file");
  }
  if (into.enabled() && needs_authority && into.authority_file.empty()) {
    table.Report("authority_file", ResultCode::kSettingsMissingKey,
                 "expected a file beside certificate_file: both sides show "
                 "a certificate");
  }
}

}  // namespace

std::vector<settings::Problem> ReadEntrySettings(
    settings::Reader reader,
    EntrySettings& entry_settings) {
  const Table root = reader.Root();
  EntryProcessOptions& process = entry_settings.process;
  ReadEntry(root.Child("entry", {.required = true}), process);
  ReadOperations(root.Child("operations"), process);
  ReadSources(root, entry_settings);
  ReadPolicy(root.Child("policy"), process.core);
  ReadHeartbeats(root.Child("policy"), process);
  ReadLimits(root.Child("limits"), process);
  ReadTls(root.Child("tls"), false, process.tls);
  ReadTls(root.Child("peer_tls"), true, process.channels.tls);
  entry_settings.log_level =
      root.Child("log").Choice("level", log::kLevelNames, log::Level::kInfo);
  return reader.Finish();
}

}  // namespace acacialug::entry_process
