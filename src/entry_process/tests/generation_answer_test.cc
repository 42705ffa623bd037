#include "entry_process/internal/generation_answer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

#include "entry_process/tests/fake_responder.h"
#include "framework/testing/story.h"

namespace acacialug::entry_process {
namespace {

using protocol::FinishReason;
using testing::It;

struct Fixture {
  std::shared_ptr<FakeResponder> caller = std::make_shared<FakeResponder>();
  std::vector<std::uint64_t> delivered;
  std::unique_ptr<GenerationAnswer> answer;

  explicit Fixture(bool stream) {
    this->answer = std::make_unique<GenerationAnswer>(
        this->caller,
        GenerationAnswer::Options{
            .renderer = {.api = protocol::GenerationApi::kChat,
                         .model = ModelName("m")},
            .stream = stream,
            .identity = {{"X-Request-Id", "id"}},
            .limits = {.max_whole_bytes = 8, .max_unsent_bytes = 100},
            .on_delivered = [this](std::uint64_t index) {
              this->delivered.push_back(index);
            }});
  }
};

const ErrorAnswer kLost{.code = ResultCode::kEndpointLost,
                        .outcome = protocol::Outcome::kUnknown};

const testing::Story kStreamed(
    "a streamed generation",
    {It("writes the texts of one turn at once, then reports them",
        [] {
          Fixture fixture(true);
          CPPUNIT_ASSERT(fixture.answer->AddText(0, "a"));
          CPPUNIT_ASSERT(fixture.answer->AddText(1, "b"));
          CPPUNIT_ASSERT(!fixture.caller->stream_head);
          fixture.answer->Flush();
          CPPUNIT_ASSERT_EQUAL(1, fixture.caller->writes);
          CPPUNIT_ASSERT(fixture.caller->data.find("\"role\"") <
                         fixture.caller->data.find("\"a\""));
          CPPUNIT_ASSERT(fixture.delivered == std::vector<std::uint64_t>{1});
          CPPUNIT_ASSERT_EQUAL(
              std::string("id"),
              std::string(*http::FindHeader(
                  fixture.caller->stream_head->headers, "x-request-id")));
        }),
     It("ends with the texts not yet written and [DONE]",
        [] {
          Fixture fixture(true);
          fixture.answer->AddText(0, "a");
          fixture.answer->End(FinishReason::kStop, {});
          CPPUNIT_ASSERT(fixture.caller->ended && !fixture.caller->aborted);
          CPPUNIT_ASSERT(fixture.caller->data.find("\"a\"") !=
                         std::string::npos);
          CPPUNIT_ASSERT(fixture.caller->data.ends_with("data: [DONE]\n\n"));
        }),
     // Guards against memory that grows with one caller: the caller stops
     // reading while the engine continues, and chunks are acknowledged when
     // they are written instead of when they are read.
     It("reports nothing delivered while its caller does not read",
        [] {
          Fixture fixture(true);
          fixture.caller->unsent = 101;
          fixture.answer->AddText(0, "a");
          fixture.answer->Flush();
          CPPUNIT_ASSERT(fixture.delivered.empty());
          fixture.caller->Drain();
          CPPUNIT_ASSERT(fixture.delivered == std::vector<std::uint64_t>{0});
        }),
     It("leaves no hook behind when it ends before its caller has read",
        [] {
          Fixture fixture(true);
          fixture.caller->unsent = 101;
          fixture.answer->AddText(0, "a");
          fixture.answer->Flush();
          fixture.answer.reset();
          fixture.caller->Drain();
          CPPUNIT_ASSERT(fixture.delivered.empty());
        }),
     It("that fails before any text is an HTTP error",
        [] {
          Fixture fixture(true);
          fixture.answer->Fail(kLost);
          CPPUNIT_ASSERT(!fixture.caller->stream_head);
          CPPUNIT_ASSERT_EQUAL(502, fixture.caller->whole->status);
          CPPUNIT_ASSERT(
              http::FindHeader(fixture.caller->whole->headers, "X-Request-Id"));
        }),
     // Guards against half an embargo check taken for a whole one: the endpoint
     // is lost in mid-stream, no other endpoint can continue, and the stream is
     // ended as if it were complete.
     It("that fails later has an error event and is cut, never ended",
        [] {
          Fixture fixture(true);
          fixture.answer->AddText(0, "a");
          fixture.answer->Flush();
          fixture.caller->unsent = 10;
          fixture.answer->Fail(kLost);
          fixture.answer.reset();
          const std::string& data = fixture.caller->data;
          CPPUNIT_ASSERT(data.find("\"number\":3003") != std::string::npos);
          CPPUNIT_ASSERT(data.find("[DONE]") == std::string::npos);
          CPPUNIT_ASSERT(!fixture.caller->ended && !fixture.caller->aborted);
          fixture.caller->Drain();
          CPPUNIT_ASSERT(fixture.caller->aborted);
        }),
     It("that fails when all is read is cut at once", [] {
       Fixture fixture(true);
       fixture.answer->AddText(0, "a");
       fixture.answer->Fail(kLost);
       CPPUNIT_ASSERT(fixture.caller->aborted && !fixture.caller->ended);
     })});

const testing::Story kWhole(
    "a whole generation",
    {It("collects, reporting each chunk as delivered, and answers once",
        [] {
          Fixture fixture(false);
          fixture.answer->AddText(0, "abc");
          fixture.answer->Flush();
          CPPUNIT_ASSERT(fixture.delivered == std::vector<std::uint64_t>{0});
          CPPUNIT_ASSERT(!fixture.caller->whole && fixture.caller->writes == 0);
          fixture.answer->AddText(1, "d");
          fixture.answer->End(FinishReason::kStop, {});
          CPPUNIT_ASSERT(fixture.caller->whole->body.find("\"abcd\"") !=
                         std::string::npos);
        }),
     It("refuses a chunk beyond its bound",
        [] {
          Fixture fixture(false);
          CPPUNIT_ASSERT(fixture.answer->AddText(0, "12345678"));
          CPPUNIT_ASSERT(!fixture.answer->AddText(1, "9"));
        }),
     It("that fails after some text is still an HTTP error", [] {
       Fixture fixture(false);
       fixture.answer->AddText(0, "abc");
       fixture.answer->Fail(kLost);
       CPPUNIT_ASSERT_EQUAL(502, fixture.caller->whole->status);
       CPPUNIT_ASSERT(fixture.caller->whole->body.find("abc") ==
                      std::string::npos);
     })});

}  // namespace
}  // namespace acacialug::entry_process
