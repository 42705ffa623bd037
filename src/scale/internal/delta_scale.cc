#include <cstdio>
#include <cstdlib>
#include <string>
#include <utility>

#include "configuration/text_deltas.h"
#include "configuration/types/configuration_record.h"
#include "manifest/manifest_parser.h"
#include "scale/internal/sections.h"
#include "scale/internal/synthetic_manifest.h"

// The strategies for sending a change of configuration to a process, by the
// size of the manifest and the number of endpoints that change. docs/decisions
// has the choice.

namespace acacialug::scale {
namespace {

using configuration::EncodeRecord;
using configuration::RecordKind;
using configuration::TextDelta;

// The planned ratio of callers to endpoints.
constexpr std::size_t kCallersPerDozen = 31;

std::size_t CallersOf(std::size_t endpoints) {
  return endpoints * kCallersPerDozen / 12;
}

std::string BaseText(std::size_t endpoints) {
  return ManifestText(endpoints, CallersOf(endpoints));
}

// Changes the limit of `changes` endpoints, spread over the whole text.
std::string Changed(std::string text, std::size_t changes) {
  constexpr std::string_view kBefore = "slots = ";
  const std::size_t stride = text.size() / (changes + 1);
  for (std::size_t i = 1; i <= changes; ++i) {
    // The second half of the text has callers, which have no such line.
    const std::size_t position = text.find(kBefore, i * stride / 3);
    if (position != std::string::npos) {
      text.replace(position + kBefore.size(), 1, "9");
    }
  }
  return text;
}

double WholeRecord(const std::string& text) {
  return static_cast<double>(
      EncodeRecord({.kind = RecordKind::kPublish, .manifest_text = text})
          .size());
}

double DeltaRecord(const std::string& base, const std::string& target) {
  return static_cast<double>(
      EncodeRecord({.kind = RecordKind::kPublishDelta,
                    .delta = configuration::MakeDelta(base, target)})
          .size());
}

template <typename Work>
double Timed(Work work) {
  const double begin = ThreadMicroseconds();
  work();
  return ThreadMicroseconds() - begin;
}

void Require(bool holds, const char* what) {
  if (!holds) {
    std::fprintf(stderr, "scale_bench: %s\n", what);
    std::abort();
  }
}

double MakeCpu(std::size_t endpoints) {
  const std::string base = BaseText(endpoints);
  const std::string target = Changed(base, 1);
  TextDelta delta;
  return Timed([&] { delta = configuration::MakeDelta(base, target); });
}

double ApplyCpu(std::size_t endpoints) {
  const std::string base = BaseText(endpoints);
  const std::string target = Changed(base, 1);
  const TextDelta delta = configuration::MakeDelta(base, target);
  bool same = false;
  const double used = Timed(
      [&] { same = configuration::ApplyDelta(base, delta).value() == target; });
  Require(same, "a delta did not give the text back");
  return used;
}

double WholeCpu(std::size_t endpoints) {
  const std::string payload = EncodeRecord(
      {.kind = RecordKind::kPublish, .manifest_text = BaseText(endpoints)});
  bool sound = false;
  const double used = Timed([&] {
    const auto record = configuration::DecodeRecord(payload);
    sound = manifest::ParseManifest(record->manifest_text, "scale").ok();
  });
  Require(sound, "a manifest did not parse");
  return used;
}

// Parses only what changed, and applies it to a copy of the active manifest.
// Excludes the checks between keys, which would have to run again.
double TablesCpu(std::size_t endpoints) {
  const manifest::Manifest base = MakeManifest(endpoints, CallersOf(endpoints));
  const std::string part = ManifestText(kModels * 8, 0);
  std::size_t kept = 0;
  const double used = Timed([&] {
    auto parsed = manifest::ParseManifest(part, "scale");
    manifest::Manifest next = base;
    next.endpoints[endpoints / 2] = parsed->endpoints.front();
    kept = next.endpoints.size();
  });
  Require(kept == endpoints, "a copy lost endpoints");
  return used;
}

Sweep BySize(std::string quantity,
             std::string unit,
             double (*measure)(std::size_t)) {
  return {.quantity = std::move(quantity),
          .unit = std::move(unit),
          .x = "endpoints in the manifest, 31 callers a dozen",
          .xs = {240, 2400, 6000, 12000},
          .measure = measure,
          .runs = 5};
}

Sweep ByChanges(std::string quantity, Measure measure) {
  return {.quantity = std::move(quantity),
          .unit = "bytes",
          .x = "endpoints changed at once, of 12,000",
          .xs = {1, 10, 100, 1000},
          .measure = std::move(measure),
          .runs = 1};
}

}  // namespace

std::vector<Sweep> DeltaSweeps() {
  return {
      BySize("delta.whole_bytes", "bytes",
             [](std::size_t x) { return WholeRecord(BaseText(x)); }),
      BySize("delta.whole_cpu", "us", WholeCpu),
      BySize("delta.make_cpu", "us", MakeCpu),
      BySize("delta.apply_cpu", "us", ApplyCpu),
      BySize("delta.tables_cpu", "us", TablesCpu),
      ByChanges("delta.lines_bytes",
                [](std::size_t x) {
                  const std::string base = BaseText(12000);
                  return DeltaRecord(base, Changed(base, x));
                }),
      ByChanges("delta.tables_bytes",
                [](std::size_t x) {
                  // A table for each, and the record around them.
                  return DeltaRecord("", ManifestText(kModels * 8 + x, 0)) -
                         DeltaRecord("", ManifestText(kModels * 8, 0));
                }),
  };
}

}  // namespace acacialug::scale
