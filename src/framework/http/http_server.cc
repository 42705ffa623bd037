#include "framework/http/http_server.h"

#include <unistd.h>

#include <QThread>
#include <atomic>
#include <limits>
#include <utility>
#include <vector>

#include "framework/http/internal/memory_budget.h"
#include "framework/http/internal/server_shard.h"
#include "framework/http/tcp_listener.h"
#include "framework/http/tls_configuration.h"

namespace acacialug::http {
namespace {

// Connections over the limit that are told so; beyond, they are just closed.
constexpr std::size_t kMaxRefusals = 64;

}  // namespace

class Server::Implementation {
 public:
  explicit Implementation(ServerOptions server_options)
      : options(std::move(server_options)),
        requests(this->options.limits.max_bodies_bytes),
        untaken(this->options.limits.max_untaken_bytes),
        listener([this](qintptr descriptor) { this->OnAccepted(descriptor); }) {
  }
  ~Implementation();

  Status Start();
  std::uint16_t port() const { return this->listener.serverPort(); }
  void StopAccepting();
  std::size_t open_connections() const { return this->total; }
  std::size_t unsent_bytes() const;
  void PostToShard(int shard, std::function<void()> task);
  Status ReloadTls();

 private:
  struct Worker {
    std::unique_ptr<QThread> thread;  // null: the starting thread
    std::unique_ptr<ServerShard> shard;
  };

  void StartShard(int index, bool own_thread);
  void OnAccepted(qintptr descriptor);
  ServerShard& LeastLoaded();

  const ServerOptions options;
  std::atomic<std::size_t> total = 0;
  MemoryBudget requests;
  MemoryBudget untaken;  // answers
  TlsConfiguration tls;
  std::vector<Worker> workers;
  std::size_t next_worker = 0;
  TcpListener listener;
};

Server::Implementation::~Implementation() {
  this->listener.close();
  for (Worker& worker : this->workers) {
    ServerShard* const shard = worker.shard.get();
    if (!worker.thread) {
      shard->End();
      continue;
    }
    shard->PostAndWait([shard] { shard->End(); });
    worker.thread->quit();
  }
  for (Worker& worker : this->workers) {
    if (worker.thread) {
      worker.thread->wait();
    }
  }
}

Status Server::Implementation::Start() {
  if (Status loaded = this->ReloadTls(); !loaded) {
    return loaded;
  }
  if (Status listening = this->listener.Listen(this->options.listen);
      !listening) {
    return listening;
  }
  const bool own_threads = this->options.shard_threads > 0;
  const int count = own_threads ? this->options.shard_threads : 1;
  for (int index = 0; index < count; ++index) {
    this->StartShard(index, own_threads);
  }
  return Success();
}

void Server::Implementation::StartShard(int index, bool own_thread) {
  Worker worker{
      .shard = std::make_unique<ServerShard>(index, this->options, this->total,
                                             this->requests, this->untaken)};
  ServerShard* const shard = worker.shard.get();
  if (own_thread) {
    worker.thread = std::make_unique<QThread>();
    worker.thread->setObjectName("http-" + QString::number(index));
    shard->moveToThread(worker.thread.get());
    worker.thread->start();
    shard->PostAndWait([shard] { shard->Begin(); });
  } else {
    shard->Begin();
  }
  this->workers.push_back(std::move(worker));
}

ServerShard& Server::Implementation::LeastLoaded() {
  std::size_t best = this->next_worker;
  std::size_t best_count = std::numeric_limits<std::size_t>::max();
  for (std::size_t step = 0; step < this->workers.size(); ++step) {
    const std::size_t candidate =
        (this->next_worker + step) % this->workers.size();
    const std::size_t count =
        this->workers[candidate].shard->connection_count();
    if (count < best_count) {
      best = candidate;
      best_count = count;
    }
  }
  this->next_worker = (best + 1) % this->workers.size();
  return *this->workers[best].shard;
}

void Server::Implementation::OnAccepted(qintptr descriptor) {
  const std::size_t limit = this->options.limits.max_connections;
  const bool refuse = this->total >= limit;
  if (this->total >= limit + kMaxRefusals) {
    ::close(static_cast<int>(descriptor));
    return;
  }
  ServerShard& shard = this->LeastLoaded();
  ++this->total;
  ++shard.connection_count();
  if (shard.thread() == QThread::currentThread()) {
    shard.Adopt(descriptor, this->tls, refuse);
    return;
  }
  shard.Post([&shard, descriptor, shared_tls = this->tls, refuse] {
    shard.Adopt(descriptor, shared_tls, refuse);
  });
}

void Server::Implementation::StopAccepting() {
  this->listener.close();
  for (const Worker& worker : this->workers) {
    ServerShard* const shard = worker.shard.get();
    shard->Post([shard] { shard->Drain(); });
  }
}

std::size_t Server::Implementation::unsent_bytes() const {
  std::size_t bytes = 0;
  for (const Worker& worker : this->workers) {
    bytes += worker.shard->unsent_bytes();
  }
  return bytes;
}

void Server::Implementation::PostToShard(int shard,
                                         std::function<void()> task) {
  this->workers.at(static_cast<std::size_t>(shard))
      .shard->Post(std::move(task));
}

Status Server::Implementation::ReloadTls() {
  Result<TlsConfiguration> loaded = LoadTls(this->options.tls);
  if (!loaded) {
    return loaded.error();
  }
  this->tls = std::move(loaded.value());
  return Success();
}

Server::Server(ServerOptions options)
    : implementation(std::make_unique<Implementation>(std::move(options))) {}

Server::~Server() = default;

Status Server::Start() {
  return this->implementation->Start();
}

std::uint16_t Server::port() const {
  return this->implementation->port();
}

void Server::StopAccepting() {
  this->implementation->StopAccepting();
}

std::size_t Server::open_connections() const {
  return this->implementation->open_connections();
}

std::size_t Server::unsent_bytes() const {
  return this->implementation->unsent_bytes();
}

void Server::PostToShard(int shard, std::function<void()> task) {
  this->implementation->PostToShard(shard, std::move(task));
}

Status Server::ReloadTls() {
  return this->implementation->ReloadTls();
}

}  // namespace acacialug::http
