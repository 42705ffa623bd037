#include "framework/http/turn_end.h"

#include <utility>

namespace acacialug::http {

TurnEnd::TurnEnd() {
  this->fallback.setSingleShot(true);
  QObject::connect(&this->fallback, &QTimer::timeout, &this->receiver,
                   [this] { this->OnEnd(); });
}

TurnEnd& TurnEnd::OfThisThread() {
  thread_local TurnEnd turn_end;
  return turn_end;
}

void TurnEnd::Run(QObject& context, std::function<void()> task) {
  this->tasks.push_back({.context = &context, .run = std::move(task)});
  this->Arm();
}

void TurnEnd::Flush(QTcpSocket& socket) {
  this->sockets.emplace_back(&socket);
  this->Arm();
}

void TurnEnd::Arm() {
  // A thread's event loop may end and another one follow.
  QAbstractEventDispatcher* const current =
      QAbstractEventDispatcher::instance();
  if (current != nullptr && this->dispatcher != current) {
    this->dispatcher = current;
    QObject::connect(current, &QAbstractEventDispatcher::aboutToBlock,
                     &this->receiver, [this] { this->OnEnd(); });
  }
  if (!this->fallback.isActive()) {
    this->fallback.start(0);
  }
}

void TurnEnd::OnEnd() {
  if (this->tasks.empty() && this->sockets.empty()) {
    return;
  }
  this->fallback.stop();
  const Sockets written_before = std::exchange(this->sockets, {});
  for (const Task& task : std::exchange(this->tasks, {})) {
    if (task.context) {
      task.run();
    }
  }
  FlushAll(std::exchange(this->sockets, {}));
  FlushAll(written_before);
}

void TurnEnd::FlushAll(const Sockets& sockets) {
  for (const QPointer<QTcpSocket>& socket : sockets) {
    if (socket && socket->state() != QAbstractSocket::UnconnectedState) {
      socket->flush();
    }
  }
}

void WriteInTurn(QTcpSocket& socket, std::string_view bytes) {
  const bool first = socket.bytesToWrite() == 0;
  socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
  if (first) {
    TurnEnd::OfThisThread().Flush(socket);
  }
}

}  // namespace acacialug::http
