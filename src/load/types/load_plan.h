#ifndef LOAD_TYPES_LOAD_PLAN_H_
#define LOAD_TYPES_LOAD_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/instant.h"
#include "framework/http/http_types.h"
#include "protocol/types/generation.h"

namespace acacialug::load {

// The intervals between requests. Neither waits for an answer.
enum class Arrivals : std::uint8_t { kPoisson, kEven };
inline constexpr EnumNames<Arrivals, 2> kArrivalsNames = {{
    {Arrivals::kPoisson, "poisson"},
    {Arrivals::kEven, "even"},
}};

// A lognormal length, clamped to both bounds; `sigma` 0 is a fixed length.
struct LengthRange {
  double median = 100;
  double sigma = 0;
  std::uint32_t minimum = 1;
  std::uint32_t maximum = 1'000'000;
};

// One kind of generation in the mix.
struct GenerationMix {
  std::string name;  // in the report; the class's name by default
  double weight = 1;
  protocol::GenerationApi api = protocol::GenerationApi::kCompletions;
  std::string model;
  std::string latency_class;  // sent in the header; empty: none sent
  bool stream = true;
  LengthRange prompt_tokens;
  LengthRange output_tokens;
  // The `max_tokens` that callers request, as a multiple of the answer's
  // length, which a caller does not know in advance.
  double max_tokens_factor = 1;
  double shared_prefix_share = 0;  // prompts that begin with a common document
  std::uint32_t shared_prefixes = 1;
  std::uint32_t shared_prefix_tokens = 2048;
  Duration first_token = 2s;  // targets
  Duration token_interval = 100ms;
  double cancel_share = 0;       // callers that disconnect during the answer
  double slow_reader_share = 0;  // callers that stop reading for some time
  Duration slow_reader_pause = 2s;
};

// One kind of plain call in the mix.
struct CallMix {
  std::string name;
  double weight = 1;
  std::string service;
  std::string method = "POST";
  std::string path = "/";
  std::uint32_t body_bytes = 200;
  bool idempotent = true;      // false: sent with an Idempotency-Key
  double double_share = 0;     // keyed calls submitted twice at once
  Duration answer_in = 500ms;  // target
};

// Engines and plain services that receive every second request directly, so
// that one run shows the latency that the router adds. A generation makes the
// same two calls there as the router does: prefill, then decode.
struct DirectTargets {
  std::vector<http::Address> prefill;
  std::vector<http::Address> decode;
  std::vector<http::Address> plain;

  bool enabled() const { return !this->decode.empty() || !this->plain.empty(); }
};

// The work of `acacialug-load`: a seeded open-loop load on some entries.
struct LoadPlan {
  std::uint64_t seed = 1;
  std::vector<http::Address>
      entries;  // used in round-robin order, as by a balancer
  DirectTargets direct;
  double requests_per_second = 10;
  Arrivals arrivals = Arrivals::kPoisson;
  Duration warm_up = 2s;    // its requests are not measured
  Duration duration = 10s;  // of the measured arrivals
  // The load continues for this long after the measured arrivals, so that the
  // last of them have the same contention as the first.
  Duration tail = 0s;
  Duration drain_limit = 30s;  // for answers still outstanding after that
  // Time between the last answer and the last reading of the stand-ins'
  // figures: engines free the memory of a finished request within a second.
  Duration settle = 1s;
  // One-way delay between callers and entries. It is not waited for, but added
  // twice to each time to first token and to each plain call.
  Duration client_one_way = 0s;
  std::uint32_t max_outstanding = 20'000;
  std::vector<GenerationMix> generations;
  std::vector<CallMix> calls;
  // Stand-ins whose figures are read at the start and the end.
  std::vector<http::Address> prefill_stand_ins;
  std::vector<http::Address> decode_stand_ins;
  std::vector<http::Address> plain_stand_ins;
  std::string report_file;  // empty: standard output
};

}  // namespace acacialug::load

#endif  // LOAD_TYPES_LOAD_PLAN_H_
