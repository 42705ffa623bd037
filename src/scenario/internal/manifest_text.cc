#include "scenario/internal/manifest_text.h"

#include <cstdint>

namespace acacialug::scenario {
namespace {

constexpr char kModelService[] = R"(domains = ["a"]
[[service]]
name = "lm"
kind = "model"
models = ["m"]
)";

constexpr char kModelClass[] = R"(  [[service.class]]
  name = "interactive"
  first_token = "20s"
)";

constexpr char kPlainService[] = R"([[service]]
name = "app"
kind = "plain"
  [[service.class]]
  name = "desk"
  first_token = "20s"
)";

struct Pool {
  std::string prefix;
  std::string service;
  std::string role;
  std::uint32_t count = 0;
};

// The orders for the engines of the model service. Some of the keys belong to
// the service's own table, so that this text must precede the next table.
std::string OrdersText(const SimulationOptions& options) {
  std::string text;
  for (const std::string& adapter : options.adapters) {
    text += "  [[service.adapters]]\n  name = \"" + adapter +
            "\"\n  version = \"1\"\n";
  }
  if (options.minimum_serving > 0) {
    text += "  [[service.pool]]\n  role = \"decode\"\n  minimum_serving = " +
            std::to_string(options.minimum_serving) + "\n";
  }
  return text;
}

}  // namespace

std::string ManifestText(const SimulationOptions& options,
                         const std::string& version,
                         LogOffset replaces,
                         const std::set<std::string>& leaving) {
  std::string text = "version = \"" + version +
                     "\"\nreplaces = " + std::to_string(replaces.value) + "\n" +
                     kModelService + "model_version = \"" +
                     options.model_version + "\"\n" + kModelClass +
                     OrdersText(options) + kPlainService;
  std::uint32_t port = 7001;
  for (const Pool& pool : {Pool{"p", "lm", "prefill", options.prefill},
                           Pool{"d", "lm", "decode", options.decode},
                           Pool{"s", "app", "plain", options.plain}}) {
    for (std::uint32_t number = 1; number <= pool.count; ++number) {
      const std::string id = pool.prefix + std::to_string(number);
      for (const std::string& piece :
           {std::string("[[endpoint]]\nid = \""), id,
            std::string("\"\nhost = \"h-"), id,
            std::string("\"\ndomain = \"a\"\nservice = \""), pool.service,
            std::string("\"\nrole = \""), pool.role,
            std::string("\"\nagent = \"127.0.0.1:"), std::to_string(port++),
            std::string("\"\nslots = "), std::to_string(options.slots),
            std::string("\n")}) {
        text += piece;
      }
      if (pool.role == "decode") {
        text += "kv_tokens = " + std::to_string(options.kv_tokens) + "\n";
      }
      if (leaving.contains(id)) {
        text += "leaving = true\n";
      }
    }
  }
  return text;
}

}  // namespace acacialug::scenario
