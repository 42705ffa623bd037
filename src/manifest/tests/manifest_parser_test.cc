#include "manifest/manifest_parser.h"

#include <cppunit/extensions/HelperMacros.h>

#include "framework/testing/story.h"

namespace acacialug::manifest {
namespace {

using testing::ForEach;
using testing::It;

constexpr char kValid[] = R"(version = "v1"
domains = ["hall-a", "hall-b"]
[[distance]]
from = "hall-a"
to = "hall-b"
one_way = "1500us"
[[service]]
name = "lm-review"
kind = "model"
models = ["review-1"]
  [[service.class]]
  name = "interactive"
  first_token = "2s"
[[service]]
name = "registry-app"
kind = "plain"
  [[service.class]]
  name = "desk"
  first_token = "500ms"
  [[service.idempotency]]
  method = "POST"
  path = "/lookup"
  idempotent = true
[[endpoint]]
id = "p1"
host = "h1"
domain = "hall-a"
service = "lm-review"
role = "prefill"
agent = "127.0.0.1:7001"
[[endpoint]]
id = "d1"
host = "h2"
domain = "hall-b"
service = "lm-review"
role = "decode"
agent = "127.0.0.1:7002"
kv_tokens = 40000
slots = 20
[[caller]]
name = "printer-7"
class = "desk"
)";

// The valid manifest with one piece of text replaced.
std::string With(const std::string& before, const std::string& after) {
  std::string text = kValid;
  const std::size_t position = text.find(before);
  CPPUNIT_ASSERT_MESSAGE(before, position != std::string::npos);
  return text.replace(position, before.size(), after);
}

struct BadCase {
  std::string name;
  std::string before;
  std::string after;
  ResultCode code;
  std::string detail;  // must appear in the error: line and key
};

const std::vector<BadCase> kBadCases = {
    {"a domain that is not listed", "domain = \"hall-b\"",
     "domain = \"hall-c\"", ResultCode::kManifestInvalid, "endpoint[1].domain"},
    {"an endpoint named twice", "id = \"d1\"", "id = \"p1\"",
     ResultCode::kManifestInvalid, "endpoint[1].id"},
    {"two endpoints behind one agent", "127.0.0.1:7002", "127.0.0.1:7001",
     ResultCode::kManifestInvalid, "endpoint[1].agent"},
    {"a service that nothing defines", "service = \"lm-review\"",
     "service = \"lm-revue\"", ResultCode::kManifestInvalid,
     "endpoint[0].service"},
    {"a plain role in a model service", "role = \"prefill\"",
     "role = \"plain\"", ResultCode::kManifestInvalid, "endpoint[0].role"},
    {"a decode endpoint without memory", "kv_tokens = 40000", "kv_tokens = 0",
     ResultCode::kManifestInvalid, "endpoint[1].kv_tokens"},
    {"a model service without a model", "models = [\"review-1\"]",
     "models = []", ResultCode::kManifestInvalid, "service[0].models"},
    {"a class that no service has", "class = \"desk\"", "class = \"desc\"",
     ResultCode::kManifestInvalid, "caller[0].class"},
    {"an address by name", "127.0.0.1:7001", "localhost:7001",
     ResultCode::kSettingsOutOfRange, "endpoint[0].agent"},
    {"a pool that must keep more than it has", "[[service.class]]",
     "[[service.pool]]\n  role = \"decode\"\n  minimum_serving = 2\n"
     "  [[service.class]]",
     ResultCode::kManifestInvalid, "service[0].pool[0].minimum_serving"},
    {"a pool of a role that its service lacks", "[[service.class]]",
     "[[service.pool]]\n  role = \"plain\"\n  [[service.class]]",
     ResultCode::kManifestInvalid, "service[0].pool[0].role"},
    {"a pool with two rules", "[[service.class]]",
     "[[service.pool]]\n  role = \"decode\"\n  [[service.pool]]\n"
     "  role = \"decode\"\n  [[service.class]]",
     ResultCode::kManifestInvalid, "service[0].pool[1].role"},
    {"a share above one", "[[service.class]]",
     "[[service.pool]]\n  role = \"decode\"\n  minimum_serving_share = 1.1\n"
     "  [[service.class]]",
     ResultCode::kSettingsOutOfRange, "pool[0].minimum_serving_share"},
    {"a key that is unknown", "slots = 20", "slot = 20",
     ResultCode::kSettingsUnknownKey, "endpoint[1].slot"},
    {"a target without a unit", "first_token = \"2s\"", "first_token = \"2\"",
     ResultCode::kSettingsOutOfRange, "service[0].class[0].first_token"},
    {"a missing class", "[[service.class]]\n  name = \"interactive\"",
     "[[service.klass]]\n  name = \"interactive\"",
     ResultCode::kSettingsMissingKey, "service[0].class"},
    {"text that is not TOML", "version = \"v1\"",
     "version = ", ResultCode::kSettingsSyntax, ":1:"},
};

struct FloorRow {
  std::string name;
  std::string rule;  // of the pool
  std::size_t members;
  std::size_t minimum;
};

const testing::Story kFloors(
    "a manifest's pool",
    {ForEach<FloorRow>(
        "that orders must leave serving keeps",
        {{"none of one without a rule", "", 1, 0},
         {"one of two without a rule", "", 2, 1},
         {"three of five without a rule", "", 5, 3},
         {"the count", "minimum_serving = 4", 5, 4},
         {"all, if the count says so", "minimum_serving = 5", 5, 5},
         {"the share, rounded up", "minimum_serving_share = 0.7", 5, 4},
         {"the share, when that is whole", "minimum_serving_share = 0.8", 5, 4},
         {"the greater of both",
          "minimum_serving = 1\nminimum_serving_share = 0.5", 4, 2},
         {"nothing, if the rule says so", "minimum_serving = 0", 5, 0}},
        [](const FloorRow& row) { return row.name; },
        [](const FloorRow& row) {
          const std::string pool =
              row.rule.empty()
                  ? ""
                  : "[[service.pool]]\nrole = \"plain\"\n" + row.rule + "\n";
          const Result<Manifest> read = ParseManifest(
              With("[[service.idempotency]]", pool + "[[service.idempotency]]"),
              "m.toml");
          CPPUNIT_ASSERT_MESSAGE(read.ok() ? "" : read.error().detail,
                                 read.ok());
          CPPUNIT_ASSERT_EQUAL(
              row.minimum, read->MinimumServing(ServiceName("registry-app"),
                                                protocol::EndpointRole::kPlain,
                                                row.members));
        })});

const testing::Story kParser(
    "a manifest",
    {It("that is valid is read completely",
        [] {
          const Result<Manifest> read = ParseManifest(kValid, "m.toml");
          CPPUNIT_ASSERT_MESSAGE(read.ok() ? "" : read.error().detail,
                                 read.ok());
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read->endpoints.size());
          CPPUNIT_ASSERT(read->FindServiceOfModel(ModelName("review-1")) ==
                         read->FindService(ServiceName("lm-review")));
          CPPUNIT_ASSERT(Duration(1500us) ==
                         read->DistanceBetween(FailureDomain("hall-b"),
                                               FailureDomain("hall-a")));
          CPPUNIT_ASSERT(read->services[1].idempotency[0].idempotent);
        }),
     ForEach<BadCase>(
         "is refused with number, line and key for",
         kBadCases,
         [](const BadCase& row) { return row.name; },
         [](const BadCase& row) {
           const Result<Manifest> read =
               ParseManifest(With(row.before, row.after), "m.toml");
           CPPUNIT_ASSERT(!read.ok());
           const Error& error = read.error();
           CPPUNIT_ASSERT_EQUAL_MESSAGE(
               error.detail, static_cast<int>(row.code), error.code.value());
           CPPUNIT_ASSERT_MESSAGE(error.detail, error.detail.find(row.detail) !=
                                                    std::string::npos);
           CPPUNIT_ASSERT(error.detail.find("m.toml:") != std::string::npos);
         })});

}  // namespace
}  // namespace acacialug::manifest
