#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "framework/testing/story.h"
#include "gateway/tests/gateway_simulation.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::ForEach;
using acacialug::testing::It;
using testing::Answer;
using testing::Call;
using testing::GatewaySimulation;
using testing::HeaderOf;

constexpr std::string_view kFirstEvent = "id: 0\ndata: x\n\n";

// What a stream without length or chunks sends after its first event, before
// its endpoint closes the connection in order.
struct EndCase {
  std::string name;
  std::string bytes;
  bool whole = false;
};

const std::vector<EndCase> kEnds = {
    {"after an event", "", true},
    {"after an event with CRLF", "id: 1\r\ndata: x\r\n\r\n", true},
    {"after one more empty line", "\n", true},
    {"inside an event", "id: 1\nda"},
    {"inside a UTF-8 sequence", "id: 1\ndata: \xd0"},
    {"after the last field of an event", "id: 1\ndata: x\n"},
    {"inside the empty line of an event with CRLF", "id: 1\r\ndata: x\r\n\r"},
    {"after a comment", ": alive\n"}};

// A stream whose endpoint has sent one event. `started_at`: of its endpoints,
// by their records; 0: not stated.
struct Stream : GatewaySimulation {
  explicit Stream(const std::string& path, std::int64_t started_at = 0) {
    this->Configure();
    this->AddEndpoint("f1", "model", EndpointRole::kPrefill);
    for (const std::string id : {"d1", "d2"}) {
      this->AddEndpoint(id, "model", EndpointRole::kDecode);
      if (started_at != 0) {
        this->Restart(id, started_at);
      }
    }
    this->sent_at = this->now;
    this->answer = this->SendRequest(path, "r1");
    this->decode = this->AdvanceToDecode();
  }

  void SendFirstEvent(bool unframed) {
    this->Begin(this->decode, unframed);
    this->decode->hooks.on_data(kFirstEvent);
  }

  // The endpoint that has the stream.
  std::string DecodeName() const {
    return this->decode->address == this->addresses.at("d1") ? "d1" : "d2";
  }

  // The endpoint ends the stream's connection, and says that it serves.
  void EndServing(const std::shared_ptr<Call>& call) {
    this->End(call);
    this->AdvanceBy(1ms);
    this->Reply(this->FindAt("", "/report"), 200, {}, "no runs");
  }

  // The endpoint is asked so often, and each exchange breaks, before or after
  // the question was sent.
  void FailReports(const std::vector<bool>& sent) {
    for (const bool was_sent : sent) {
      this->Break(this->FindAt("", "/report"), was_sent);
      this->AdvanceBy(20ms);
    }
  }

  Instant sent_at;  // its time limit is 14 s
  std::shared_ptr<Answer> answer;
  std::shared_ptr<Call> decode;
};

// What the endpoint of a stream that ended after an event does when it is
// asked.
struct StateCase {
  std::string name;
  std::function<void(Stream& stream, const std::shared_ptr<Call>& report)> act;
  bool ended = false;
};

const std::vector<StateCase> kStates = {
    {"takes no connection",
     [](Stream& stream, const auto&) {
       stream.FailReports({false, false});
     },
     true},
    {"resets a connection that it took, and then takes none",
     [](Stream& stream, const auto&) {
       stream.FailReports({true, false, false});
     },
     true},
    {"resets connections that are too many, and then answers",
     [](Stream& stream, const auto&) {
       stream.FailReports({false, true, false});
       stream.AdvanceBy(160ms);
       stream.Reply(stream.FindAt("", "/report"), 200, {}, "no runs");
     }},
    {"closes each connection that it takes",
     [](Stream& stream, const auto&) {
       while (const auto report = stream.FindAt("", "/report")) {
         CPPUNIT_ASSERT(!stream.answer->ended);
         stream.Break(report, true);
         stream.AdvanceBy(161ms);
       }
     },
     true},
    {"is away behind a proxy",
     [](Stream& stream, const auto&) {
       const std::vector<std::pair<int, std::string>> answers = {
           {502, ""}, {503, ""}, {404, ""}, {200, "<html>"}, {500, ""}};
       for (std::size_t asked = 0; stream.FindAt("", "/report"); ++asked) {
         CPPUNIT_ASSERT(!stream.answer->ended);
         const auto& [status, body] = answers[asked % answers.size()];
         stream.Reply(stream.FindAt("", "/report"), status, {}, body);
         stream.AdvanceBy(161ms);
       }
     },
     true},
    {"is another one now",
     [](Stream& stream, const auto& report) {
       stream.Reply(report, 421, {}, "");
     },
     true},
    {"still lists the stream",
     [](Stream& stream, const auto& report) {
       stream.Reply(report, 200, {}, "r1");
     }},
    {"rejects the question",
     [](Stream& stream, const auto& report) {
       stream.Reply(report, 503, {{"Refused", "1"}}, "");
     }},
    {"is full, and then reports",
     [](Stream& stream, const auto& report) {
       stream.Reply(report, 503, {}, "");
       stream.AdvanceBy(20ms);
       stream.Reply(stream.FindAt("", "/report"), 200, {}, "no runs");
     }},
    {"answers late",
     [](Stream& stream, const auto& report) {
       stream.AdvanceBy(1700ms);
       stream.Reply(report, 200, {}, "no runs");
     }},
    {"does not answer",
     [](Stream& stream, const auto&) {
       const Instant asked_at = stream.now;
       while (stream.FindAt("", "/report")) {
         stream.AdvanceBy(100ms);
       }
       CPPUNIT_ASSERT(stream.now - asked_at <= 2800ms);
     },
     true}};

// The process that makes a stream, and those that the gateway hears of. Times
// of starts are in ms; 0: it is not stated, or the question is not answered.
struct ProcessCase {
  std::string name;
  std::int64_t record = 0;        // states this when the stream is sent
  std::int64_t at_head = 0;       // reports at the stream's first event
  std::int64_t later_record = 0;  // states this before the stream's end
  std::int64_t at_end = 0;        // reports after the stream's end
  Duration lasts = 300ms;         // from the first event to the end
  bool lists_run = false;         // after the stream's end
  bool whole = false;
};

const std::vector<ProcessCase> kProcesses = {
    {.name = "the one of its record",
     .record = 5,
     .at_head = 5,
     .at_end = 5,
     .whole = true},
    {.name = "killed, and another one is back under its id",
     .record = 5,
     .at_head = 5,
     .at_end = 9},
    {.name = "killed, and another one is back and registered",
     .record = 5,
     .at_head = 5,
     .later_record = 9,
     .at_end = 9},
    {.name = "killed before it was known, and another one is back",
     .record = 5,
     .at_end = 9},
    {.name = "killed, and another one, whose clock is behind, is back",
     .record = 9,
     .at_head = 9,
     .at_end = 5},
    {.name = "newer than its record",
     .record = 5,
     .at_head = 9,
     .at_end = 9,
     .whole = true},
    {.name = "newer than its record, which follows meanwhile",
     .record = 5,
     .at_head = 9,
     .later_record = 9,
     .at_end = 9,
     .whole = true},
    {.name = "newer than its record, and still lists a short stream",
     .record = 5,
     .at_end = 9,
     .lasts = 20ms,
     .lists_run = true,
     .whole = true},
    {.name = "older than its record",
     .record = 9,
     .at_head = 5,
     .at_end = 5,
     .whole = true},
    {.name = "one that states no start", .record = 5, .whole = true},
    {.name = "one whose record states no start", .at_end = 9, .whole = true}};

// Answers the newest question for a process, which started at this time.
void ReportStart(Stream& stream, std::int64_t started_at, bool lists = false) {
  stream.AdvanceBy(1ms);
  const auto report = stream.FindAt("", "/report");
  const std::string start =
      started_at == 0 ? "" : " started " + std::to_string(started_at);
  stream.Reply(report, 200, {}, (lists ? "r1" : "no runs") + start);
}

const acacialug::testing::Story kProcessesOfStreams(
    "a stream without length or chunks that ends between two events",
    {ForEach<ProcessCase>(
         "by its endpoint's process, which is",
         kProcesses,
         [](const ProcessCase& row) { return row.name; },
         [](const ProcessCase& row) {
           // Guards against a report of the process that replaced a killed one,
           // which is taken for a word on the killed one's streams.
           for (const std::string path : {"/stream/a", "/resumable/a"}) {
             Stream stream(path, row.record);
             stream.SendFirstEvent(true);
             if (row.at_head != 0) {
               ReportStart(stream, row.at_head);
             }
             stream.AdvanceBy(row.lasts);
             if (row.later_record != 0) {
               stream.Restart(stream.DecodeName(), row.later_record);
             }
             stream.End(stream.decode);
             ReportStart(stream, row.at_end, row.lists_run);
             if (row.whole) {
               CPPUNIT_ASSERT(stream.answer->ended && !stream.answer->cut);
             } else if (path == "/stream/a") {
               CPPUNIT_ASSERT(stream.answer->cut);
             } else {
               CPPUNIT_ASSERT(!stream.answer->ended);
               CPPUNIT_ASSERT_EQUAL(
                   std::string("0"),
                   HeaderOf(stream.AdvanceToDecode(), "Resume-After"));
             }
           }
         }),
     It("is whole however short it is, once its process has reported",
        [] {
          // Guards against whole streams that are cut off, or run again, while
          // a restarted process is not registered.
          Stream stream("/stream/a", 5);
          stream.SendFirstEvent(true);
          ReportStart(stream, 9);
          stream.AdvanceBy(300ms);
          stream.End(stream.decode);
          ReportStart(stream, 9);
          stream.RemoveEndpoint(stream.DecodeName() == "d1" ? "d2" : "d1");
          const auto answer = stream.SendRequest("/stream/a", "r1");
          const auto decode = stream.AdvanceToDecode();
          stream.Begin(decode, true);
          stream.Event(decode, 0);
          stream.End(decode);
          ReportStart(stream, 9);
          CPPUNIT_ASSERT(answer->ended && !answer->cut);
        }),
     It("is broken off if the report at its first event was read after a stall",
        [] {
          // Guards against a report of the next process that is read before the
          // end of the former one's connection, both being old.
          Stream stream("/stream/a", 5);
          stream.SendFirstEvent(true);
          stream.AdvanceBy(1ms);
          stream.Stall(2s);
          ReportStart(stream, 9);
          stream.End(stream.decode);
          ReportStart(stream, 9);
          CPPUNIT_ASSERT(stream.answer->cut);
        }),
     It("costs no question at its first event where no start is stated", [] {
       Stream stream("/stream/a");
       stream.SendFirstEvent(true);
       stream.AdvanceBy(50ms);
       CPPUNIT_ASSERT(stream.FindAt("", "/report") == nullptr);
     })});

const acacialug::testing::Story kStreamEnds(
    "a stream without length or chunks",
    {It("that may not resume is cut off for its caller unless it ends after an "
        "event",
        [] {
          // Guards against a stream of an endpoint that crashed, whose
          // connection's end passes for the stream's.
          for (const EndCase& row : kEnds) {
            Stream stream("/stream/a");
            stream.SendFirstEvent(true);
            stream.decode->hooks.on_data(row.bytes);
            row.whole ? stream.EndServing(stream.decode)
                      : stream.End(stream.decode);
            CPPUNIT_ASSERT_MESSAGE(row.name, stream.answer->ended);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, !row.whole,
                                         stream.answer->cut);
          }
        }),
     It("that may resume goes on elsewhere unless it ends after an event",
        [] {
          // Guards against a resumed stream with half an event, or one twice.
          for (const EndCase& row : kEnds) {
            Stream stream("/resumable/a");
            stream.SendFirstEvent(true);
            stream.decode->hooks.on_data(row.bytes);
            row.whole ? stream.EndServing(stream.decode)
                      : stream.End(stream.decode);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.whole,
                                         stream.answer->ended);
            if (row.whole) {
              continue;
            }
            const auto other = stream.AdvanceToDecode();
            CPPUNIT_ASSERT_MESSAGE(row.name, other != nullptr);
            CPPUNIT_ASSERT_EQUAL(std::string("0"),
                                 HeaderOf(other, "Resume-After"));
            stream.Begin(other);
            stream.Event(other, 1);
            stream.End(other);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                row.name, std::string(kFirstEvent) + "id: 1\ndata: x\n\n",
                stream.answer->body);
            CPPUNIT_ASSERT(stream.answer->ended && !stream.answer->cut);
          }
        }),
     It("that ends after an event is cut off or goes on elsewhere if its "
        "endpoint",
        [] {
          // Guards against streams of an endpoint whose process was killed,
          // which end as whole ones do.
          for (const StateCase& row : kStates) {
            Stream once("/stream/a");
            once.SendFirstEvent(true);
            once.End(once.decode);
            CPPUNIT_ASSERT_MESSAGE(row.name, !once.answer->ended);
            once.AdvanceBy(1ms);
            row.act(once, once.FindAt("", "/report"));
            CPPUNIT_ASSERT_MESSAGE(row.name, once.answer->ended);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.ended, once.answer->cut);

            Stream resumable("/resumable/a");
            resumable.SendFirstEvent(true);
            resumable.End(resumable.decode);
            resumable.AdvanceBy(1ms);
            row.act(resumable, resumable.FindAt("", "/report"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, !row.ended,
                                         resumable.answer->ended);
            if (row.ended) {
              const auto other = resumable.AdvanceToDecode();
              CPPUNIT_ASSERT_EQUAL(std::string("0"),
                                   HeaderOf(other, "Resume-After"));
            }
          }
        }),
     It("that ends after an event is cut off when its time is over before its "
        "endpoint answers",
        [] {
          Stream stream("/stream/a");
          stream.SendFirstEvent(true);
          stream.AdvanceBy(stream.sent_at + 13'900ms - stream.now);
          stream.End(stream.decode);
          CPPUNIT_ASSERT(!stream.answer->ended);
          stream.AdvanceBy(101ms);
          CPPUNIT_ASSERT(stream.answer->ended && stream.answer->cut);
        }),
     It("that ends before its first event is lost",
        [] {
          // Guards against an empty answer in place of one that never began.
          Stream once("/stream/a");
          once.Begin(once.decode, true);
          once.End(once.decode);
          CPPUNIT_ASSERT_EQUAL(502, once.answer->status);
          Stream resumable("/resumable/a");
          resumable.Begin(resumable.decode, true);
          resumable.End(resumable.decode);
          CPPUNIT_ASSERT(!resumable.answer->ended);
          CPPUNIT_ASSERT(resumable.AdvanceToDecode() != nullptr);
        }),
     It("that has nothing left to resume is whole",
        [] {
          Stream stream("/resumable/a");
          stream.SendFirstEvent(true);
          stream.Break(stream.decode);
          const auto other = stream.AdvanceToDecode();
          stream.Begin(other, true);
          stream.EndServing(other);
          CPPUNIT_ASSERT(stream.answer->ended && !stream.answer->cut);
        }),
     It("whose events have no ids is cut off, since it can't go on elsewhere",
        [] {
          // Guards against two runs joined in one answer.
          Stream stream("/resumable/a");
          stream.Begin(stream.decode, true);
          stream.decode->hooks.on_data(": alive\n\ndata: x\n\nda");
          stream.End(stream.decode);
          CPPUNIT_ASSERT(stream.answer->cut);
          CPPUNIT_ASSERT(stream.Calls().empty());
        }),
     It("that has sent comments only starts again elsewhere",
        [] {
          Stream stream("/resumable/a");
          stream.Begin(stream.decode, true);
          stream.decode->hooks.on_data(": alive\n\nid: 0\nda");
          stream.End(stream.decode);
          CPPUNIT_ASSERT(!stream.answer->ended);
          CPPUNIT_ASSERT(stream.AdvanceToDecode() != nullptr);
        }),
     It("is not distinguished from others while it sends its events",
        [] {
          // Guards against endpoints that never frame being blamed for it.
          Stream stream("/stream/a");
          stream.SendFirstEvent(true);
          CPPUNIT_ASSERT_EQUAL(std::string(kFirstEvent), stream.answer->body);
          stream.EndServing(stream.decode);
          CPPUNIT_ASSERT(stream.answer->ended && !stream.answer->cut);
          CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0},
                               stream.Logged("attempt_lost"));
        }),
     It("differs from a framed one, which is forwarded as its endpoint ended "
        "it",
        [] {
          for (const EndCase& row : kEnds) {
            Stream stream("/stream/a");
            stream.SendFirstEvent(false);
            stream.decode->hooks.on_data(row.bytes);
            stream.End(stream.decode);
            CPPUNIT_ASSERT_MESSAGE(row.name,
                                   stream.answer->ended && !stream.answer->cut);
            CPPUNIT_ASSERT_EQUAL(std::string(kFirstEvent) + row.bytes,
                                 stream.answer->body);
          }
        })});

}  // namespace
}  // namespace acacialug::gateway
