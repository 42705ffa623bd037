#ifndef FRAMEWORK_HTTP_INTERNAL_SERVER_SHARD_H_
#define FRAMEWORK_HTTP_INTERNAL_SERVER_SHARD_H_

#include <atomic>
#include <memory>
#include <unordered_map>
#include <vector>

#include "framework/http/http_server.h"
#include "framework/http/internal/memory_budget.h"
#include "framework/http/internal/server_connection.h"
#include "framework/http/task_queue.h"
#include "framework/http/tls_configuration.h"

namespace acacialug::http {

// The connections and the handler of one thread. All methods but
// connection_count and Post run on that thread.
class ServerShard : public TaskQueue {
 public:
  // `options`, `total_connections` and the budgets outlive the shard.
  ServerShard(int index,
              const ServerOptions& options,
              std::atomic<std::size_t>& total_connections,
              MemoryBudget& request_budget,
              MemoryBudget& untaken_budget);
  ~ServerShard() override;

  void Begin();  // makes the handler
  void Adopt(qintptr descriptor, const TlsConfiguration& tls, bool refuse);
  void Drain();
  std::size_t unsent_bytes() const;
  void End();  // destroys what lives on the thread

  // Counted by whoever hands over a descriptor, so that a burst is spread.
  // Thread safe.
  std::atomic<std::size_t>& connection_count() { return this->count; }

 private:
  void Forget(ServerConnection* connection);
  // A copy, for calls that may close connections. They are deleted later.
  std::vector<ServerConnection*> Open() const;
  // Makes a place for a new caller. Returns false when no connection yields.
  bool YieldPlace();
  // Makes room for a request that is being read, by ending one that has been
  // read for very long. Returns false when there is none.
  bool YieldRoom(const ServerConnection& asking);
  // Cuts connections whose callers leave their answers, the longest left first,
  // until the answers of the others fit into their memory.
  void CutUntaken();

  const int index;
  const ServerOptions& options;
  std::atomic<std::size_t>& total;
  std::atomic<std::size_t> count = 0;
  ConnectionContext context;
  bool will_cut = false;
  std::unordered_map<ServerConnection*, std::unique_ptr<ServerConnection>>
      connections;
};

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_INTERNAL_SERVER_SHARD_H_
