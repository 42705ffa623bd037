#ifndef ENGINE_ENGINE_FACTORY_H_
#define ENGINE_ENGINE_FACTORY_H_

#include <memory>

#include "engine/i_engine.h"
#include "engine/types/engine_options.h"

namespace acacialug::engine {

// The adapter for the options' kind. Thread: one with a running Qt event
// loop; the engine lives and ends there.
std::unique_ptr<IEngine> MakeEngine(const EngineOptions& options);

}  // namespace acacialug::engine

#endif  // ENGINE_ENGINE_FACTORY_H_
