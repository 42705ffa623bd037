#ifndef ENTRY_PROCESS_INTERNAL_REQUEST_TRACE_H_
#define ENTRY_PROCESS_INTERNAL_REQUEST_TRACE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "manifest/types/manifest.h"

namespace acacialug::entry_process {

// Observations of one request from which its latencies and its wasted prefill
// work are computed. Not thread safe.
struct RequestTrace {
  std::string service;        // empty: no such service in the manifest
  std::string latency_class;  // empty as above
  Duration first_token_target{};
  Duration token_interval_target{};
  Instant arrived;
  std::optional<Instant> first_text;
  Instant last_text;
  std::uint64_t prefilled_tokens = 0;  // computed for it, at any endpoint
  std::uint64_t last_prefill_tokens = 0;

  void OnText(Instant now);
  // Adds the tokens that a prefill computed, without those found in the cache.
  void OnPrefilled(std::uint64_t tokens);

  // From arrival to the first text; to `now` if none came (a plain call).
  Duration FirstToken(Instant now) const;
  // Between tokens, on average over the answer; zero below two tokens.
  Duration TokenInterval(std::uint32_t output_tokens) const;
  // For a request that completed: all prefills except the one that served it.
  // For a request that did not complete: all prefills.
  std::uint64_t WastedPrefill(bool completed) const;
};

// A trace that begins now. The class is the caller's choice, else the one
// that the manifest gives the caller, else the service's first. `service` may
// be null. Thread safe.
RequestTrace BeginTrace(const manifest::Manifest* manifest,
                        const manifest::Service* service,
                        const CallerName& caller,
                        const std::string& latency_class,
                        Instant now);

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_REQUEST_TRACE_H_
