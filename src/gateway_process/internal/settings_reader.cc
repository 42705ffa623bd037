#include "gateway_process/settings_reader.h"

#include "protocol/types/peer_heartbeat.h"

namespace acacialug::gateway_process {
namespace {

// More than any fleet needs; a mistyped exponent is reported.
constexpr double kMaxRepeats = 1e9;
constexpr double kMiB = 1024 * 1024;
constexpr double kMinMemoryMib = 4;
constexpr double kMaxMemoryMib = kMiB;
constexpr std::int64_t kMaxPartAnswers = 1000;
constexpr double kMostSpare = 1e12;

settings::ParsedRule<http::Address> AddressRule() {
  return {.parse = http::ParseAddress, .expected = "IP:PORT"};
}

void ReadGateway(const settings::Table& table, GatewaySettings& into) {
  into.id = table.String("id", {.maximum_bytes = 128});
  into.domain = FailureDomain(table.String("domain"));
  into.listen = table.Parsed<http::Address>("listen", AddressRule());
  into.readiness_listen =
      table.Parsed<http::Address>("readiness_listen", AddressRule());
  into.readiness_path =
      table.String("readiness_path", {.fallback = into.readiness_path});
  into.peer_listen = table.Parsed<http::Address>("peer_listen", AddressRule());
  if (table.Has("operations_listen")) {
    into.operations_listen =
        table.Parsed<http::Address>("operations_listen", AddressRule());
  }
  // A number, since a platform may render a fraction.
  into.memory_limit = static_cast<std::size_t>(
      kMiB *
      table.Number("memory_mib",
                   {.fallback = static_cast<double>(into.memory_limit) / kMiB,
                    .minimum = kMinMemoryMib,
                    .maximum = kMaxMemoryMib}));
  into.drain_grace = table.Duration(
      "drain_grace",
      {.fallback = into.drain_grace, .minimum = 0ms, .maximum = 24h});
}

void ReadRepeats(const settings::Table& table, GatewaySettings& into) {
  into.repeat_share = table.Number(
      "share", {.fallback = into.repeat_share, .minimum = 0, .maximum = 1});
  // Not an integer: a platform that gives each part of a fleet its share of one
  // allowance renders fractions.
  into.repeat_extra = table.Number(
      "extra",
      {.fallback = into.repeat_extra, .minimum = 0, .maximum = kMaxRepeats});
  into.repeat_window = table.Duration(
      "window",
      {.fallback = into.repeat_window, .minimum = 100ms, .maximum = 24h});
}

void ReadPlacement(const settings::Table& table,
                   gateway::StreamPlacement::Options& into) {
  into.fill = table.Number(
      "fill", {.fallback = into.fill, .minimum = 0.1, .maximum = 4});
  into.output_share =
      table.Number("output_share",
                   {.fallback = into.output_share, .minimum = 0, .maximum = 2});
  into.local_prefill_fill = table.Number(
      "own_prefill_fill",
      {.fallback = into.local_prefill_fill, .minimum = 0, .maximum = 1});
  into.prefill_wait_share = table.Number(
      "prefill_wait_share",
      {.fallback = into.prefill_wait_share, .minimum = 0.01, .maximum = 10});
  into.free_prefill_wait_share = table.Number(
      "free_prefill_wait_share", {.fallback = into.free_prefill_wait_share,
                                  .minimum = 0.01,
                                  .maximum = 10});
}

void ReadAdmission(const settings::Table& table,
                   gateway::AdmissionQueue::Options& into) {
  into.max_wait = table.Duration(
      "longest_wait",
      {.fallback = into.max_wait, .minimum = 0ms, .maximum = 1min});
  into.max_late_wait = table.Duration(
      "longest_late_wait",
      {.fallback = into.max_late_wait, .minimum = 0ms, .maximum = 1min});
  into.min_retry = table.Duration(
      "least_retry",
      {.fallback = into.min_retry, .minimum = 10ms, .maximum = 1h});
  into.max_retry = table.Duration(
      "longest_retry",
      {.fallback = into.max_retry, .minimum = 10ms, .maximum = 1h});
  into.return_share = table.Number(
      "return_share",
      {.fallback = into.return_share, .minimum = 0.01, .maximum = 1});
}

// Allows no more endpoints than a heartbeat reports for one request.
void ReadQuarantine(const settings::Table& table,
                    retry::CrashLedger::Options& into,
                    retry::CrashLedger::Options& parts) {
  into.limit = static_cast<std::size_t>(table.Integer(
      "endpoints", {.fallback = static_cast<std::int64_t>(into.limit),
                    .minimum = 2,
                    .maximum = protocol::kMaxCrashEnds}));
  into.quarantine = table.Duration(
      "time", {.fallback = into.quarantine, .minimum = 0ms, .maximum = 1h});
  into.max_ends = into.limit;
  parts.limit = into.limit;
  parts.quarantine = into.quarantine;
  parts.other_answers = static_cast<std::size_t>(
      table.Integer("part_answers",
                    {.fallback = static_cast<std::int64_t>(parts.other_answers),
                     .minimum = 1,
                     .maximum = kMaxPartAnswers}));
}

void ReadQuotas(const settings::Table& table, quota::Tolerance& into) {
  into.overshoot = table.Number(
      "overshoot", {.fallback = into.overshoot, .minimum = 0, .maximum = 1});
  into.spare = table.Number(
      "spare", {.fallback = into.spare, .minimum = 0, .maximum = kMostSpare});
}

}  // namespace

GatewaySettings ReadGatewaySettings(const settings::Table& root) {
  GatewaySettings settings;
  ReadGateway(root.Child("gateway", {.required = true}), settings);
  ReadRepeats(root.Child("repeats"), settings);
  ReadPlacement(root.Child("placement"), settings.placement);
  ReadAdmission(root.Child("admission"), settings.admission);
  ReadQuarantine(root.Child("quarantine"), settings.crashes,
                 settings.part_crashes);
  ReadQuotas(root.Child("quotas"), settings.quotas);
  settings.log_level = root.Child("log").Choice<log::Level>(
      "level", log::kLevelNames, settings.log_level);
  return settings;
}

}  // namespace acacialug::gateway_process
