#include "scale/internal/synthetic_manifest.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

#include "manifest/manifest_parser.h"

namespace acacialug::scale {
namespace {

std::string Domain(std::size_t index) {
  const std::size_t hall = index % kDomains;
  return "region-" + std::to_string(hall % 6) + "-hall-" + std::to_string(hall);
}

std::string ServiceText(std::size_t index) {
  const std::string name = ModelName(index);
  return "\n[[service]]\nname = \"service-" + name +
         "\"\nkind = \"model\"\nmodels = [\"" + name +
         "\"]\nmodel_version = \"2026-11-01\"\n" +
         "\n[[service.class]]\nname = \"interactive-" + std::to_string(index) +
         "\"\nfirst_token = \"410ms\"\ntoken_interval = \"60ms\"\n";
}

std::string Head() {
  std::string text = "version = \"2026-12-01.3\"\ndomains = [";
  for (std::size_t i = 0; i < kDomains; ++i) {
    text += i == 0 ? "\"" : ", \"";
    text += Domain(i);
    text += "\"";
  }
  text += "]\n";
  for (std::size_t i = 0; i < kModels; ++i) {
    text += ServiceText(i);
  }
  return text;
}

std::string EndpointText(std::size_t index) {
  // Groups of eight share a service; two of each are for prefill.
  const bool prefill = index % 4 == 0;
  const std::string number = std::to_string(index);
  return "\n[[endpoint]]\nid = \"runner-" + number + "\"\nhost = \"host-" +
         number + "\"\ndomain = \"" + Domain(index / kModels) +
         "\"\nservice = \"service-" + ModelName(index / 8 % kModels) +
         "\"\nrole = \"" + (prefill ? "prefill" : "decode") +
         "\"\nagent = \"10." + std::to_string(index / 250 / 250) + "." +
         std::to_string(index / 250 % 250) + "." +
         std::to_string(1 + index % 250) + ":7300\"\n" +
         (prefill ? "slots = 4\n" : "slots = 64\nkv_tokens = 4000000\n");
}

std::string CallerText(std::size_t index) {
  return "\n[[caller]]\nname = \"customer-" + std::to_string(index) +
         "\"\nshare = 1.0\nrequests_per_second = 100.0\n";
}

}  // namespace

std::string ModelName(std::size_t index) {
  return "model-" + std::to_string(index);
}

std::string ManifestText(std::size_t endpoints, std::size_t callers) {
  std::string text = Head();
  for (std::size_t i = 0; i < endpoints; ++i) {
    text += EndpointText(i);
  }
  for (std::size_t i = 0; i < callers; ++i) {
    text += CallerText(i);
  }
  return text;
}

manifest::Manifest MakeManifest(std::size_t endpoints, std::size_t callers) {
  auto parsed =
      manifest::ParseManifest(ManifestText(endpoints, callers), "scale");
  if (!parsed.ok()) {
    std::fprintf(stderr, "scale_bench: %s\n", parsed.error().detail.c_str());
    std::abort();
  }
  parsed.value().offset = LogOffset(1);
  return std::move(parsed.value());
}

}  // namespace acacialug::scale
