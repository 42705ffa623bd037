#include "framework/http/internal/server_responder.h"

#include <QAbstractEventDispatcher>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "framework/http/internal/message_writer.h"
#include "framework/http/internal/server_connection.h"

namespace acacialug::http {
namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kFirstFinalStatus = 200;

bool HasNoBody(int status) {
  return status < kFirstFinalStatus || status == kNoContent ||
         status == kNotModified;
}

// An answer to HEAD has the length of the body that GET would bring, if it is
// known.
std::optional<std::size_t> LengthOf(const Response& response, bool head) {
  if (!head || !response.body.empty()) {
    return response.body.size();
  }
  const auto told = FindHeader(response.headers, "Content-Length");
  std::size_t length = 0;
  const bool known =
      told &&
      std::from_chars(told->data(), told->data() + told->size(), length).ec ==
          std::errc();
  return known ? std::optional(length) : std::nullopt;
}

}  // namespace

ServerResponder::ServerResponder(ServerConnection* server_connection,
                                 Options responder_options)
    : connection(server_connection), options(responder_options) {}

// Without this a request that its handler forgot would hold the caller, and
// all that is pipelined behind it, until the caller gives up.
ServerResponder::~ServerResponder() {
  if (this->connection != nullptr) {
    this->Abort();
  }
}

void ServerResponder::SendWhole(const Response& response) {
  if (this->connection == nullptr) {
    return;
  }
  const bool no_body = HasNoBody(response.status);
  const bool head = this->options.answers_head;
  const bool unframed = response.unframed && !no_body && !head;
  this->keep_alive_after = this->MayKeepAlive(response.headers) && !unframed;
  Framing framing;
  if (!no_body && !unframed) {
    framing.content_length = LengthOf(response, head);
  }
  if (unframed) {
    this->connection->ResetUntilWhole();
  }
  this->connection->Write(
      WriteResponseHead({.status = response.status,
                         .headers = response.headers,
                         .framing = framing,
                         .version_1_1 = this->options.version_1_1,
                         .keep_alive = this->keep_alive_after}));
  if (!no_body && !head) {
    this->connection->Write(response.body);
  }
  this->End();
}

void ServerResponder::BeginStream(int status, const Headers& headers) {
  this->Begin(status, headers, true);
}

void ServerResponder::BeginUnframedStream(int status, const Headers& headers) {
  this->Begin(status, headers, false);
}

void ServerResponder::Begin(int status,
                            const Headers& headers,
                            bool may_chunk) {
  if (this->connection == nullptr) {
    return;
  }
  const bool no_body = HasNoBody(status);
  this->streaming = !no_body && !this->options.answers_head;
  this->chunked = !no_body && may_chunk && this->options.version_1_1;
  if (this->streaming && !this->chunked) {
    this->connection->ResetUntilWhole();
  }
  this->keep_alive_after =
      this->MayKeepAlive(headers) && (this->chunked || !this->streaming);
  this->connection->Write(
      WriteResponseHead({.status = status,
                         .headers = headers,
                         .framing = {.chunked = this->chunked},
                         .version_1_1 = this->options.version_1_1,
                         .keep_alive = this->keep_alive_after}));
}

void ServerResponder::SendData(std::string_view data) {
  if (this->connection == nullptr || !this->streaming) {
    return;
  }
  if (this->chunked) {
    this->connection->Write(WriteChunk(data));
  } else {
    this->connection->Write(data);
  }
}

void ServerResponder::EndStream() {
  if (this->connection == nullptr) {
    return;
  }
  if (this->streaming && this->chunked) {
    this->connection->Write(WriteLastChunk());
  }
  this->End();
}

void ServerResponder::Abort() {
  if (ServerConnection* const open = std::exchange(this->connection, nullptr)) {
    this->is_gone = true;
    open->Cut();
  }
}

void ServerResponder::End() {
  if (ServerConnection* const open = std::exchange(this->connection, nullptr)) {
    open->EndAnswer(this->keep_alive_after);
  }
}

std::size_t ServerResponder::unsent_bytes() const {
  return this->connection == nullptr ? 0 : this->connection->unsent_bytes();
}

void ServerResponder::SetOnGone(std::function<void()> on_gone) {
  if (this->is_gone && on_gone) {
    // Set too late to be told: told now, or an engine would go on for nobody.
    QMetaObject::invokeMethod(QAbstractEventDispatcher::instance(),
                              std::move(on_gone), Qt::QueuedConnection);
    return;
  }
  this->gone_hook = std::move(on_gone);
}

void ServerResponder::SetOnDrained(std::function<void()> on_drained) {
  this->drained_hook = std::move(on_drained);
}

void ServerResponder::ConnectionGone() {
  this->connection = nullptr;
  this->is_gone = true;
  if (const auto hook = std::exchange(this->gone_hook, nullptr)) {
    hook();
  }
}

void ServerResponder::ServerGone() {
  this->connection = nullptr;
  this->is_gone = true;
  this->gone_hook = nullptr;
  this->drained_hook = nullptr;
}

void ServerResponder::Drained() {
  if (this->drained_hook) {
    const auto hook = this->drained_hook;  // it may set another
    hook();
  }
}

bool ServerResponder::MayKeepAlive(const Headers& headers) const {
  const auto wish = FindHeader(headers, "Connection");
  const bool handler_closes =
      wish && boost::beast::iequals({wish->data(), wish->size()}, "close");
  return this->options.keep_alive && !handler_closes &&
         !this->connection->draining();
}

}  // namespace acacialug::http
