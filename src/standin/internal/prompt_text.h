#ifndef STANDIN_INTERNAL_PROMPT_TEXT_H_
#define STANDIN_INTERNAL_PROMPT_TEXT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "framework/global/types/result.h"
#include "protocol/types/generation.h"

namespace acacialug::standin {

// PromptText of a parsed body. Thread safe.
Result<std::string> PromptTextOf(protocol::GenerationApi api,
                                 const nlohmann::json& body);

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_PROMPT_TEXT_H_
