#include "load/internal/stand_in_reader.h"

#include <QTimer>
#include <nlohmann/json.hpp>
#include <utility>

namespace acacialug::load {
namespace {

using nlohmann::json;

constexpr Duration kAnswerTimeout = 3s;
constexpr int kOk = 200;

std::uint64_t CountOf(const json& stats, const char* key) {
  return stats.is_object() ? stats.value(key, std::uint64_t{0}) : 0;
}

json Parse(const std::string& body) {
  return json::parse(body, nullptr, /*allow_exceptions=*/false);
}

}  // namespace

StandInFigures Difference(const StandInTotals& before,
                          const StandInTotals& after) {
  const StandInFigures& old = before.figures;
  StandInFigures added = after.figures;
  added.known = old.known && added.known;
  added.prefill_computed -= old.prefill_computed;
  added.prefill_cached -= old.prefill_cached;
  added.output -= old.output;
  added.exports_evicted -= old.exports_evicted;
  added.aborted -= old.aborted;
  added.refused -= old.refused;
  added.failed -= old.failed;
  return added;
}

StandInReader::StandInReader(const LoadPlan& load_plan)
    : plan(load_plan), client({.silence_timeout = kAnswerTimeout}) {}

void StandInReader::Read(
    std::function<void(const StandInTotals&)> on_read_done) {
  this->on_read = std::move(on_read_done);
  this->totals = {.figures = {.known = true}};
  // Counts this call itself, so that the reading cannot be complete before the
  // last query is sent.
  this->awaited = 1;
  for (const auto* engines :
       {&this->plan.prefill_stand_ins, &this->plan.decode_stand_ins}) {
    for (const http::Address& address : *engines) {
      this->QueryEngine(address);
    }
  }
  if (!this->plan.plain_stand_ins.empty()) {
    this->totals.executions.emplace();
  }
  for (const http::Address& address : this->plan.plain_stand_ins) {
    this->Query(address, "/executions", [this](const std::string& body) {
      const json counts = Parse(body);
      if (!counts.is_object() || !this->totals.executions) {
        this->totals.figures.known = false;
        return;
      }
      for (const auto& [key, count] : counts.items()) {
        (*this->totals.executions)[key] += count.get<std::uint64_t>();
      }
    });
  }
  QTimer::singleShot(0, [this] { this->OnAnswered(); });
}

void StandInReader::QueryEngine(const http::Address& address) {
  this->Query(address, "/stats", [this](const std::string& body) {
    const json stats = Parse(body);
    StandInFigures& sums = this->totals.figures;
    sums.known = sums.known && stats.is_object();
    sums.prefill_computed += CountOf(stats, "prefill_computed_tokens");
    sums.prefill_cached += CountOf(stats, "prefill_cached_tokens");
    sums.output += CountOf(stats, "output_tokens");
    sums.exports_evicted += CountOf(stats, "exports_evicted");
    sums.aborted += CountOf(stats, "aborted");
    sums.refused += CountOf(stats, "refused");
    sums.failed += CountOf(stats, "failed");
  });
  this->Query(address, "/requests", [this](const std::string& body) {
    const json held = Parse(body);
    if (held.is_object() && held.contains("requests")) {
      this->totals.figures.held_after += held["requests"].size();
    }
  });
}

void StandInReader::Query(const http::Address& address,
                          const std::string& path,
                          Take take) {
  ++this->awaited;
  auto status = std::make_shared<int>(0);
  this->client.Send(
      address, {.method = "GET", .target = path},
      {.on_head = [status](int code, const http::Headers&) { *status = code; },
       .on_end =
           [this, status, take = std::move(take)](const std::string& body) {
             if (*status == kOk) {
               take(body);
             } else {
               this->totals.figures.known = false;
             }
             this->OnAnswered();
           },
       .on_error =
           [this](const Error&, bool) {
             this->totals.figures.known = false;
             this->totals.executions.reset();
             this->OnAnswered();
           }});
}

void StandInReader::OnAnswered() {
  if (--this->awaited == 0) {
    const auto done = std::exchange(this->on_read, {});
    done(this->totals);
  }
}

}  // namespace acacialug::load
