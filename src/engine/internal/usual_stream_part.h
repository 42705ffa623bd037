#ifndef ENGINE_INTERNAL_USUAL_STREAM_PART_H_
#define ENGINE_INTERNAL_USUAL_STREAM_PART_H_

#include <optional>
#include <string_view>

#include "engine/internal/openai_format.h"

namespace acacialug::engine {

// Reads an event of the form that a stream consists of, at most one choice of
// index 0, without building a tree of its JSON: of an agent's time on a token,
// the tree was a quarter. Empty for whatever has another form or a fault; what
// it means is then for ParseStreamPart to say. Thread safe.
std::optional<StreamPart> ReadUsualStreamPart(std::string_view data);

}  // namespace acacialug::engine

#endif  // ENGINE_INTERNAL_USUAL_STREAM_PART_H_
