#ifndef ENTRY_PROCESS_INTERNAL_PARAMETER_RULES_H_
#define ENTRY_PROCESS_INTERNAL_PARAMETER_RULES_H_

#include <nlohmann/json.hpp>

#include "framework/global/types/result.h"

namespace acacialug::entry_process {

// Refuses parameters of a generation that this system sets itself or cannot
// honor when an answer continues at another endpoint. Their neutral values
// (null, false, n of 1, ...) pass, since client libraries send them.
// Precondition: `body` is an object. Errors: kInvalidParameter with the
// parameter's name. Thread safe.
Status CheckParameters(const nlohmann::json& body);

// An error about one parameter. Thread safe.
Error ParameterError(std::string_view name, std::string_view expected);

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_PARAMETER_RULES_H_
