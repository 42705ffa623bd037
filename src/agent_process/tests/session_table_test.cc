#include "agent_process/internal/session_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include "framework/testing/story.h"
#include "protocol/message_codec.h"

namespace acacialug::agent_process {
namespace {

using testing::It;

// A channel that records its calls, and closes or refuses on demand.
class FakeChannel : public net::FrameChannel {
 public:
  Hooks hooks;
  std::vector<std::string> sent;
  bool is_open = true;
  std::size_t largest = 1000;

  void SetHooks(Hooks new_hooks) override { this->hooks = new_hooks; }
  bool Send(std::string_view payload) override {
    if (!this->is_open || payload.size() > this->largest) {
      return false;
    }
    this->sent.emplace_back(payload);
    return true;
  }
  void Close() override { this->is_open = false; }
  bool open() const override { return this->is_open; }
  std::size_t unsent_bytes() const override { return 7; }
  std::uint64_t bytes_sent() const override { return 0; }
  std::uint64_t bytes_received() const override { return 0; }
};

struct Fixture {
  std::vector<std::string> calls;
  ProcessCounters counters;
  SessionTable table{
      {.on_opened = [this](auto) { this->calls.emplace_back("opened"); },
       .on_message =
           [this](auto, const auto&) { this->calls.emplace_back("message"); },
       .on_closed = [this](auto) { this->calls.emplace_back("closed"); }},
      this->counters};
  std::shared_ptr<FakeChannel> channel = std::make_shared<FakeChannel>();
  agent::SessionId session{1};

  Fixture() { this->table.Add(this->channel); }
};

const AttemptId kAttempt{.request = {.high = 1}};

const testing::Story kSessions(
    "the sessions of an agent",
    {It("pass on decoded messages, and know the entry by its Hello",
        [] {
          Fixture fixture;
          fixture.channel->hooks.on_frame(protocol::Encode(
              protocol::EntryToAgent(protocol::Hello{.entry = EntryId("e")})));
          CPPUNIT_ASSERT(fixture.calls ==
                         (std::vector<std::string>{"opened", "message"}));
          CPPUNIT_ASSERT(fixture.table.List()[0].entry == EntryId("e"));
        }),
     It("end only the connection that sent an invalid message",
        [] {
          Fixture fixture;
          const auto other = std::make_shared<FakeChannel>();
          fixture.table.Add(other);
          fixture.channel->hooks.on_frame("garbage");
          CPPUNIT_ASSERT(!fixture.channel->open() && other->open());
          CPPUNIT_ASSERT_EQUAL(std::string("closed"), fixture.calls.back());
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.counters.bad_frames);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.table.List().size());
        }),
     It("report a lost connection once",
        [] {
          Fixture fixture;
          const auto on_closed = fixture.channel->hooks.on_closed;
          on_closed(Error(ResultCode::kConnectionLost));
          on_closed(Error(ResultCode::kConnectionLost));
          CPPUNIT_ASSERT(fixture.calls ==
                         (std::vector<std::string>{"opened", "closed"}));
          fixture.table.Send(fixture.session, protocol::Leaving{});
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                               fixture.counters.frames_not_sent);
        }),
     It("are ended by the agent without a report to it",
        [] {
          Fixture fixture;
          fixture.table.Close(fixture.session, ResultCode::kHeartbeatLost);
          CPPUNIT_ASSERT(!fixture.channel->open());
          CPPUNIT_ASSERT(fixture.calls == std::vector<std::string>{"opened"});
        }),
     It("send a failure in place of an answer too large for a frame", [] {
       // Guards against a call whose answer never arrives: a service answers
       // with more than a frame may hold, and the frame is dropped.
       Fixture fixture;
       fixture.table.Send(
           fixture.session,
           protocol::CallAnswered{
               .attempt = kAttempt,
               .answer = {.status = 200, .body = std::string(2000, 'x')}});
       CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.channel->sent.size());
       const auto sent = protocol::DecodeAgentToEntry(fixture.channel->sent[0]);
       const auto& failed = std::get<protocol::Failed>(*sent);
       CPPUNIT_ASSERT(failed.attempt == kAttempt);
       CPPUNIT_ASSERT(failed.outcome == protocol::Outcome::kUnknown);
       CPPUNIT_ASSERT(failed.code == ResultCode::kFrameTooLarge);
     })});

}  // namespace
}  // namespace acacialug::agent_process
