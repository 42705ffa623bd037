#include <cppunit/extensions/HelperMacros.h>

#include <QTcpSocket>
#include <optional>
#include <string>
#include <variant>

#include "entry_process/tests/process_fixture.h"
#include "framework/http/tests/tls_files.h"
#include "framework/testing/story.h"

namespace acacialug::entry_process {
namespace {

using testing::HostTls;
using testing::It;
using testing::RawPeer;
using testing::WaitUntil;

std::string RequestText(const std::string& line,
                        const std::string& body,
                        const std::string& more_headers = {}) {
  return line +
         "\r\nHost: entry\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + more_headers + "\r\n" + body;
}

const testing::Story kConnections(
    "a caller's connection to an entry",
    {// Guards against one caller's tokens inside another answer: a client
     // pipelines a stream and a call, and the call is answered first because
     // requests of one connection are served concurrently.
     It("gets pipelined answers whole and in order, the slow one first",
        [] {
          std::optional<AttemptId> held;
          Fixture fixture(HoldDecode(held));
          RawPeer caller(fixture.process->port());
          caller.Send(RequestText("POST /v1/completions HTTP/1.1", kStreamed) +
                      RequestText("GET /services/app/second HTTP/1.1", "") +
                      RequestText("GET /services/app/third HTTP/1.1", ""));
          WaitUntil("the stream's start", [&] { return held.has_value(); });
          fixture.decode->Send(
              protocol::Chunk{.attempt = *held, .tokens = 1, .text = "first"});
          caller.Await("first");
          fixture.decode->Send(
              protocol::Ended{.attempt = *held, .chunks = SequenceNumber(1)});
          const std::string& all = caller.Await("GET /third");
          const std::size_t done = all.find("data: [DONE]\n\n\r\n0\r\n\r\n");
          CPPUNIT_ASSERT(all.find("first") < done);
          CPPUNIT_ASSERT(done < all.find("GET /second"));
          CPPUNIT_ASSERT(all.find("GET /second") < all.find("GET /third"));
          CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                               testing::CountOf(all, "HTTP/1.1 200 OK"));
        }),
     It("of HTTP/1.0 gets a stream without chunks, closed at its end",
        [] {
          Fixture fixture;
          RawPeer caller(fixture.process->port());
          caller.Send(RequestText("POST /v1/completions HTTP/1.0", kStreamed));
          const std::string& all = caller.AwaitClose();
          CPPUNIT_ASSERT(all.find("Transfer-Encoding") == std::string::npos);
          CPPUNIT_ASSERT(all.find("\r\n\r\ndata: {") != std::string::npos);
          CPPUNIT_ASSERT(all.ends_with("data: [DONE]\n\n"));
        }),
     It("that says close is closed after its answer",
        [] {
          Fixture fixture;
          RawPeer caller(fixture.process->port());
          caller.Send(RequestText("GET /services/app/x HTTP/1.1", "",
                                  "Connection: close\r\n"));
          CPPUNIT_ASSERT(caller.AwaitClose().ends_with("GET /x "));
        }),
     // Guards against engine memory held, and the entry's memory growing, for a
     // caller that has stopped reading: its socket's buffers fill, chunks are
     // no longer reported as delivered, and the agent's window closes. The
     // connection is cut when the caller has taken nothing for stall_timeout.
     It("that is not read is cut, and its engine freed",
        [] {
          constexpr std::uint64_t kWindow = 16;
          std::optional<AttemptId> held;
          Fixture fixture(HoldDecode(held), [](EntryProcessOptions& options) {
            options.core.stall_timeout = 1s;
            options.core.window_chunks = kWindow;
          });
          RawPeer caller(fixture.process->port());
          QObject::disconnect(caller.socket, &QTcpSocket::readyRead, nullptr,
                              nullptr);
          caller.socket->setReadBufferSize(1);
          caller.Send(RequestText("POST /v1/completions HTTP/1.1", kStreamed));
          WaitUntil("the stream's start", [&] { return held.has_value(); });
          std::uint64_t sent = 0;
          WaitUntil("a cancel", [&] {
            // An engine that keeps the window full, so that only the reader
            // stalls.
            while (sent < fixture.decode->acknowledged + kWindow) {
              fixture.decode->Send(
                  protocol::Chunk{.attempt = *held,
                                  .sequence = SequenceNumber(sent++),
                                  .tokens = 1,
                                  .text = std::string(1'000'000, 'x')});
            }
            return fixture.decode->CountReceived<protocol::Cancel>() > 0;
          });
          caller.socket->setReadBufferSize(0);
          CPPUNIT_ASSERT(caller.AwaitClose().find("[DONE]") ==
                         std::string::npos);
        }),
     It("under TLS serves the same, and a plain connection is not served",
        [] {
          Fixture fixture(
              {}, [](EntryProcessOptions& options) { options.tls = HostTls(); },
              HostTls());
          CPPUNIT_ASSERT_EQUAL(
              200, fixture.SendAndWait("POST", "/v1/chat/completions", kChat)
                       ->status);
          RawPeer plain(fixture.process->port());
          plain.Send(RequestText("GET /healthz HTTP/1.1", ""));
          CPPUNIT_ASSERT(plain.AwaitClose().find("HTTP") == std::string::npos);
        }),
     It("is refused beyond the limit, with a code, and accepted again later",
        [] {
          Fixture fixture({}, [](EntryProcessOptions& options) {
            options.limits.max_connections = 2;
          });
          {
            RawPeer first(fixture.process->port());
            RawPeer second(fixture.process->port());
            RawPeer third(fixture.process->port());
            CPPUNIT_ASSERT(third.AwaitClose().find("\"number\":1009") !=
                           std::string::npos);
          }
          WaitUntil("a free place", [&] {
            return fixture.SendAndWait("GET", "/healthz")->status == 200;
          });
        })});

}  // namespace
}  // namespace acacialug::entry_process
