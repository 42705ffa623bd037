#ifndef GATEWAY_PROCESS_TESTS_GATEWAY_SUPPORT_H_
#define GATEWAY_PROCESS_TESTS_GATEWAY_SUPPORT_H_

#include <cppunit/TestAssert.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "framework/http/http_server.h"
#include "framework/http/tests/port_block.h"
#include "gateway/types/configuration.h"
#include "gateway/types/endpoint_dialect.h"
#include "gateway/types/endpoint_record.h"
#include "gateway_process/internal/catalog_page.h"

// Helpers shared by the tests of gateway processes.
namespace acacialug::gateway_process::testing {

inline const http::Address kAnyPort{.ip = "127.0.0.1", .port = 0};

inline gateway::Configuration OneRoute(const std::string& service) {
  return {.version = 5,
          .offset = LogOffset(5),
          .routes = {{.name = "r",
                      .host = "h",
                      .path_prefix = "/a/",
                      .kind = gateway::WorkKind::kIdempotent,
                      .services = {{.service = ServiceName(service)}},
                      .max_endpoints = 2,
                      .timeout = 2s,
                      .objective = 100ms}},
          .services = {{.name = ServiceName(service),
                        .engine = gateway::EngineTraits{.kv_tokens = 9}}}};
}

inline gateway::EndpointChange Endpoint(const std::string& id,
                                        const http::Address& address) {
  return {.offset = LogOffset(7),
          .id = EndpointId(id),
          .record = gateway::EndpointRecord{.id = EndpointId(id),
                                            .service = ServiceName("s"),
                                            .address = address,
                                            .domain = FailureDomain("x"),
                                            .slots = 4}};
}

// Passes requests on unchanged; the header `Proof` shows an endpoint's answer.
inline gateway::EndpointDialect PassOnDialect() {
  gateway::EndpointDialect dialect;
  dialect.write_work =
      [](const gateway::WorkRequest& request, const gateway::EndpointRecord&,
         const gateway::WorkOrder&) { return request.message; };
  dialect.judge_answer = [](const gateway::WorkRequest&, gateway::WorkStep, int,
                            const http::Headers& headers) {
    return http::FindHeader(headers, "Proof")
               ? gateway::AnswerNature::kSuccess
               : gateway::AnswerNature::kUnproven;
  };
  return dialect;
}

// A free port, for processes that must know each other's ports. Not thread
// safe.
inline std::uint16_t FreePort() {
  // Never deleted: its sockets can't outlive the application object.
  static auto* const kBlock = new acacialug::testing::PortBlock;
  return kBlock->Take();
}

// The number of routes at which a site's gateways saturated their links.
inline constexpr std::size_t kManyRoutes = 1449;

inline std::shared_ptr<const gateway::Configuration> ManyRoutes(
    std::uint64_t version) {
  gateway::Configuration configuration = OneRoute("s");
  configuration.version = version;
  configuration.routes.resize(kManyRoutes, configuration.routes[0]);
  return std::make_shared<const gateway::Configuration>(configuration);
}

inline Catalog KnownAt(std::uint64_t offset) {
  return {.configuration = ManyRoutes(offset),
          .endpoints = {.as_of = LogOffset(8),
                        .settled = true,
                        .records = {Endpoint("e", kAnyPort)}}};
}

}  // namespace acacialug::gateway_process::testing

#endif  // GATEWAY_PROCESS_TESTS_GATEWAY_SUPPORT_H_
