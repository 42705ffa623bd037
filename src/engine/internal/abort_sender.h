#ifndef ENGINE_INTERNAL_ABORT_SENDER_H_
#define ENGINE_INTERNAL_ABORT_SENDER_H_

#include <QTimer>
#include <vector>

#include "engine/types/engine_options.h"
#include "framework/http/http_client.h"

namespace acacialug::engine {

// Tells the engine which attempts to abort, until the engine has answered.
// An abort that is lost leaves KV memory held for a request that is gone,
// seen as streams in the engine that no agent knows; so each is sent again
// until the engine takes it. One request at a time, with all attempts that
// came meanwhile. Lives on its client's thread; not thread safe.
class AbortSender {
 public:
  // The client must outlive this.
  AbortSender(const EngineOptions& engine_options, http::Client& http_client);

  void Add(const AttemptId& attempt);

 private:
  void Send();
  void OnAnswered();
  void OnFailed();

  EngineOptions options;
  http::Client& client;
  std::vector<AttemptId> waiting;
  std::vector<AttemptId> sent;  // in the request under way
  Duration next_retry;
  QTimer timer;
};

}  // namespace acacialug::engine

#endif  // ENGINE_INTERNAL_ABORT_SENDER_H_
