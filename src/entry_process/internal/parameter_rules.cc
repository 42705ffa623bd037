#include "entry_process/internal/parameter_rules.h"

#include <string>
#include <string_view>

namespace acacialug::entry_process {
namespace {

using nlohmann::json;

struct Rule {
  std::string_view name;
  bool (*is_neutral)(const json& value);  // null is always neutral
  std::string_view expected;
};

bool Never(const json& /*value*/) {
  return false;
}
bool IsOne(const json& value) {
  return value == 1;
}
bool IsFalse(const json& value) {
  return value == false;
}
bool IsEmpty(const json& value) {
  return value.is_string() ? value.get_ref<const std::string&>().empty()
                           : value.is_array() && value.empty();
}
bool IsNone(const json& value) {
  return value == "none";
}
bool IsPlainText(const json& value) {
  return value.is_object() && value.size() == 1 && value.contains("type") &&
         value["type"] == "text";
}
bool IsTextOnly(const json& value) {
  return value == json::array({"text"});
}

constexpr std::string_view kOurs = "is set by the router, not by callers";
constexpr std::string_view kUnsupported = "is not supported";

constexpr Rule kRules[] = {
    // Answers that are not a single text.
    {"n", IsOne, "only 1 is supported"},
    {"best_of", IsOne, "only 1 is supported"},
    {"use_beam_search", IsFalse, kUnsupported},
    {"echo", IsFalse, "only false is supported"},
    {"logprobs", IsFalse, kUnsupported},
    {"top_logprobs", Never, kUnsupported},
    {"prompt_logprobs", Never, kUnsupported},
    {"return_token_ids", IsFalse, kUnsupported},
    {"suffix", IsEmpty, kUnsupported},
    {"tools", IsEmpty, kUnsupported},
    {"functions", IsEmpty, kUnsupported},
    {"tool_choice", IsNone, kUnsupported},
    {"function_call", IsNone, kUnsupported},
    {"modalities", IsTextOnly, "only [\"text\"] is supported"},
    {"audio", Never, kUnsupported},
    // A grammar starts from its beginning when an answer continues at another
    // endpoint.
    {"response_format", IsPlainText, "only {\"type\": \"text\"} is supported"},
    {"structured_outputs", Never, kUnsupported},
    {"guided_json", Never, kUnsupported},
    {"guided_regex", Never, kUnsupported},
    {"guided_choice", Never, kUnsupported},
    {"guided_grammar", Never, kUnsupported},
    // A caller that set these could read another caller's KV cache, overtake
    // other callers, or cancel requests of other callers.
    {"kv_transfer_params", Never, kOurs},
    {"priority", Never, kOurs},
    {"request_id", Never, kOurs},
    {"continue_final_message", IsFalse, kOurs},
    {"add_generation_prompt", [](const json& value) { return value == true; },
     kOurs},
};

}  // namespace

Error ParameterError(std::string_view name, std::string_view expected) {
  return {ResultCode::kInvalidParameter,
          std::string(name) + ": " + std::string(expected)};
}

Status CheckParameters(const json& body) {
  for (const Rule& rule : kRules) {
    const auto found = body.find(rule.name);
    if (found != body.end() && !found->is_null() && !rule.is_neutral(*found)) {
      return ParameterError(rule.name, rule.expected);
    }
  }
  return Success{};
}

}  // namespace acacialug::entry_process
