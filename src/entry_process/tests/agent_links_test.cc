#include "entry_process/internal/agent_links.h"

#include <cppunit/extensions/HelperMacros.h>

#include <QCoreApplication>
#include <QTimer>
#include <memory>
#include <vector>

#include "entry_process/internal/claims_log.h"
#include "entry_process/tests/fake_log.h"
#include "framework/testing/story.h"
#include "protocol/message_codec.h"

namespace acacialug::entry_process {
namespace {

using testing::ForEach;
using testing::It;

// A channel whose other end is the test.
class FakeChannel : public net::FrameChannel {
 public:
  explicit FakeChannel(Hooks channel_hooks) : hooks(std::move(channel_hooks)) {}

  void SetHooks(Hooks channel_hooks) override {
    this->hooks = std::move(channel_hooks);
  }
  bool Send(std::string_view payload) override {
    this->sent.emplace_back(payload);
    return true;
  }
  void Close() override { this->closed = true; }
  bool open() const override { return !this->closed; }
  std::size_t unsent_bytes() const override { return 0; }
  std::uint64_t bytes_sent() const override { return 0; }
  std::uint64_t bytes_received() const override { return 0; }

  Hooks hooks;
  std::vector<std::string> sent;
  bool closed = false;
};

const EndpointId kFirst("e-1");
const EndpointId kSecond("e-2");

struct Fixture {
  std::vector<std::shared_ptr<FakeChannel>> channels;
  int connected = 0;
  std::vector<std::pair<EndpointId, ResultCode>> closed;
  int messages = 0;
  AgentLinks links{
      {.connect =
           [this](const http::Address&,
                  const net::ChannelOptions&,
                  net::FrameChannel::Hooks hooks) {
             this->channels.push_back(
                 std::make_shared<FakeChannel>(std::move(hooks)));
             return this->channels.back();
           },
       .on_connected = [this](const EndpointId&) { ++this->connected; },
       .on_closed =
           [this](const EndpointId& endpoint, const Error& error) {
             this->closed.emplace_back(endpoint, error.result_code());
           },
       .on_message = [this](
                         const EndpointId&,
                         const protocol::AgentToEntry&) { ++this->messages; }}};

  ~Fixture() { QCoreApplication::processEvents(); }

  void Connect(const EndpointId& endpoint) {
    this->links.Connect(endpoint, {.ip = "127.0.0.1", .port = 1});
  }
};

const std::string kGoodFrame = protocol::Encode(
    protocol::AgentToEntry(protocol::Renewed{.manifest = LogOffset(3)}));

const testing::Story kLinks(
    "the links to agents",
    {ForEach<std::string>(
         "end only the connection that brought a bad frame:",
         {"", "x", std::string(64, '\xff'), kGoodFrame + "y",
          kGoodFrame.substr(0, kGoodFrame.size() - 1)},
         [](const std::string& frame) {
           return std::to_string(frame.size()) + " bytes";
         },
         [](const std::string& frame) {
           Fixture fixture;
           fixture.Connect(kFirst);
           fixture.Connect(kSecond);
           fixture.channels[0]->hooks.on_frame(frame);
           CPPUNIT_ASSERT(fixture.closed.size() == 1);
           CPPUNIT_ASSERT(fixture.closed[0].first == kFirst);
           CPPUNIT_ASSERT(fixture.closed[0].second == ResultCode::kBadFrame);
           CPPUNIT_ASSERT(fixture.channels[0]->closed);
           CPPUNIT_ASSERT(!fixture.channels[1]->closed);
           fixture.channels[1]->hooks.on_frame(kGoodFrame);
           CPPUNIT_ASSERT_EQUAL(1, fixture.messages);
         }),
     It("report once that a connection is lost, and drop its later messages",
        [] {
          Fixture fixture;
          fixture.Connect(kFirst);
          fixture.channels[0]->hooks.on_open();
          fixture.channels[0]->hooks.on_closed(
              Error(ResultCode::kConnectionLost));
          fixture.channels[0]->hooks.on_closed(
              Error(ResultCode::kConnectionLost));
          fixture.channels[0]->hooks.on_frame(kGoodFrame);
          CPPUNIT_ASSERT_EQUAL(1, fixture.connected);
          CPPUNIT_ASSERT(fixture.closed.size() == 1 && fixture.messages == 0);
        }),
     // Guards against a healthy connection being treated as lost when an
     // endpoint reconnects and the end of its old connection is reported after
     // that. It happens if connections are identified by endpoint alone.
     It("distinguish an old connection of an endpoint from its new one",
        [] {
          Fixture fixture;
          fixture.Connect(kFirst);
          fixture.Connect(kFirst);
          CPPUNIT_ASSERT(fixture.channels[0]->closed);
          fixture.channels[0]->hooks.on_closed(
              Error(ResultCode::kConnectionLost));
          fixture.channels[0]->hooks.on_frame(kGoodFrame);
          CPPUNIT_ASSERT(fixture.closed.empty() && fixture.messages == 0);
          fixture.links.Send(kFirst, protocol::Renew{});
          CPPUNIT_ASSERT(fixture.channels[0]->sent.empty());
          CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                               fixture.channels[1]->sent.size());
        }),
     It("drop messages to an endpoint without a connection", [] {
       Fixture fixture;
       fixture.links.Send(kFirst, protocol::Renew{});
       fixture.links.Drop(kFirst);
       fixture.Connect(kFirst);
       fixture.links.Drop(kFirst);
       CPPUNIT_ASSERT(fixture.channels[0]->closed && fixture.closed.empty());
     })});

struct AppendRow {
  std::string name;
  Result<LogOffset> result;
  entry::AppendOutcome outcome;
};

const testing::Story kClaims(
    "the claims on the log",
    {ForEach<AppendRow>(
         "are not appended only when the log says so:",
         {{"appended", LogOffset(9), entry::AppendOutcome::kAppended},
          {"refused", Error(ResultCode::kPlatformUnavailable),
           entry::AppendOutcome::kNotAppended},
          {"lost answer", Error(ResultCode::kAppendUnresolved),
           entry::AppendOutcome::kUnresolved},
          {"odd answer", Error(ResultCode::kPlatformBadAnswer),
           entry::AppendOutcome::kUnresolved}},
         [](const AppendRow& row) { return row.name; },
         [](const AppendRow& row) {
           auto log = std::make_unique<FakeLog>();
           FakeLog& fake = *log;
           entry::ClaimsAppended reported;
           ClaimsLog claims(
               std::move(log),
               {.on_appended = [&](const entry::ClaimsAppended& appended) {
                 reported = appended;
               }});
           claims.Append({.ticket = entry::LogTicket(4)});
           fake.append_done(row.result);
           CPPUNIT_ASSERT(reported.ticket == entry::LogTicket(4));
           CPPUNIT_ASSERT(reported.outcome == row.outcome);
           CPPUNIT_ASSERT(row.outcome != entry::AppendOutcome::kAppended ||
                          reported.offset == LogOffset(9));
         }),
     It("are read with the log's bounds, or reported as unreachable",
        [] {
          auto log = std::make_unique<FakeLog>();
          FakeLog& fake = *log;
          entry::ClaimsRead reported;
          ClaimsLog claims(std::move(log),
                           {.on_read = [&](const entry::ClaimsRead& read) {
                             reported = read;
                           }});
          claims.Read({.ticket = entry::LogTicket(1)});
          fake.read_done(cluster::ILog::Read{
              .first_kept = LogOffset(2),
              .next = LogOffset(4),
              .records = {{.offset = LogOffset(3), .payload = "p"}}});
          CPPUNIT_ASSERT(reported.reachable && reported.next == LogOffset(4));
          CPPUNIT_ASSERT_EQUAL(std::string("p"),
                               reported.records.at(0).payload);
          claims.Read({.ticket = entry::LogTicket(2)});
          fake.read_done(Error(ResultCode::kPlatformUnavailable));
          CPPUNIT_ASSERT(!reported.reachable &&
                         reported.ticket == entry::LogTicket(2));
        }),
     It("are not appended without a log, and this is reported later", [] {
       std::vector<entry::AppendOutcome> reported;
       ClaimsLog claims(
           nullptr, {.on_appended = [&](const entry::ClaimsAppended& appended) {
             reported.push_back(appended.outcome);
           }});
       claims.Append({});
       CPPUNIT_ASSERT(reported.empty());
       QCoreApplication::processEvents();
       CPPUNIT_ASSERT(reported == std::vector<entry::AppendOutcome>{
                                      entry::AppendOutcome::kNotAppended});
     })});

}  // namespace
}  // namespace acacialug::entry_process
