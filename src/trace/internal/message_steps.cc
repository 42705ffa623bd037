#include "trace/message_steps.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

namespace acacialug::trace {
namespace {

std::uint64_t Microseconds(Duration duration) {
  return static_cast<std::uint64_t>(
      std::max(duration.count(), Duration::rep{}));
}

Step Describe(const protocol::Reserve& reserve) {
  return {.kind = StepKind::kReserveSent, .amount = reserve.kv_tokens};
}

Step Describe(const protocol::StartPrefill& start) {
  return {.kind = StepKind::kPrefillStarted, .amount = start.prompt_tokens};
}

Step Describe(const protocol::StartDecode& start) {
  const bool resumed = !start.generation.resumed_text.empty();
  return {.kind = resumed ? StepKind::kDecodeResumed : StepKind::kDecodeStarted,
          .amount = start.kv_tokens};
}

Step Describe(const protocol::StartCall&) {
  return {.kind = StepKind::kCallStarted};
}

Step Describe(const protocol::LookUp&) {
  return {.kind = StepKind::kCallLookedUp};
}

Step Describe(const protocol::Cancel&) {
  return {.kind = StepKind::kReleased};
}

Step Describe(const protocol::Reserved& reserved) {
  return {.kind = StepKind::kReserved,
          .amount = Microseconds(reserved.available_in)};
}

Step Describe(const protocol::Refused& refused) {
  return {.kind = StepKind::kRefused,
          .phase = refused.phase,
          .code = refused.code,
          .amount = Microseconds(refused.retry_after)};
}

Step Describe(const protocol::Prefilled& prefilled) {
  const protocol::Usage& usage = prefilled.usage;
  return {.kind = StepKind::kPrefilled,
          .amount = usage.prompt_tokens -
                    std::min(usage.prompt_tokens, usage.cached_tokens)};
}

Step Describe(const protocol::Ended& ended) {
  return {.kind = StepKind::kDecodeEnded, .amount = ended.usage.output_tokens};
}

Step Describe(const protocol::Failed& failed) {
  return {
      .kind = StepKind::kFailed, .phase = failed.phase, .code = failed.code};
}

Step Describe(const protocol::CallAnswered&) {
  return {.kind = StepKind::kCallAnswered};
}

template <typename Message>
concept IsStep = requires(const Message& message) {
  Describe(message);
};

template <typename Variant>
std::optional<RequestStep> StepOfVariant(const EndpointId& endpoint,
                                         const Variant& variant) {
  return std::visit(
      [&endpoint](const auto& message) -> std::optional<RequestStep> {
        if constexpr (IsStep<std::decay_t<decltype(message)>>) {
          Step step = Describe(message);
          step.attempt = message.attempt.attempt;
          step.endpoint = endpoint;
          return RequestStep{.request = message.attempt.request,
                             .step = std::move(step)};
        } else {
          return std::nullopt;
        }
      },
      variant);
}

}  // namespace

std::optional<RequestStep> StepOf(const EndpointId& endpoint,
                                  const protocol::EntryToAgent& message) {
  return StepOfVariant(endpoint, message);
}

std::optional<RequestStep> StepOf(const EndpointId& endpoint,
                                  const protocol::AgentToEntry& message) {
  return StepOfVariant(endpoint, message);
}

}  // namespace acacialug::trace
