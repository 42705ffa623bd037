#ifndef ENTRY_PROCESS_INTERNAL_GENERATION_PARSER_H_
#define ENTRY_PROCESS_INTERNAL_GENERATION_PARSER_H_

#include <string>

#include "framework/global/types/result.h"
#include "protocol/types/generation.h"

namespace acacialug::entry_process {

// A generation as requested by a caller.
struct ParsedGeneration {
  protocol::GenerationRequest generation;  // max_tokens 0: not given
  std::string prompt_text;  // what the model reads, message by message
  std::string user;         // the API's `user`; empty: not given
  bool stream = false;
  bool include_usage = false;  // a last event with the usage
};

// Reads the body of a chat or plain completion. Sampling parameters pass
// through unread. Parameters that change the answer's shape, or that this
// system sets itself, are refused, since an answer that continues at another
// endpoint after a loss could not honor them. Errors: kMalformedJson,
// kInvalidParameter with the parameter's name. Thread safe.
Result<ParsedGeneration> ParseGeneration(protocol::GenerationApi api,
                                         std::string body);

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_GENERATION_PARSER_H_
