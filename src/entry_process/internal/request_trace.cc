#include "entry_process/internal/request_trace.h"

#include <algorithm>

namespace acacialug::entry_process {
namespace {

const manifest::LatencyClass* FindClass(const manifest::Service& service,
                                        const std::string& name) {
  const auto found =
      std::find_if(service.classes.begin(), service.classes.end(),
                   [&name](const manifest::LatencyClass& item) {
                     return item.name == name;
                   });
  return found == service.classes.end() ? nullptr : &*found;
}

const manifest::LatencyClass* ClassOf(const manifest::Manifest& manifest,
                                      const manifest::Service& service,
                                      const CallerName& caller,
                                      const std::string& requested) {
  if (const auto* by_request = FindClass(service, requested)) {
    return by_request;
  }
  if (const manifest::CallerLimits* limits = manifest.FindCaller(caller)) {
    if (const auto* by_caller = FindClass(service, limits->latency_class)) {
      return by_caller;
    }
  }
  return service.classes.empty() ? nullptr : &service.classes.front();
}

}  // namespace

void RequestTrace::OnText(Instant now) {
  if (!this->first_text) {
    this->first_text = now;
  }
  this->last_text = now;
}

void RequestTrace::OnPrefilled(std::uint64_t tokens) {
  this->prefilled_tokens += tokens;
  this->last_prefill_tokens = tokens;
}

Duration RequestTrace::FirstToken(Instant now) const {
  return this->first_text.value_or(now) - this->arrived;
}

Duration RequestTrace::TokenInterval(std::uint32_t output_tokens) const {
  if (!this->first_text || output_tokens < 2) {
    return {};
  }
  return (this->last_text - *this->first_text) / (output_tokens - 1);
}

std::uint64_t RequestTrace::WastedPrefill(bool completed) const {
  return this->prefilled_tokens - (completed ? this->last_prefill_tokens : 0);
}

RequestTrace BeginTrace(const manifest::Manifest* manifest,
                        const manifest::Service* service,
                        const CallerName& caller,
                        const std::string& latency_class,
                        Instant now) {
  RequestTrace trace{.arrived = now};
  if (manifest == nullptr || service == nullptr) {
    return trace;
  }
  trace.service = service->name.text;
  if (const manifest::LatencyClass* found =
          ClassOf(*manifest, *service, caller, latency_class)) {
    trace.latency_class = found->name;
    trace.first_token_target = found->first_token;
    trace.token_interval_target = found->token_interval;
  }
  return trace;
}

}  // namespace acacialug::entry_process
