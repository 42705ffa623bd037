#include <memory>
#include <string>
#include <utility>

#include "manifest/manifest_parser.h"
#include "scale/internal/sections.h"
#include "scale/internal/synthetic_manifest.h"

namespace acacialug::scale {
namespace {

struct Parsed {
  double microseconds = 0;
  double heap_bytes = 0;
  double text_bytes = 0;
};

Parsed Parse(std::size_t endpoints, std::size_t callers) {
  const std::string text = ManifestText(endpoints, callers);
  const double heap = HeapBytes();
  const double begin = ThreadMicroseconds();
  const auto parsed = manifest::ParseManifest(text, "scale");
  return {.microseconds = ThreadMicroseconds() - begin,
          .heap_bytes = HeapBytes() - heap,
          .text_bytes = static_cast<double>(text.size())};
}

Sweep ByEndpoints(std::string quantity,
                  std::string unit,
                  double Parsed::*member) {
  return {.quantity = std::move(quantity),
          .unit = std::move(unit),
          .x = "endpoints in the manifest",
          .xs = {100, 1000, 5000, 12000},
          .measure = [member](std::size_t x) { return Parse(x, 0).*member; }};
}

Sweep ByCallers(std::string quantity,
                std::string unit,
                double Parsed::*member) {
  return {.quantity = std::move(quantity),
          .unit = std::move(unit),
          .x = "callers in the manifest",
          .xs = {0, 1000, 10000, 31000},
          .measure = [member](std::size_t x) { return Parse(100, x).*member; }};
}

}  // namespace

std::vector<Sweep> ManifestSweeps() {
  return {ByEndpoints("manifest.parse_cpu", "us", &Parsed::microseconds),
          ByEndpoints("manifest.memory", "bytes", &Parsed::heap_bytes),
          ByEndpoints("manifest.text", "bytes", &Parsed::text_bytes),
          ByCallers("manifest.caller_parse_cpu", "us", &Parsed::microseconds),
          ByCallers("manifest.caller_memory", "bytes", &Parsed::heap_bytes),
          ByCallers("manifest.caller_text", "bytes", &Parsed::text_bytes)};
}

}  // namespace acacialug::scale
