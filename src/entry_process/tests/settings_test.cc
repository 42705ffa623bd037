#include <cppunit/extensions/HelperMacros.h>

#include "entry_process/settings_reader.h"
#include "framework/testing/story.h"

namespace acacialug::entry_process {
namespace {

using testing::ForEach;
using testing::It;

constexpr char kGood[] = R"([entry]
id = "entry-1"
domain = "hall-a"
listen = "127.0.0.1:8080"
operations_listen = "127.0.0.1:8081"
shards = 3
drain_delay = "0ms"
[manifest]
file = "m.toml"
[policy]
placement = "random"
reservation = "promise"
heartbeat_bytes_per_second = "8000B"
[limits]
max_body_bytes = 1000
[peer_tls]
certificate_file = "c"
key_file = "k"
authority_file = "a"
[log]
level = "warning"
)";

struct BadSetting {
  std::string from;  // in the valid text
  std::string to;
  std::uint32_t line;
  std::string key;
  ResultCode code;
};

const testing::Story kSettings(
    "the settings of an entry",
    {It("are read, with defaults for what is left out",
        [] {
          EntrySettings settings;
          const auto problems = ReadEntrySettings(
              settings::Reader::FromText("entry.toml", kGood), settings);
          CPPUNIT_ASSERT_MESSAGE(
              problems.empty() ? "" : ToString(problems.front()),
              problems.empty());
          const EntryProcessOptions& process = settings.process;
          CPPUNIT_ASSERT_EQUAL(3, process.shards);
          CPPUNIT_ASSERT(process.operations_listen->port == 8081);
          CPPUNIT_ASSERT(process.core.placement ==
                         entry::PlacementPolicy::kRandom);
          CPPUNIT_ASSERT(process.core.reservation ==
                         agent::ReservationPolicy::kPromise);
          CPPUNIT_ASSERT(process.heartbeats.bytes_per_second == 8000);
          CPPUNIT_ASSERT(process.heartbeats.longest == 10s);
          CPPUNIT_ASSERT(process.limits.max_body_bytes == 1000);
          CPPUNIT_ASSERT(process.limits.max_connections ==
                         http::ServerLimits().max_connections);
          CPPUNIT_ASSERT(process.channels.tls.enabled());
          CPPUNIT_ASSERT(!process.tls.enabled());
          CPPUNIT_ASSERT(process.drain_delay == Duration::zero());
          CPPUNIT_ASSERT(settings.log_level == log::Level::kWarning);
        }),
     It("allow a drain through the operations port on loopback only, unless "
        "they "
        "say otherwise",
        [] {
          const auto allowed = [](const std::string& listen,
                                  const std::string& table) {
            std::string text = kGood + table;
            const std::string loopback = "127.0.0.1:8081";
            text.replace(text.find(loopback), loopback.size(), listen);
            EntrySettings settings;
            CPPUNIT_ASSERT(
                ReadEntrySettings(
                    settings::Reader::FromText("entry.toml", text), settings)
                    .empty());
            return settings.process.allow_drain;
          };
          const std::string yes = "[operations]\nallow_drain = true\n";
          const std::string no = "[operations]\nallow_drain = false\n";
          CPPUNIT_ASSERT(allowed("127.0.0.1:8081", ""));
          CPPUNIT_ASSERT(!allowed("127.0.0.1:8081", no));
          CPPUNIT_ASSERT(!allowed("10.0.0.1:8081", ""));
          CPPUNIT_ASSERT(!allowed("0.0.0.0:8081", ""));
          CPPUNIT_ASSERT(allowed("10.0.0.1:8081", yes));
        }),
     ForEach<BadSetting>(
         "are refused with line and key:",
         {{"id = \"entry-1\"\n", "", 1, "entry.id",
           ResultCode::kSettingsMissingKey},
          {"127.0.0.1:8080", "localhost:8080", 4, "entry.listen",
           ResultCode::kSettingsOutOfRange},
          {"shards = 3", "shards = 0", 6, "entry.shards",
           ResultCode::kSettingsOutOfRange},
          {"shards = 3", "shard = 3", 6, "entry.shard",
           ResultCode::kSettingsUnknownKey},
          {"\"0ms\"", "5", 7, "entry.drain_delay",
           ResultCode::kSettingsWrongType},
          {"file = \"m.toml\"", "", 8, "manifest.file",
           ResultCode::kSettingsMissingKey},
          {"\"random\"", "\"best\"", 11, "policy.placement",
           ResultCode::kSettingsOutOfRange},
          {"\"8000B\"", "\"9B\"", 13, "policy.heartbeat_bytes_per_second",
           ResultCode::kSettingsOutOfRange},
          {"placement = \"random\"",
           "renew_interval = \"5s\"\nheartbeat_longest_interval = \"4s\"", 12,
           "policy.heartbeat_longest_interval",
           ResultCode::kSettingsOutOfRange},
          {"key_file = \"k\"\n", "", 16, "peer_tls.key_file",
           ResultCode::kSettingsMissingKey},
          {"authority_file = \"a\"\n", "", 16, "peer_tls.authority_file",
           ResultCode::kSettingsMissingKey},
          {"[limits]", "[limit]", 14, "limit",
           ResultCode::kSettingsUnknownKey}},
         [](const BadSetting& row) { return row.key; },
         [](const BadSetting& row) {
           std::string text = kGood;
           text.replace(text.find(row.from), row.from.size(), row.to);
           EntrySettings settings;
           const auto problems = ReadEntrySettings(
               settings::Reader::FromText("entry.toml", text), settings);
           CPPUNIT_ASSERT(!problems.empty());
           const settings::Problem& first = problems.front();
           const std::string shown = ToString(first);
           CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, row.key, first.key);
           CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, row.line, first.line);
           CPPUNIT_ASSERT_EQUAL_MESSAGE(
               shown, std::string(ResultCodeName(row.code)),
               std::string(ResultCodeName(first.code)));
         })});

}  // namespace
}  // namespace acacialug::entry_process
