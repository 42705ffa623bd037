#include "engine/engine_factory.h"

#include "engine/internal/openai_engine.h"
#include "engine/internal/plain_engine.h"

namespace acacialug::engine {

std::unique_ptr<IEngine> MakeEngine(const EngineOptions& options) {
  if (options.kind == EngineKind::kPlain) {
    return std::make_unique<PlainEngine>(options);
  }
  return std::make_unique<OpenAiEngine>(options);
}

}  // namespace acacialug::engine
