#ifndef ENGINE_INTERNAL_USUAL_STREAM_PART_H_
#define ENGINE_INTERNAL_USUAL_STREAM_PART_H_

#include <optional>
#include <string_view>

#include "engine/internal/openai_format.h"

namespace acacialug::engine {

// Reads an event of the form that makes up most of a stream, at most one choice
// of index 0, without building a tree of its JSON: the tree took a quarter of
// an agent's time for a token. Returns empty for an event of another form or
// with a fault; ParseStreamPart then interprets it. Thread safe.
std::optional<StreamPart> ReadUsualStreamPart(std::string_view data);

}  // namespace acacialug::engine

#endif  // ENGINE_INTERNAL_USUAL_STREAM_PART_H_
