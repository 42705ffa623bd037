#ifndef FRAMEWORK_HTTP_INTERNAL_SERVER_CONNECTION_H_
#define FRAMEWORK_HTTP_INTERNAL_SERVER_CONNECTION_H_

#include <QObject>
#include <QTcpSocket>
#include <compare>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "framework/http/http_server.h"
#include "framework/http/internal/deadline_timer.h"
#include "framework/http/internal/memory_budget.h"
#include "framework/http/internal/request_reader.h"
#include "framework/http/tls_configuration.h"

namespace acacialug::http {

class ServerResponder;

// What the connections of one shard share.
struct ConnectionContext {
  const ServerOptions& options;
  MemoryBudget& requests;
  MemoryBudget& untaken;
  RequestHandler handler;
  bool draining = false;
  // The connection is closed for good; it is deleted later by its owner.
  std::function<void(class ServerConnection* connection)> on_closed;
  // Makes room in `requests`. Returns false when nothing yields.
  std::function<bool(const class ServerConnection& asking)> yield_room;
  std::function<void()> on_untaken_exceeded;
};

// One connection of a caller. Reads a request, hands it to the handler, and
// reads no further before its answer ended. Lives on its shard's thread.
class ServerConnection : public QObject {
 public:
  // `context` outlives the connection.
  ServerConnection(ConnectionContext& context, const TlsConfiguration& tls);
  ~ServerConnection() override;

  // Takes over a descriptor. False: it is of no use, and closed.
  bool Open(qintptr descriptor);

  // Answers 503 without reading a request, and closes.
  void RefuseForLoad();

  // Whether nothing is under way on the connection.
  bool idle() const;
  // The order in which connections yield their places: by what their callers
  // keep them waiting for, then by since when.
  struct YieldOrder {
    enum class Reason { kIdle, kHead, kBody, kAnswerNotTaken };
    Reason reason;
    Instant since;

    friend auto operator<=>(const YieldOrder&, const YieldOrder&) = default;
  };
  // Empty if the connection keeps its place.
  std::optional<YieldOrder> yield_order() const;
  // Whether it holds memory for a request that has been coming for too long.
  bool MayYieldRoom() const;
  // Since when the present part of a request has been coming.
  Instant reading_since() const { return this->watched_since; }
  // Closes the connection. Returns false, and does not, if a request may lie in
  // it that this process was too late to read. Precondition: yield_order() is
  // not empty.
  bool Yield();
  // Closes the connection if it is idle.
  void CloseIfIdle();

  // Writes what its caller takes of answers that have ended. Returns false if
  // nothing of them is left.
  bool FlushUntaken();
  // Since when some is left. Precondition: FlushUntaken returned true.
  Instant untaken_since() const { return this->left_since; }

  // For the responder of the request under way.
  void Write(std::string_view bytes);
  std::size_t unsent_bytes() const;
  bool draining() const { return this->context.draining; }
  // The answer under way ends with the connection: until it is whole and sent,
  // a close for any reason, the end of this process included, is a reset.
  void ResetUntilWhole();
  void EndAnswer(bool keep_alive);
  void Cut();

 private:
  enum class State { kReading, kAnswering, kLingering, kClosing, kClosed };

  void ConnectSignals(bool secure);
  void OnEncrypted();
  void OnReadyRead();
  void WatchUnreadCaller();
  void OnBytesWritten();
  void OnExpired();
  void ReadRequests();
  bool ReadMore();
  // Counts what the connection holds of requests. Without room for it, refuses
  // the request that is being read, and returns false.
  bool CountHeld();
  void GiveRoomBack();
  // Counts what is left of answers that have ended.
  void CountUntaken(std::size_t bytes);
  void WatchPhase();
  void OnHead();
  void Dispatch();
  bool HasLeftMeanwhile(Duration age) const;
  bool IsSlow(Instant since) const;
  void WriteRefusal(int status, const Error& error);
  void Refuse(int status, const Error& error);
  void BeginLingering();
  void Discard();
  void CloseInOrder();
  void CloseWhenSent();
  // The answer is whole and sent.
  void PermitOrderlyClose();
  void OnDisconnected();

  ConnectionContext& context;
  std::unique_ptr<QTcpSocket> socket;
  const bool secure;
  RequestReader reader;
  DeadlineTimer timer;
  State state = State::kReading;
  RequestReader::Phase watched_phase = RequestReader::Phase::kDone;
  Instant watched_since{};
  std::weak_ptr<ServerResponder> responder;
  std::size_t discarded_bytes = 0;
  std::size_t answered_bytes = 0;  // of the request that is being answered
  std::size_t room = 0;            // taken from the budget
  std::size_t untaken_bytes = 0;   // of answers that have ended
  Instant left_since = kNever;
  bool shut_down = false;
  bool closes_with_reset = false;
  bool grace_given = false;  // in the watched phase
  // The request being read may have lain unread. One on a new connection may,
  // since it waited there before this process took the connection.
  bool may_be_late = true;
};

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_INTERNAL_SERVER_CONNECTION_H_
