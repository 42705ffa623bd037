#include "gateway_process/gateway_process.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <optional>
#include <string>

#include "framework/http/http_client.h"
#include "framework/http/http_server.h"
#include "framework/http/tests/socket_support.h"
#include "framework/settings/reader.h"
#include "framework/settings/units.h"
#include "framework/testing/story.h"
#include "gateway/key_digest.h"
#include "gateway_process/internal/catalog_page.h"
#include "gateway_process/settings_reader.h"
#include "gateway_process/tests/gateway_support.h"

namespace acacialug::gateway_process {
namespace {

using acacialug::testing::ForEach;
using acacialug::testing::It;
using acacialug::testing::WaitUntil;
using testing::Endpoint;
using testing::FreePort;
using testing::kAnyPort;
using testing::OneRoute;
using testing::PassOnDialect;

const acacialug::testing::Story kCatalog(
    "the catalog page",
    {It("contains all that this process knows",
        [] {
          const Catalog known{
              .configuration =
                  std::make_shared<gateway::Configuration>(OneRoute("s")),
              .endpoints = {.as_of = LogOffset(8),
                            .settled = true,
                            .records = {Endpoint("e", kAnyPort)}}};
          const Result<Catalog> read = ParseCatalog(RenderCatalog(known));
          CPPUNIT_ASSERT(read.ok());
          CPPUNIT_ASSERT_EQUAL(RenderCatalog(known), RenderCatalog(*read));
          CPPUNIT_ASSERT(read->endpoints.settled);
          CPPUNIT_ASSERT(*read->endpoints.records[0].record ==
                         *known.endpoints.records[0].record);
        }),
     It("contains customers and their keys' digests, and none where there are "
        "none",
        [] {
          gateway::Configuration configuration = OneRoute("s");
          configuration.routes[0].open_to_all = true;
          configuration.customers.emplace().push_back(
              {.name = CustomerName("c"),
               .keys = {gateway::DigestOf("k1"), gateway::DigestOf("k2")},
               .priority = 2,
               .limit = {.unit = gateway::LimitUnit::kTokens,
                         .per_second = 1.5,
                         .burst = 3,
                         .unsized_tokens = 200}});
          configuration.customers->push_back({.name = CustomerName("d")});
          const Catalog known{.configuration =
                                  std::make_shared<gateway::Configuration>(
                                      std::move(configuration))};
          const std::string page = RenderCatalog(known);
          const Result<Catalog> read = ParseCatalog(page);
          CPPUNIT_ASSERT(read.ok());
          CPPUNIT_ASSERT_EQUAL(page, RenderCatalog(*read));
          const auto& customers = *read->configuration->customers;
          CPPUNIT_ASSERT(customers[0].keys ==
                         known.configuration->customers->at(0).keys);
          CPPUNIT_ASSERT(customers[0].limit ==
                         known.configuration->customers->at(0).limit);
          CPPUNIT_ASSERT(read->configuration->routes[0].open_to_all);
          const Catalog keyless{
              .configuration =
                  std::make_shared<gateway::Configuration>(OneRoute("s"))};
          CPPUNIT_ASSERT(
              !ParseCatalog(RenderCatalog(keyless))->configuration->customers);
        }),
     It("carries only what changed of the endpoints, if it says since when",
        [] {
          const Catalog changes{
              .endpoints = {.as_of = LogOffset(9),
                            .settled = true,
                            .since = LogOffset(7),
                            .removals = {{.id = EndpointId("e"),
                                          .offset = LogOffset(8)}}}};
          const auto read = ParseCatalog(RenderCatalog(changes));
          CPPUNIT_ASSERT(read.ok());
          CPPUNIT_ASSERT(read->endpoints.since == LogOffset(7));
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read->endpoints.removals.size());
          CPPUNIT_ASSERT(read->endpoints.removals[0].id == EndpointId("e"));
          CPPUNIT_ASSERT(read->endpoints.removals[0].offset == LogOffset(8));
          CPPUNIT_ASSERT(
              ParseCatalog(RenderCatalog(Catalog{}))->endpoints.since ==
              LogOffset());
        }),
     It("is requested with the known position, or without any",
        [] {
          const std::string both = CatalogTarget(NextVersion(6), LogOffset(8));
          CPPUNIT_ASSERT(KnownByTarget(both) == NextVersion(6));
          CPPUNIT_ASSERT(EndpointsKnownByTarget(both) == LogOffset(8));
          CPPUNIT_ASSERT(EndpointsKnownByTarget("/catalog") == LogOffset());
          CPPUNIT_ASSERT(KnownByTarget(CatalogTarget(NextVersion(6))) ==
                         NextVersion(6));
          for (const char* const target :
               {"/catalog", "/catalog?", "/catalog?configuration_known=",
                "/catalog?configuration_known=x",
                "/catalog?configuration_known=99999999999999999999999"}) {
            CPPUNIT_ASSERT(KnownByTarget(target) == NextVersion());
          }
        }),
     ForEach<std::string>(
         "that is wrong is reported by number:",
         {"", "{}", "[]", R"({"endpoints_as_of":1})",
          R"({"endpoints_as_of":1,"endpoints_settled":true,"endpoints":[{}]})"},
         [](const std::string& text) { return "\"" + text + "\""; },
         [](const std::string& text) {
           CPPUNIT_ASSERT(ParseCatalog(text).error().result_code() ==
                          ResultCode::kMalformedJson);
         })});

const std::string kSettings = R"([gateway]
id = "g1"
domain = "x"
listen = "127.0.0.1:1"
readiness_listen = "127.0.0.1:2"
peer_listen = "127.0.0.1:3"
)";

struct RenderedSetting {
  std::string name;
  std::string text;  // settings under [repeats]
  double extra = 0;
  double share = 0;
  Duration window{};
};

const acacialug::testing::Story kSettingsStory(
    "the gateway's settings",
    {It("take the given values, and have defaults for the rest",
        [] {
          settings::Reader reader = settings::Reader::FromText(
              "t", kSettings +
                       "drain_grace = \"8s\"\n[repeats]\nextra = 7\n"
                       "[admission]\nlongest_wait = \"20ms\"\n"
                       "[quotas]\novershoot = 0.1\nspare = 140000\n");
          const GatewaySettings read = ReadGatewaySettings(reader.Root());
          CPPUNIT_ASSERT(reader.Finish().empty());
          CPPUNIT_ASSERT(read.drain_grace == Duration(8s));
          CPPUNIT_ASSERT_EQUAL(7.0, read.repeat_extra);
          CPPUNIT_ASSERT_EQUAL(0.1, read.quotas.overshoot);
          CPPUNIT_ASSERT_EQUAL(140000.0, read.quotas.spare);
          CPPUNIT_ASSERT(read.admission.max_wait == Duration(20ms));
          CPPUNIT_ASSERT(!read.operations_listen);
        }),
     ForEach<RenderedSetting>(
         "take what a platform may render:",
         {
             {"a share of the fleet's allowance", "extra = 45.588235294117645",
              45.588235294117645, 0.2, 10s},
             {"an allowance of nothing", "extra = 0", 0, 0.2, 10s},
             {"a fraction under one", "extra = 0.25", 0.25, 0.2, 10s},
             {"a fleet's allowance", "extra = 3000000", 3000000, 0.2, 10s},
             {"an exponent", "extra = 1e6", 1e6, 0.2, 10s},
             {"a whole share", "share = 1", 58, 1, 10s},
             {"no share", "share = 0", 58, 0, 10s},
             {"a window with a fraction", "window = \"7.5s\"", 58, 0.2, 7500ms},
             {"a short window", "window = \"0.5s\"", 58, 0.2, 500ms},
             {"an hour's window", "window = \"3600s\"", 58, 0.2, 1h},
         },
         [](const RenderedSetting& rendered) { return rendered.name; },
         [](const RenderedSetting& rendered) {
           // Symptom: no process of a fleet starts; each reports an error in a
           // setting that was not written by hand. Cause: numbers that the
           // platform divides among the processes were read as integers.
           settings::Reader reader = settings::Reader::FromText(
               "t", kSettings + "[repeats]\n" + rendered.text + "\n");
           const GatewaySettings read = ReadGatewaySettings(reader.Root());
           CPPUNIT_ASSERT(reader.Finish().empty());
           CPPUNIT_ASSERT_EQUAL(rendered.extra, read.repeat_extra);
           CPPUNIT_ASSERT_EQUAL(rendered.share, read.repeat_share);
           CPPUNIT_ASSERT(read.repeat_window == rendered.window);
         }),
     ForEach<std::string>(
         "take a time to drain of",
         {"0s", "0.25s", "8s", "7.5s", "4000s"},
         [](const std::string& grace) { return grace; },
         [](const std::string& grace) {
           settings::Reader reader = settings::Reader::FromText(
               "t", kSettings + "drain_grace = \"" + grace + "\"\n");
           const GatewaySettings read = ReadGatewaySettings(reader.Root());
           CPPUNIT_ASSERT(reader.Finish().empty());
           CPPUNIT_ASSERT(read.drain_grace == settings::ParseDuration(grace));
         }),
     ForEach<std::string>(
         "take a memory limit of",
         {"88", "87.5", "4", "262144", "1e3"},
         [](const std::string& mib) { return mib; },
         [](const std::string& mib) {
           settings::Reader reader = settings::Reader::FromText(
               "t", kSettings + "memory_mib = " + mib + "\n");
           const GatewaySettings read = ReadGatewaySettings(reader.Root());
           CPPUNIT_ASSERT(reader.Finish().empty());
           CPPUNIT_ASSERT_EQUAL(
               static_cast<std::size_t>(std::stod(mib) * 1024 * 1024),
               read.memory_limit);
         }),
     It("take when a request is quarantined, and for how long",
        [] {
          settings::Reader reader = settings::Reader::FromText(
              "t", kSettings + "[quarantine]\nendpoints = 2\ntime = \"90s\"\n");
          const GatewaySettings read = ReadGatewaySettings(reader.Root());
          CPPUNIT_ASSERT(reader.Finish().empty());
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.crashes.limit);
          CPPUNIT_ASSERT(read.crashes.quarantine == 90s);
        }),
     ForEach<std::string>(
         "are refused with",
         {"[gateway]\nid = \"g\"\n", kSettings + "unknown = 1\n",
          kSettings + "drain_grace = \"long\"\n",
          kSettings + "drain_grace = \"-1s\"\n",
          kSettings + "memory_mib = -1\n", kSettings + "memory_mib = inf\n",
          kSettings + "[repeats]\nextra = -0.5\n",
          kSettings + "[repeats]\nextra = nan\n",
          kSettings + "[repeats]\nextra = inf\n",
          kSettings + "[repeats]\nextra = 1e300\n",
          kSettings + "[repeats]\nextra = \"58\"\n",
          kSettings + "[repeats]\nwindow = \"0s\"\n",
          kSettings + "[repeats]\nshare = 2\n",
          kSettings + "[placement]\nfill = 0\n",
          kSettings + "[quarantine]\nendpoints = 1\n",
          kSettings + "[quarantine]\nendpoints = 4\n",
          kSettings + "[quarantine]\ntime = \"2h\"\n"},
         [](const std::string& text) { return text; },
         [](const std::string& text) {
           settings::Reader reader = settings::Reader::FromText("t", text);
           ReadGatewaySettings(reader.Root());
           CPPUNIT_ASSERT(!reader.Finish().empty());
         })});

// A gateway, one plain endpoint, and a caller.
struct Site {
  Site()
      : endpoint({.listen = kAnyPort,
                  .make_handler =
                      [](int) {
                        return [](const http::Request& request,
                                  const http::ResponderPtr& responder) {
                          responder->SendWhole({.status = 200,
                                                .headers = {{"Proof", "1"}},
                                                .body = request.method +
                                                        request.target +
                                                        request.body});
                        };
                      }}),
        settings{.id = "g",
                 .domain = FailureDomain("x"),
                 .listen = {.ip = "127.0.0.1", .port = FreePort()},
                 .readiness_listen = {.ip = "127.0.0.1", .port = FreePort()},
                 .readiness_path = "/ready",
                 .peer_listen = {.ip = "127.0.0.1", .port = FreePort()},
                 .operations_listen =
                     http::Address{.ip = "127.0.0.1", .port = FreePort()},
                 .drain_grace = 4s},
        process({.settings = this->settings,
                 .dialect = Dialect(),
                 .on_drained = [this](bool whole) { this->drained = whole; }},
                this->registry,
                this->random) {
    CPPUNIT_ASSERT(this->endpoint.Start().ok());
    CPPUNIT_ASSERT(this->process.Start().ok());
  }

  static gateway::EndpointDialect Dialect() {
    gateway::EndpointDialect dialect = PassOnDialect();
    dialect.read_request = [](http::Request request) {
      gateway::WorkRequest work{.id = "r", .host = "h"};
      work.message = std::move(request);
      return work;
    };
    return dialect;
  }

  void Know() {
    gateway::Configuration configuration = OneRoute("s");
    configuration.services[0].engine.reset();
    this->process.SetConfiguration(
        std::make_shared<gateway::Configuration>(configuration));
    this->process.Apply(
        Endpoint("e", {.ip = "127.0.0.1", .port = this->endpoint.port()}));
  }

  // Status and body.
  std::pair<int, std::string> Get(const http::Address& address,
                                  const std::string& target) {
    std::optional<std::string> body;
    int status = 0;
    this->client.Send(
        address, {.method = "GET", .target = target},
        {.on_head = [&status](int answered,
                              const http::Headers&) { status = answered; },
         .on_end = [&body](const std::string& whole) { body = whole; },
         .on_error = [&body](const Error&, bool) { body = ""; }});
    WaitUntil("an answer", [&body] { return body.has_value(); });
    return {status, *body};
  }

  http::Server endpoint;
  http::Client client{{}};
  GatewaySettings settings;
  metrics::Registry registry;
  RandomSource random{1};
  std::optional<bool> drained;
  GatewayProcess process;
};

const acacialug::testing::Story kProcess(
    "a gateway process",
    {It("is ready once it knows a configuration and an endpoint, and serves",
        [] {
          Site site;
          CPPUNIT_ASSERT_EQUAL(
              503, site.Get(site.settings.readiness_listen, "/ready").first);
          CPPUNIT_ASSERT_EQUAL(
              503, site.Get(site.settings.listen, "/a/x?y=1").first);
          site.Know();
          CPPUNIT_ASSERT_EQUAL(
              200, site.Get(site.settings.readiness_listen, "/ready").first);
          const auto answer = site.Get(site.settings.listen, "/a/x?y=1");
          CPPUNIT_ASSERT_EQUAL(200, answer.first);
          CPPUNIT_ASSERT_EQUAL(std::string("GET/a/x?y=1"), answer.second);
          const std::string metrics =
              site.Get(*site.settings.operations_listen, "/metrics").second;
          CPPUNIT_ASSERT(metrics.find("acacialug_gateway_requests_total") !=
                         std::string::npos);
        }),
     It("that drains is not ready at once, serves later requests, and ends",
        [] {
          Site site;
          site.Know();
          site.process.Drain();
          CPPUNIT_ASSERT_EQUAL(
              503, site.Get(site.settings.readiness_listen, "/ready").first);
          CPPUNIT_ASSERT_EQUAL(200,
                               site.Get(site.settings.listen, "/a/x").first);
          WaitUntil("the end", [&site] { return site.drained.has_value(); });
          CPPUNIT_ASSERT(*site.drained);
        })});

}  // namespace
}  // namespace acacialug::gateway_process
