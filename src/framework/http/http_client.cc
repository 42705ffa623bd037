#include "framework/http/http_client.h"

#include <QTimer>
#include <unordered_map>
#include <utility>

#include "framework/http/internal/client_connection.h"
#include "framework/http/internal/client_pool.h"
#include "framework/http/internal/message_writer.h"
#include "framework/http/tls_configuration.h"

namespace acacialug::http {
namespace {

constexpr std::chrono::milliseconds kSweepInterval{1000};

}  // namespace

class Client::Implementation {
 public:
  explicit Implementation(ClientOptions client_options);
  ~Implementation();

  ExchangeId Send(const Address& address,
                  const Request& request,
                  ExchangeHooks hooks,
                  const SendOptions& send_options);
  void Cancel(ExchangeId id);
  void EndSending(ExchangeId id);
  void SetPaused(ExchangeId id, bool paused);
  void DropIdle(const Address& address) { this->pool.DropAll(address); }
  Status ReloadTls();

 private:
  ClientConnection* MakeConnection(const Address& address);
  void OnReleased(ClientConnection* connection, ExchangeId id, bool reusable);
  void Sweep();

  const ClientOptions options;
  Result<TlsConfiguration> tls;
  ClientPool pool;
  std::unordered_map<ExchangeId, ClientConnection*> active;
  ExchangeId last_id = 0;
  QTimer sweep_timer;
};

Client::Implementation::Implementation(ClientOptions client_options)
    : options(std::move(client_options)),
      tls(LoadTls(this->options.tls)),
      pool(this->options.max_idle_connections) {
  this->sweep_timer.setInterval(kSweepInterval);
  QObject::connect(&this->sweep_timer, &QTimer::timeout, &this->sweep_timer,
                   [this] { this->Sweep(); });
}

Client::Implementation::~Implementation() {
  for (const auto& [id, connection] : this->active) {
    connection->Close();
    connection->deleteLater();
  }
}

Client::ExchangeId Client::Implementation::Send(
    const Address& address,
    const Request& request,
    ExchangeHooks hooks,
    const SendOptions& send_options) {
  const ExchangeId id = ++this->last_id;
  Result<std::string> bytes = WriteRequest(request, address);
  auto exchange = std::make_shared<Exchange>(Exchange{
      .id = id,
      .request_bytes = bytes ? std::move(bytes.value()) : std::string(),
      .asks_head = request.method == "HEAD",
      .options = send_options,
      .hooks = std::move(hooks)});
  // A connection that fails an exchange is closed, and a kept one is still good
  // for other requests.
  ClientConnection* connection = send_options.fresh_connection || !bytes
                                     ? nullptr
                                     : this->pool.Take(address);
  if (connection == nullptr) {
    connection = this->MakeConnection(address);
  }
  this->active.emplace(id, connection);
  if (!bytes) {
    connection->FailLater(std::move(exchange), bytes.error());
  } else if (!this->tls.ok()) {
    connection->FailLater(std::move(exchange), this->tls.error());
  } else {
    connection->Start(std::move(exchange));
  }
  return id;
}

ClientConnection* Client::Implementation::MakeConnection(
    const Address& address) {
  return new ClientConnection(
      address, this->options, this->tls.ok() ? this->tls.value() : nullptr,
      {.on_released =
           [this](ClientConnection* connection, ExchangeId id, bool reusable) {
             this->OnReleased(connection, id, reusable);
           },
       .on_idle_closed =
           [this](ClientConnection* connection) {
             this->pool.Drop(connection);
           }});
}

void Client::Implementation::OnReleased(ClientConnection* connection,
                                        ExchangeId id,
                                        bool reusable) {
  this->active.erase(id);
  if (!reusable) {
    this->pool.Drop(connection);
    return;
  }
  this->pool.Keep(connection);
  if (!this->sweep_timer.isActive()) {
    this->sweep_timer.start();
  }
}

void Client::Implementation::Sweep() {
  this->pool.DropExpired(MonotonicNow());
  if (this->pool.empty()) {
    this->sweep_timer.stop();
  }
}

void Client::Implementation::Cancel(ExchangeId id) {
  const auto found = this->active.find(id);
  if (found != this->active.end()) {
    ClientConnection* const connection = found->second;
    this->active.erase(found);
    this->pool.Drop(connection);
  }
}

void Client::Implementation::EndSending(ExchangeId id) {
  const auto found = this->active.find(id);
  if (found != this->active.end()) {
    found->second->EndSending();
  }
}

void Client::Implementation::SetPaused(ExchangeId id, bool paused) {
  const auto found = this->active.find(id);
  if (found != this->active.end()) {
    found->second->SetPaused(paused);
  }
}

Status Client::Implementation::ReloadTls() {
  Result<TlsConfiguration> loaded = LoadTls(this->options.tls);
  if (!loaded) {
    return loaded.error();
  }
  this->tls = std::move(loaded);
  return Success();
}

Client::Client(ClientOptions options)
    : implementation(std::make_unique<Implementation>(std::move(options))) {}

Client::~Client() = default;

Client::ExchangeId Client::Send(const Address& address,
                                const Request& request,
                                ExchangeHooks hooks,
                                const SendOptions& send_options) {
  return this->implementation->Send(address, request, std::move(hooks),
                                    send_options);
}

void Client::Cancel(ExchangeId exchange) {
  this->implementation->Cancel(exchange);
}

void Client::EndSending(ExchangeId exchange) {
  this->implementation->EndSending(exchange);
}

void Client::SetPaused(ExchangeId exchange, bool paused) {
  this->implementation->SetPaused(exchange, paused);
}

void Client::DropIdle(const Address& address) {
  this->implementation->DropIdle(address);
}

Status Client::ReloadTls() {
  return this->implementation->ReloadTls();
}

}  // namespace acacialug::http
