#ifndef ENGINE_ENGINE_FACTORY_H_
#define ENGINE_ENGINE_FACTORY_H_

#include <memory>

#include "engine/i_engine.h"
#include "engine/types/engine_options.h"

namespace acacialug::engine {

// Makes the adapter for the kind in the options. Thread: a thread with a
// running Qt event loop; the engine is used and destroyed on it.
std::unique_ptr<IEngine> MakeEngine(const EngineOptions& options);

}  // namespace acacialug::engine

#endif  // ENGINE_ENGINE_FACTORY_H_
