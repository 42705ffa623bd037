#ifndef STANDIN_ENGINE_SERVER_H_
#define STANDIN_ENGINE_SERVER_H_

#include <cstdint>
#include <memory>

#include "framework/global/types/result.h"
#include "framework/http/http_types.h"
#include "standin/engine_model.h"

namespace acacialug::standin {

struct EngineServerOptions {
  http::Address listen;
  EngineOptions engine;
  Duration one_way_delay{};  // added to requests and to answers
  std::uint64_t seed = 1;
};

// An EngineModel behind the OpenAI-compatible API, with vLLM's transfer of KV
// caches, and the control of its faults (docs/STANDINS.md). Lives on one
// thread with a running Qt event loop; not thread safe.
class EngineServer {
 public:
  explicit EngineServer(EngineServerOptions options);
  ~EngineServer();

  // Listens. Errors: kAddressInUse.
  Status Start();

  // Precondition: Start succeeded.
  http::Address address() const;

  // For tests; call PumpNow after changing it.
  EngineModel& model();
  void PumpNow();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::standin

#endif  // STANDIN_ENGINE_SERVER_H_
