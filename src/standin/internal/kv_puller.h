#ifndef STANDIN_INTERNAL_KV_PULLER_H_
#define STANDIN_INTERNAL_KV_PULLER_H_

#include <functional>

#include "framework/http/http_client.h"
#include "standin/types/engine_messages.h"

namespace acacialug::standin {

// Fetches the exports of other engines (POST /kv_pull). Lives on one thread
// with a Qt event loop.
class KvPuller {
 public:
  KvPuller();

  // `found`: whether the export exists. `on_done` may run from inside the call.
  void Pull(const PullKv& pull, const std::function<void(bool found)>& on_done);

 private:
  http::Client client;
};

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_KV_PULLER_H_
