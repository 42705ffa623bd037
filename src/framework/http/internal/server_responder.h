#ifndef FRAMEWORK_HTTP_INTERNAL_SERVER_RESPONDER_H_
#define FRAMEWORK_HTTP_INTERNAL_SERVER_RESPONDER_H_

#include <functional>
#include <string_view>

#include "framework/http/http_server.h"

namespace acacialug::http {

class ServerConnection;

// The answer to one request on one connection.
class ServerResponder : public Responder {
 public:
  struct Options {
    bool answers_head = false;  // no body may follow the head
    bool version_1_1 = true;
    bool keep_alive = true;  // the caller's wish
  };

  // `connection` tells by ConnectionGone before it is destroyed.
  ServerResponder(ServerConnection* connection, Options options);
  ~ServerResponder() override;

  void SendWhole(const Response& response) override;
  void BeginStream(int status, const Headers& headers) override;
  void BeginUnframedStream(int status, const Headers& headers) override;
  void SendData(std::string_view data) override;
  void EndStream() override;
  void Abort() override;
  bool gone() const override { return this->is_gone; }
  std::size_t unsent_bytes() const override;
  void SetOnGone(std::function<void()> on_gone) override;
  void SetOnDrained(std::function<void()> on_drained) override;

  // The caller's connection ended before the answer did.
  void ConnectionGone();
  // The server ends: as above, but the hooks stay silent.
  void ServerGone();
  void Drained();

 private:
  void Begin(int status, const Headers& headers, bool may_chunk);
  bool MayKeepAlive(const Headers& headers) const;
  void End();

  ServerConnection* connection;  // null once the answer ended or is gone
  const Options options;
  bool keep_alive_after = true;
  bool chunked = false;
  bool streaming = false;
  bool is_gone = false;
  std::function<void()> gone_hook;
  std::function<void()> drained_hook;
};

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_INTERNAL_SERVER_RESPONDER_H_
