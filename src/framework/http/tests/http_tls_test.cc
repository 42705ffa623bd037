#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <optional>

#include "framework/http/http_client.h"
#include "framework/http/http_server.h"
#include "framework/http/tests/socket_support.h"
#include "framework/http/tests/tls_files.h"
#include "framework/testing/story.h"

namespace acacialug::http {
namespace {

using testing::BadFilesRow;
using testing::ForEach;
using testing::HostTls;
using testing::It;
using testing::Section;
using testing::StrangerTls;
using testing::TlsFile;
using testing::WaitUntil;

constexpr std::size_t kBodyBytes = 1'000'000;

ServerOptions EchoServer(const TlsFiles& tls) {
  return {.listen = {.ip = "127.0.0.1"},
          .tls = tls,
          .make_handler = [](int) -> RequestHandler {
            return [](const Request& request, const ResponderPtr& responder) {
              responder->BeginStream(200, {});
              responder->SendData(request.body);
              responder->EndStream();
            };
          }};
}

struct Outcome {
  std::optional<std::string> body;
  std::optional<Error> error;
  bool sent = true;
};

Outcome Exchange(Client& client, std::uint16_t port) {
  Outcome outcome;
  client.Send(
      {.ip = "127.0.0.1", .port = port},
      {.method = "POST", .target = "/", .body = std::string(kBodyBytes, 'a')},
      {.on_end = [&](const std::string& body) { outcome.body = body; },
       .on_error =
           [&](const Error& error, bool sent) {
             outcome.error = error;
             outcome.sent = sent;
           }});
  WaitUntil("the end", [&] { return outcome.body || outcome.error; });
  return outcome;
}

struct PeersRow {
  std::string name;
  TlsFiles server;
  TlsFiles client;
  bool good;
};

TlsFiles WithoutAuthority(TlsFiles files) {
  files.authority_file.clear();
  return files;
}

const Section kPeers = ForEach<PeersRow>(
    "between",
    {{"hosts that check each other passes", HostTls(), HostTls(), true},
     {"a host and a caller that checks it passes", WithoutAuthority(HostTls()),
      HostTls(), true},
     {"a host and a stranger fails", HostTls(), StrangerTls(), false},
     {"a stranger and a caller that checks it fails", StrangerTls(), HostTls(),
      false},
     {"a host and plain text fails", HostTls(), {}, false},
     {"plain text and TLS fails", {}, HostTls(), false}},
    [](const PeersRow& row) { return row.name; },
    [](const PeersRow& row) {
      Server server(EchoServer(row.server));
      CPPUNIT_ASSERT(server.Start().ok());
      Client client(
          {.connect_timeout = testing::kHangLimit, .tls = row.client});
      for (int round = 0; round < 2; ++round) {
        const Outcome outcome = Exchange(client, server.port());
        CPPUNIT_ASSERT_EQUAL(row.good, outcome.body.has_value());
        CPPUNIT_ASSERT(!row.good || outcome.body->size() == kBodyBytes);
      }
      const std::size_t kept = row.good ? 1 : 0;  // the second round's reuse
      WaitUntil("the connections kept",
                [&] { return server.open_connections() == kept; });
    });

void ReloadTakesNewFiles() {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() /
      ("acacialug-tls-" + std::to_string(QCoreApplication::applicationPid()));
  std::filesystem::create_directories(folder);
  const TlsFiles files{.certificate_file = folder / "certificate",
                       .key_file = folder / "key"};
  const auto install = [&](const std::string& name) {
    for (const auto& [from, to] :
         {std::pair(name + ".pem", files.certificate_file),
          std::pair(name + ".key", files.key_file)}) {
      std::filesystem::copy_file(
          TlsFile(from), to, std::filesystem::copy_options::overwrite_existing);
    }
  };
  install("stranger");
  Server server(EchoServer(files));
  CPPUNIT_ASSERT(server.Start().ok());
  Client client({.connect_timeout = testing::kHangLimit, .tls = HostTls()});
  const Outcome before = Exchange(client, server.port());
  CPPUNIT_ASSERT(before.error->code == ResultCode::kUnauthenticatedPeer);
  CPPUNIT_ASSERT(!before.sent);
  install("host");
  CPPUNIT_ASSERT(server.ReloadTls().ok());
  CPPUNIT_ASSERT(Exchange(client, server.port()).body.has_value());
  std::filesystem::remove(files.key_file);
  const Status failed = server.ReloadTls();
  CPPUNIT_ASSERT(failed.error().code == ResultCode::kCertificateInvalid);
  Client other({.connect_timeout = testing::kHangLimit, .tls = HostTls()});
  CPPUNIT_ASSERT(Exchange(other, server.port()).body.has_value());
  std::filesystem::remove_all(folder);
}

const testing::Story kTls(
    "HTTP over TLS",
    {kPeers,
     ForEach<BadFilesRow>(
         "cannot begin with",
         testing::BadTlsFiles(),
         [](const BadFilesRow& row) { return row.name; },
         [](const BadFilesRow& row) {
           Server server(EchoServer(row.files));
           const Status status = server.Start();
           CPPUNIT_ASSERT(status.error().code ==
                          ResultCode::kCertificateInvalid);
           Client client({.tls = row.files});
           const Outcome outcome = Exchange(client, 1);
           CPPUNIT_ASSERT(outcome.error->code ==
                          ResultCode::kCertificateInvalid);
           CPPUNIT_ASSERT(!outcome.sent);
         }),
     It("takes new files on reload and keeps the old ones if they are bad",
        ReloadTakesNewFiles)});

}  // namespace
}  // namespace acacialug::http
