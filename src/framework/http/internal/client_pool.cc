#include "framework/http/internal/client_pool.h"

namespace acacialug::http {
namespace {

void CloseLater(ClientConnection* connection) {
  connection->Close();
  connection->deleteLater();
}

}  // namespace

ClientPool::ClientPool(std::size_t max_idle_per_address)
    : max_idle(max_idle_per_address) {}

ClientPool::~ClientPool() {
  for (const auto& [address, connections] : this->idle) {
    for (ClientConnection* const connection : connections) {
      CloseLater(connection);
    }
  }
}

ClientConnection* ClientPool::Take(const Address& address) {
  const auto found = this->idle.find(address);
  if (found == this->idle.end()) {
    return nullptr;
  }
  ClientConnection* taken = nullptr;
  std::vector<ClientConnection*>& connections = found->second;
  while (!connections.empty() && taken == nullptr) {
    ClientConnection* const latest = connections.back();
    connections.pop_back();
    // A timer that is late must not let a connection be used past its time.
    if (latest->idle_until() > MonotonicNow() && latest->IsReusable()) {
      taken = latest;
    } else {
      CloseLater(latest);
    }
  }
  if (connections.empty()) {
    this->idle.erase(found);
  }
  return taken;
}

void ClientPool::Keep(ClientConnection* connection) {
  std::vector<ClientConnection*>& connections =
      this->idle[connection->address()];
  if (connections.size() < this->max_idle) {
    connections.push_back(connection);
    return;
  }
  if (connections.empty()) {
    this->idle.erase(connection->address());
  }
  CloseLater(connection);
}

void ClientPool::Drop(ClientConnection* connection) {
  const auto found = this->idle.find(connection->address());
  if (found != this->idle.end()) {
    std::erase(found->second, connection);
    if (found->second.empty()) {
      this->idle.erase(found);
    }
  }
  CloseLater(connection);
}

void ClientPool::DropAll(const Address& address) {
  const auto found = this->idle.find(address);
  if (found == this->idle.end()) {
    return;
  }
  for (ClientConnection* const connection : found->second) {
    CloseLater(connection);
  }
  this->idle.erase(found);
}

void ClientPool::DropExpired(Instant now) {
  std::vector<ClientConnection*> old;
  for (const auto& [address, connections] : this->idle) {
    for (ClientConnection* const connection : connections) {
      if (connection->idle_until() <= now) {
        old.push_back(connection);
      }
    }
  }
  for (ClientConnection* const connection : old) {
    this->Drop(connection);
  }
}

}  // namespace acacialug::http
