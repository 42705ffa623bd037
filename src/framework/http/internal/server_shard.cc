#include "framework/http/internal/server_shard.h"

#include <unistd.h>

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace acacialug::http {

ServerShard::ServerShard(int shard_index,
                         const ServerOptions& server_options,
                         std::atomic<std::size_t>& total_connections,
                         MemoryBudget& request_budget,
                         MemoryBudget& untaken_budget)
    : index(shard_index),
      options(server_options),
      total(total_connections),
      context{.options = server_options,
              .requests = request_budget,
              .untaken = untaken_budget,
              .on_closed =
                  [this](ServerConnection* connection) {
                    this->Forget(connection);
                  },
              .yield_room =
                  [this](const ServerConnection& asking) {
                    return this->YieldRoom(asking);
                  },
              .on_untaken_exceeded =
                  [this] {
                    // Later: the hooks of what is cut must not run inside the
                    // call that ended an answer.
                    if (!std::exchange(this->will_cut, true)) {
                      this->Post([this] { this->CutUntaken(); });
                    }
                  }} {}

ServerShard::~ServerShard() = default;

void ServerShard::Begin() {
  this->context.handler = this->options.make_handler(this->index);
}

void ServerShard::Adopt(qintptr descriptor,
                        const TlsConfiguration& tls,
                        bool refuse) {
  if (refuse && this->options.limits.idle_yields) {
    refuse = !this->YieldPlace();
  }
  auto connection = std::make_unique<ServerConnection>(this->context, tls);
  ServerConnection* const adopted = connection.get();
  this->connections.emplace(adopted, std::move(connection));
  if (!adopted->Open(descriptor)) {
    ::close(static_cast<int>(descriptor));
    this->Forget(adopted);
  } else if (refuse) {
    adopted->RefuseForLoad();
  } else if (this->context.draining) {
    adopted->CloseIfIdle();
  }
}

void ServerShard::Drain() {
  this->context.draining = true;
  for (ServerConnection* const connection : this->Open()) {
    if (this->connections.contains(connection)) {
      connection->CloseIfIdle();
    }
  }
}

std::vector<ServerConnection*> ServerShard::Open() const {
  std::vector<ServerConnection*> open;
  open.reserve(this->connections.size());
  for (const auto& [connection, owned] : this->connections) {
    open.push_back(connection);
  }
  return open;
}

std::size_t ServerShard::unsent_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [connection, owned] : this->connections) {
    bytes += connection->unsent_bytes();
  }
  return bytes;
}

bool ServerShard::YieldPlace() {
  using Candidate = std::pair<ServerConnection::YieldOrder, ServerConnection*>;
  std::vector<Candidate> candidates;
  for (const auto& [connection, owned] : this->connections) {
    if (const auto order = connection->yield_order()) {
      candidates.emplace_back(*order, connection);
    }
  }
  std::make_heap(candidates.begin(), candidates.end(), std::greater<>());
  while (!candidates.empty()) {
    std::pop_heap(candidates.begin(), candidates.end(), std::greater<>());
    if (candidates.back().second->Yield()) {
      return true;
    }
    candidates.pop_back();
  }
  return false;
}

bool ServerShard::YieldRoom(const ServerConnection& asking) {
  ServerConnection* slowest = nullptr;
  for (const auto& [connection, owned] : this->connections) {
    if (connection != &asking && connection->MayYieldRoom() &&
        (slowest == nullptr ||
         connection->reading_since() < slowest->reading_since())) {
      slowest = connection;
    }
  }
  return slowest != nullptr && slowest->Yield();
}

void ServerShard::CutUntaken() {
  this->will_cut = false;
  std::vector<ServerConnection*> left = this->Open();
  std::erase_if(left, [](ServerConnection* connection) {
    return !connection->FlushUntaken();
  });
  std::sort(left.begin(), left.end(),
            [](const ServerConnection* one, const ServerConnection* other) {
              return one->untaken_since() < other->untaken_since();
            });
  // The latest stays: one answer may be longer than the limit of all.
  for (std::size_t next = 0;
       next + 1 < left.size() && this->context.untaken.exceeded(); ++next) {
    left[next]->Cut();
  }
}

void ServerShard::End() {
  if (this->options.on_shard_end) {
    this->options.on_shard_end(this->index);
  }
  this->context.handler = nullptr;
  const std::size_t left = this->connections.size();
  this->connections.clear();
  this->count -= left;
  this->total -= left;
}

void ServerShard::Forget(ServerConnection* connection) {
  const auto found = this->connections.find(connection);
  if (found == this->connections.end()) {
    return;
  }
  // The call comes from within the connection, often from its socket's own
  // signal: it may only be deleted when that has returned.
  found->second.release()->deleteLater();
  this->connections.erase(found);
  --this->count;
  --this->total;
}

}  // namespace acacialug::http
