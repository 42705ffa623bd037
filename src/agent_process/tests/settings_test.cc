#include <cppunit/extensions/HelperMacros.h>

#include "agent_process/manifest_options.h"
#include "agent_process/settings_reader.h"
#include "framework/testing/story.h"

namespace acacialug::agent_process {
namespace {

using testing::ForEach;
using testing::It;

const std::string kMinimal = R"(
[agent]
endpoint = "d1"
domain = "hall-a"
listen = "127.0.0.1:0"
operations_listen = "127.0.0.1:0"
[engine]
address = "127.0.0.1:1"
[manifest]
file = "m.toml"
)";

struct Outcome {
  AgentSettings settings;
  std::vector<settings::Problem> problems;
};

Outcome Read(const std::string& text) {
  Outcome outcome;
  outcome.problems = ReadAgentSettings(
      settings::Reader::FromText("agent.toml", text), outcome.settings);
  return outcome;
}

struct DrainRow {
  std::string name;
  std::string listen;
  std::string table;
  bool allowed;
};

struct BadRow {
  std::string name;
  std::string text;
  std::string key;
  ResultCode code;
};

std::string Without(std::string text, const std::string& part) {
  return text.erase(text.find(part), part.size());
}

const testing::Story kSettings(
    "the settings of an agent",
    {It("have defaults for all but addresses, names and the manifest",
        [] {
          const auto [settings, problems] = Read(kMinimal);
          CPPUNIT_ASSERT(problems.empty());
          CPPUNIT_ASSERT(settings.agent.endpoint == EndpointId("d1"));
          CPPUNIT_ASSERT(settings.engine.kind == engine::EngineKind::kOpenAi);
          CPPUNIT_ASSERT(settings.agent.session_lease == 3s);
          CPPUNIT_ASSERT(!settings.peer_tls.enabled());
        }),
     It("take every policy",
        [] {
          const auto [settings, problems] =
              Read(kMinimal +
                   "[policy]\nreservation = \"promise\"\norder = \"newest\"\n"
                   "feasibility_counts_queue = false\nsession_lease = \"2s\"\n"
                   "heartbeat_bytes_per_second = \"9000B\"\n"
                   "heartbeat_longest_interval = \"20s\"\n");
          CPPUNIT_ASSERT(problems.empty());
          CPPUNIT_ASSERT(settings.agent.reservation ==
                         agent::ReservationPolicy::kPromise);
          CPPUNIT_ASSERT(settings.agent.order == agent::PrefillOrder::kNewest);
          CPPUNIT_ASSERT(!settings.agent.feasibility_counts_queue);
          CPPUNIT_ASSERT(settings.agent.session_lease == 2s);
          CPPUNIT_ASSERT(settings.agent.heartbeats.bytes_per_second == 9000);
          CPPUNIT_ASSERT(settings.agent.heartbeats.longest == 20s);
        }),
     ForEach<DrainRow>(
         "allow to drain by the operations port",
         {{"on a loopback address", "127.0.0.1:0", "", true},
          {"not on another", "10.0.0.1:0", "", false},
          {"not on all", "0.0.0.0:0", "", false},
          {"where they say so", "10.0.0.1:0", "allow_drain = true", true},
          {"not where they say no", "127.0.0.1:0", "allow_drain = false",
           false}},
         [](const DrainRow& row) { return row.name; },
         [](const DrainRow& row) {
           std::string text = kMinimal + "[operations]\n" + row.table + "\n";
           const std::string key = "operations_listen = \"";
           const std::string loopback = "127.0.0.1:0";
           text.replace(text.find(key) + key.size(), loopback.size(),
                        row.listen);
           const auto [settings, problems] = Read(text);
           CPPUNIT_ASSERT(problems.empty());
           CPPUNIT_ASSERT_EQUAL(row.allowed, settings.allow_drain);
         }),
     ForEach<BadRow>(
         "report the key of",
         {{"a missing endpoint", Without(kMinimal, "endpoint = \"d1\"\n"),
           "agent.endpoint", ResultCode::kSettingsMissingKey},
          {"a manifest from nowhere", Without(kMinimal, "file = \"m.toml\"\n"),
           "manifest.file", ResultCode::kSettingsMissingKey},
          {"an unknown policy",
           kMinimal + "[policy]\nreservation = \"maybe\"\n",
           "policy.reservation", ResultCode::kSettingsOutOfRange},
          {"no budget for heartbeats",
           kMinimal + "[policy]\nheartbeat_bytes_per_second = \"0B\"\n",
           "policy.heartbeat_bytes_per_second",
           ResultCode::kSettingsOutOfRange},
          {"an unknown key", kMinimal + "[policy]\nresrvation = \"hold\"\n",
           "policy.resrvation", ResultCode::kSettingsUnknownKey},
          {"a certificate alone",
           kMinimal + "[peer_tls]\ncertificate_file = \"c.pem\"\n",
           "peer_tls.certificate_file", ResultCode::kSettingsMissingKey}},
         [](const BadRow& row) { return row.name; },
         [](const BadRow& row) {
           const auto [settings, problems] = Read(row.text);
           CPPUNIT_ASSERT_EQUAL(std::size_t{1}, problems.size());
           CPPUNIT_ASSERT_EQUAL(row.key, problems[0].key);
           CPPUNIT_ASSERT(problems[0].code == row.code);
         })});

manifest::Manifest OneEndpoint() {
  manifest::Manifest manifest;
  manifest.services = {{.name = ServiceName("lm"), .kv_bytes_per_token = 9}};
  manifest.endpoints = {{.id = EndpointId("d1"),
                         .domain = FailureDomain("hall-a"),
                         .service = ServiceName("lm"),
                         .role = protocol::EndpointRole::kDecode,
                         .kv_tokens = 100,
                         .slots = 4}};
  return manifest;
}

struct MismatchRow {
  std::string name;
  std::function<void(manifest::Manifest&)> change;
};

const testing::Story kWithManifest(
    "an agent's settings with the manifest",
    {It("have role, slots and memory of the endpoint's record",
        [] {
          const auto complete =
              WithManifest(Read(kMinimal).settings, OneEndpoint());
          CPPUNIT_ASSERT(complete.ok());
          CPPUNIT_ASSERT(complete->agent.role ==
                         protocol::EndpointRole::kDecode);
          CPPUNIT_ASSERT_EQUAL(4U, complete->agent.slots);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{9},
                               complete->engine.kv_bytes_per_token);
        }),
     It("need only the endpoint's record and its service",
        [] {
          manifest::Manifest many = OneEndpoint();
          many.offset = LogOffset(5);
          many.endpoints.push_back({.id = EndpointId("d2")});
          many.services.push_back({.name = ServiceName("other")});
          const auto part = ManifestForEndpoint(many, EndpointId("d1"));
          CPPUNIT_ASSERT(part->offset == LogOffset(5));
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, part->endpoints.size());
          CPPUNIT_ASSERT(part->endpoints[0].id == EndpointId("d1"));
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, part->services.size());
          CPPUNIT_ASSERT(
              ManifestForEndpoint(many, EndpointId("d3"))->endpoints.empty());
        }),
     ForEach<MismatchRow>(
         "are refused when the manifest",
         {{"lacks the endpoint",
           [](auto& manifest) { manifest.endpoints[0].id = EndpointId("d2"); }},
          {"places it elsewhere",
           [](auto& manifest) {
             manifest.endpoints[0].domain = FailureDomain("hall-b");
           }},
          {"gives it a role that the engine's kind has not",
           [](auto& manifest) {
             manifest.endpoints[0].role = protocol::EndpointRole::kPlain;
           }}},
         [](const MismatchRow& row) { return row.name; },
         [](const MismatchRow& row) {
           manifest::Manifest manifest = OneEndpoint();
           row.change(manifest);
           const auto complete =
               WithManifest(Read(kMinimal).settings, manifest);
           CPPUNIT_ASSERT(!complete.ok());
           CPPUNIT_ASSERT(complete.error().result_code() ==
                          ResultCode::kManifestInvalid);
         })});

}  // namespace
}  // namespace acacialug::agent_process
