#ifndef ENGINE_INTERNAL_ABORT_SENDER_H_
#define ENGINE_INTERNAL_ABORT_SENDER_H_

#include <QTimer>
#include <vector>

#include "engine/types/engine_options.h"
#include "framework/http/http_client.h"

namespace acacialug::engine {

// Sends the aborts of attempts to the engine until the engine has answered. A
// lost abort leaves KV memory held for a request that no longer exists; it
// shows as streams in the engine that no agent owns. So each abort is sent
// again until the engine accepts it. One request is sent at a time, with all
// attempts added meanwhile. Lives on its client's thread; not thread safe.
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
  std::vector<AttemptId> sent;  // in the current request
  Duration next_retry;
  QTimer timer;
};

}  // namespace acacialug::engine

#endif  // ENGINE_INTERNAL_ABORT_SENDER_H_
