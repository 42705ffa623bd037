#ifndef FRAMEWORK_HTTP_TURN_END_H_
#define FRAMEWORK_HTTP_TURN_END_H_

#include <QAbstractEventDispatcher>
#include <QObject>
#include <QPointer>
#include <QTcpSocket>
#include <QTimer>
#include <functional>
#include <string_view>
#include <vector>

namespace acacialug::http {

// The end of the turn that a thread's Qt event loop is in: what was readable
// has been read, and the loop is about to wait. Work put off until then runs
// once for all that the turn brought.
//
// Left to itself Qt writes a buffered socket only after another turn (it asks
// the operating system first whether the socket can be written), and a queued
// call wakes the very loop that made it: each costs a message two to four
// calls of the operating system, and a turn's delay, in every process that it
// passes.
//
// One a thread; use it on that thread only.
class TurnEnd {
 public:
  // Precondition: the thread has, or will have, a Qt event loop.
  static TurnEnd& OfThisThread();

  TurnEnd(const TurnEnd&) = delete;
  TurnEnd& operator=(const TurnEnd&) = delete;

  // Runs `task` once at the end of this turn, after those put off before it;
  // never if `context` is destroyed by then. A task put off while tasks run
  // belongs to the next turn.
  void Run(QObject& context, std::function<void()> task);

  // Writes what is queued on the socket at the end of this turn: first the
  // sockets that its tasks wrote, which a caller waits for, then those written
  // before. What the operating system does not take then follows when it can.
  void Flush(QTcpSocket& socket);

 private:
  struct Task {
    QPointer<QObject> context;
    std::function<void()> run;
  };

  using Sockets = std::vector<QPointer<QTcpSocket>>;

  TurnEnd();

  void Arm();
  void OnEnd();
  static void FlushAll(const Sockets& sockets);

  std::vector<Task> tasks;
  Sockets sockets;
  QPointer<QAbstractEventDispatcher> dispatcher;
  QObject receiver;
  // For a turn that ends without waiting, which no signal tells.
  QTimer fallback;
};

// Queues bytes on a socket that are to leave at the end of this turn.
void WriteInTurn(QTcpSocket& socket, std::string_view bytes);

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_TURN_END_H_
