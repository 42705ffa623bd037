#include "framework/http/turn_end.h"

#include <cppunit/extensions/HelperMacros.h>

#include <QAbstractEventDispatcher>
#include <QCoreApplication>
#include <QEventLoop>
#include <memory>
#include <string>
#include <vector>

#include "framework/http/tests/socket_support.h"
#include "framework/testing/story.h"

namespace acacialug::http {
namespace {

using testing::It;
using testing::RawPeer;
using testing::RawServer;
using testing::WaitUntil;

// Two ends of one connection.
struct Connection {
  RawServer server;
  QTcpSocket socket;
  std::unique_ptr<RawPeer> peer;

  Connection() {
    this->socket.connectToHost(QHostAddress::LocalHost, this->server.port());
    CPPUNIT_ASSERT(this->socket.waitForConnected());
    this->peer = this->server.Accept();
  }
};

void RunTurns(int turns, QEventLoop::ProcessEventsFlags flags) {
  for (int turn = 0; turn < turns; ++turn) {
    QCoreApplication::processEvents(flags);
  }
}

void WritesLeaveTogetherBeforeTheLoopWaits() {
  Connection connection;
  QTcpSocket& socket = connection.socket;
  std::vector<qint64> writes;
  QObject::connect(&socket, &QTcpSocket::bytesWritten, &socket,
                   [&](qint64 bytes) { writes.push_back(bytes); });
  qint64 left = -1;
  QObject context;
  QTimer::singleShot(0, &context, [&] {
    WriteInTurn(socket, "one ");
    WriteInTurn(socket, "two ");
    WriteInTurn(socket, "three");
    QObject::connect(QAbstractEventDispatcher::instance(),
                     &QAbstractEventDispatcher::aboutToBlock, &context,
                     [&] { left = left < 0 ? socket.bytesToWrite() : left; });
  });
  connection.peer->Await("one two three");
  CPPUNIT_ASSERT_EQUAL(qint64{0}, left);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, writes.size());
}

void TasksRunOnceInOrder() {
  QObject context;
  std::string run;
  TurnEnd& turn_end = TurnEnd::OfThisThread();
  turn_end.Run(context, [&] {
    run += "a";
    turn_end.Run(context, [&] { run += "c"; });
  });
  turn_end.Run(context, [&] { run += "b"; });
  CPPUNIT_ASSERT_EQUAL(std::string(), run);
  WaitUntil("the task's own task", [&] { return run.size() >= 3; });
  RunTurns(10, QEventLoop::AllEvents);
  CPPUNIT_ASSERT_EQUAL(std::string("abc"), run);
}

void TasksWriteInTheSameTurn() {
  Connection connection;
  QObject context;
  TurnEnd::OfThisThread().Run(context,
                              [&] { WriteInTurn(connection.socket, "told"); });
  WaitUntil("the task's write",
            [&] { return connection.socket.bytesToWrite() == 0; });
  connection.peer->Await("told");
}

void WhatTasksWroteLeavesFirst() {
  // A first token waits behind nothing that can wait as well: the write of a
  // frame wakes its reader, which may take the processor.
  Connection frames;
  Connection answers;
  std::string order;
  QObject::connect(&frames.socket, &QTcpSocket::bytesWritten, &frames.socket,
                   [&] { order += "frame "; });
  QObject::connect(&answers.socket, &QTcpSocket::bytesWritten, &answers.socket,
                   [&] { order += "answer "; });
  QObject context;
  WriteInTurn(frames.socket, "frame");
  TurnEnd::OfThisThread().Run(context,
                              [&] { WriteInTurn(answers.socket, "answer"); });
  frames.peer->Await("frame");
  answers.peer->Await("answer");
  CPPUNIT_ASSERT_EQUAL(std::string("answer frame "), order);
}

void LoopThatNeverWaitsStillEndsItsTurns() {
  // Symptom: an answer that never leaves. Sequence: another task is always
  // posted, so that the loop never waits. Cause: the end of a turn is told
  // only by a loop that is about to wait.
  QObject context;
  bool run = false;
  TurnEnd::OfThisThread().Run(context, [&] { run = true; });
  RunTurns(10, QEventLoop::AllEvents);
  CPPUNIT_ASSERT(run);
}

void WhatIsGoneIsLeftOut() {
  // Symptom: a crash. Sequence: a request's owner, or the connection, goes in
  // the turn that put something off for it. Cause: it is used all the same.
  bool run = false;
  {
    Connection connection;
    QObject context;
    TurnEnd::OfThisThread().Run(context, [&] { run = true; });
    WriteInTurn(connection.socket, "for nobody");
  }
  RunTurns(10, QEventLoop::AllEvents);
  CPPUNIT_ASSERT(!run);
}

void ConnectionThatClosesStillSends() {
  Connection connection;
  WriteInTurn(connection.socket, "farewell");
  connection.socket.disconnectFromHost();
  connection.peer->AwaitClose();
  CPPUNIT_ASSERT_EQUAL(std::string("farewell"), connection.peer->received);
}

const testing::Story kStory(
    "the end of an event loop's turn",
    {
        It("sends what a turn wrote in one piece, before the loop waits",
           WritesLeaveTogetherBeforeTheLoopWaits),
        It("runs each task once and in order", TasksRunOnceInOrder),
        It("sends what a task wrote", TasksWriteInTheSameTurn),
        It("sends what its tasks wrote before the rest",
           WhatTasksWroteLeavesFirst),
        It("comes in a loop that never waits",
           LoopThatNeverWaitsStillEndsItsTurns),
        It("leaves out what is gone by then", WhatIsGoneIsLeftOut),
        It("does not hold up a connection that closes",
           ConnectionThatClosesStillSends),
    });

}  // namespace
}  // namespace acacialug::http
