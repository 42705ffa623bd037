#include "load/load_plan_reader.h"

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace acacialug::load {
namespace {

using settings::Table;

constexpr double kMaximumRate = 100'000;
constexpr std::int64_t kMaximumTokens = 1'000'000;
constexpr std::int64_t kMaximumOutstanding = 1'000'000;
constexpr std::int64_t kMaximumBodyBytes = 8 << 20;
constexpr std::size_t kMaximumPrefixes = 100'000;

std::vector<http::Address> Addresses(const Table& table,
                                     std::string_view key,
                                     std::size_t minimum = 0) {
  settings::StringListRule list{.minimum_count = minimum};
  if (minimum == 0) {
    list.fallback = std::vector<std::string>();
  }
  return table.ParsedList<http::Address>(
      key, {.parse = http::ParseAddress, .expected = "IP:PORT"}, list);
}

double Share(const Table& table, std::string_view key) {
  return table.Number(key, {.fallback = 0, .minimum = 0, .maximum = 1});
}

std::uint32_t Count(const Table& table,
                    std::string_view key,
                    std::int64_t fallback,
                    std::int64_t maximum) {
  return static_cast<std::uint32_t>(table.Integer(
      key, {.fallback = fallback, .minimum = 1, .maximum = maximum}));
}

LengthRange ReadLength(const Table& table) {
  LengthRange range;
  range.median = table.Number("median", {.minimum = 1});
  range.sigma =
      table.Number("sigma", {.fallback = 0, .minimum = 0, .maximum = 5});
  range.minimum = Count(table, "minimum", 1, kMaximumTokens);
  range.maximum = Count(table, "maximum", kMaximumTokens, kMaximumTokens);
  if (range.minimum > range.maximum) {
    table.Report("minimum", ResultCode::kSettingsOutOfRange,
                 "expected at most the maximum");
  }
  return range;
}

GenerationMix ReadGeneration(const Table& table) {
  GenerationMix mix;
  mix.model = table.String("model");
  mix.name = table.String("name", {.fallback = mix.model});
  mix.weight = table.Number("weight", {.fallback = 1, .minimum = 0});
  mix.api = table.Choice("api", protocol::kGenerationApiNames,
                         protocol::GenerationApi::kCompletions);
  mix.latency_class =
      table.String("class", {.fallback = "", .minimum_bytes = 0});
  mix.stream = table.Bool("stream", {.fallback = true});
  mix.prompt_tokens =
      ReadLength(table.Child("prompt_tokens", {.required = true}));
  mix.output_tokens =
      ReadLength(table.Child("output_tokens", {.required = true}));
  mix.max_tokens_factor = table.Number(
      "max_tokens_factor", {.fallback = 1, .minimum = 1, .maximum = 100});
  mix.shared_prefix_share = Share(table, "shared_prefix_share");
  mix.shared_prefixes = Count(table, "shared_prefixes", 1, kMaximumPrefixes);
  mix.shared_prefix_tokens =
      Count(table, "shared_prefix_tokens", 2048, kMaximumTokens);
  mix.first_token = table.Duration("first_token", {.fallback = 2s});
  mix.token_interval = table.Duration("token_interval", {.fallback = 100ms});
  mix.cancel_share = Share(table, "cancel_share");
  mix.slow_reader_share = Share(table, "slow_reader_share");
  mix.slow_reader_pause = table.Duration("slow_reader_pause", {.fallback = 2s});
  return mix;
}

CallMix ReadCall(const Table& table) {
  CallMix mix;
  mix.service = table.String("service");
  mix.name = table.String("name", {.fallback = mix.service});
  mix.weight = table.Number("weight", {.fallback = 1, .minimum = 0});
  mix.method = table.String("method", {.fallback = "POST"});
  mix.path = table.String("path", {.fallback = "/"});
  mix.body_bytes = Count(table, "body_bytes", 200, kMaximumBodyBytes);
  mix.idempotent = table.Bool("idempotent", {.fallback = true});
  mix.double_share = Share(table, "double_share");
  mix.answer_in = table.Duration("answer_in", {.fallback = 500ms});
  return mix;
}

void ReadLoad(const Table& table, LoadPlan& plan) {
  plan.seed = static_cast<std::uint64_t>(
      table.Integer("seed", {.fallback = 1, .minimum = 0}));
  plan.entries = Addresses(table, "entries", 1);
  plan.requests_per_second = table.Number(
      "requests_per_second", {.minimum = 0.01, .maximum = kMaximumRate});
  plan.arrivals = table.Choice("arrivals", kArrivalsNames, Arrivals::kPoisson);
  plan.warm_up = table.Duration("warm_up", {.fallback = 2s});
  plan.duration =
      table.Duration("duration", {.fallback = 10s, .minimum = 100ms});
  plan.tail = table.Duration("tail", {.fallback = 0s});
  plan.drain_limit = table.Duration("drain_limit", {.fallback = 30s});
  plan.settle = table.Duration("settle", {.fallback = 1s});
  plan.client_one_way = table.Duration("client_one_way", {.fallback = 0s});
  plan.max_outstanding =
      Count(table, "max_outstanding", 20'000, kMaximumOutstanding);
  plan.report_file =
      table.String("report_file", {.fallback = "", .minimum_bytes = 0});
}

}  // namespace

LoadPlan ReadLoadPlan(settings::Reader& reader) {
  LoadPlan plan;
  const Table root = reader.Root();
  ReadLoad(root.Child("load", {.required = true}), plan);
  for (const Table& table : root.Tables("generation")) {
    plan.generations.push_back(ReadGeneration(table));
  }
  for (const Table& table : root.Tables("call")) {
    plan.calls.push_back(ReadCall(table));
  }
  if (plan.generations.empty() && plan.calls.empty()) {
    root.Report("generation", ResultCode::kSettingsMissingKey,
                "expected at least one [[generation]] or [[call]]");
  }
  const Table direct = root.Child("direct");
  plan.direct = {.prefill = Addresses(direct, "prefill"),
                 .decode = Addresses(direct, "decode"),
                 .plain = Addresses(direct, "plain")};
  if (plan.direct.enabled()) {
    if (!plan.generations.empty() &&
        (plan.direct.prefill.empty() || plan.direct.decode.empty())) {
      direct.Report("decode", ResultCode::kSettingsMissingKey,
                    "expected prefill and decode for the generations");
    }
    if (!plan.calls.empty() && plan.direct.plain.empty()) {
      direct.Report("plain", ResultCode::kSettingsMissingKey,
                    "expected plain for the calls");
    }
  }
  const Table stand_ins = root.Child("stand_ins");
  plan.prefill_stand_ins = Addresses(stand_ins, "prefill");
  plan.decode_stand_ins = Addresses(stand_ins, "decode");
  plan.plain_stand_ins = Addresses(stand_ins, "plain");
  return plan;
}

}  // namespace acacialug::load
