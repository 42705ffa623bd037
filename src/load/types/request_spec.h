#ifndef LOAD_TYPES_REQUEST_SPEC_H_
#define LOAD_TYPES_REQUEST_SPEC_H_

#include <cstdint>
#include <string>

#include "framework/global/types/instant.h"

namespace acacialug::load {

// One request as the workload drew it.
struct RequestSpec {
  std::string name;  // unique in a run; part of the prompt or body
  bool generation = true;
  std::size_t mix = 0;  // index into the plan's generations or calls
  bool direct = false;  // sent directly, not through the router
  bool measured = false;
  // The prompt of a generation, the body of a call.
  std::string text;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t shared_tokens = 0;  // of the prompt, a common document
  std::uint32_t output_tokens = 0;  // the whole answer's
  std::uint32_t max_tokens = 0;
  // The caller disconnects after this number of tokens; 0: at the end.
  std::uint32_t leaves_after_tokens = 0;
  // The caller stops reading for some time after this number of tokens; 0: it
  // does not.
  std::uint32_t pauses_after_tokens = 0;
  bool submitted_twice = false;
};

}  // namespace acacialug::load

#endif  // LOAD_TYPES_REQUEST_SPEC_H_
