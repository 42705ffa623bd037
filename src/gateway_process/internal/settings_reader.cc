#include "gateway_process/settings_reader.h"

namespace acacialug::gateway_process {
namespace {

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
  into.drain_grace = table.Duration("drain_grace",
                                    {.fallback = into.drain_grace,
                                     .minimum = 100ms,
                                     .maximum = 1h});
}

void ReadRepeats(const settings::Table& table, GatewaySettings& into) {
  into.repeat_share = table.Number(
      "share",
      {.fallback = into.repeat_share, .minimum = 0, .maximum = 1});
  into.repeat_extra = static_cast<std::uint32_t>(
      table.Integer("extra", {.fallback = into.repeat_extra,
                              .minimum = 0,
                              .maximum = 1'000'000}));
  into.repeat_window = table.Duration("window",
                                      {.fallback = into.repeat_window,
                                       .minimum = 1s,
                                       .maximum = 10min});
}

}  // namespace

GatewaySettings ReadGatewaySettings(const settings::Table& root) {
  GatewaySettings settings;
  ReadGateway(root.Child("gateway", {.required = true}), settings);
  ReadRepeats(root.Child("repeats"), settings);
  settings.log_level = root.Child("log").Choice<log::Level>(
      "level", log::kLevelNames, settings.log_level);
  return settings;
}

}  // namespace acacialug::gateway_process
