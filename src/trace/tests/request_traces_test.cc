#include "trace/request_traces.h"

#include <cppunit/extensions/HelperMacros.h>

#include "framework/testing/story.h"
#include "trace/message_steps.h"

namespace acacialug::trace {
namespace {

using testing::ForEach;
using testing::It;

const Instant kArrival = Instant(1000s);

RequestId Id(std::uint64_t number) {
  return {.high = number, .low = 7};
}

struct Bench {
  RequestTraces traces;
  Instant now = kArrival;

  explicit Bench(const RequestTraces::Options& options = {})
      : traces(options) {}

  void Begin(std::uint64_t number) {
    this->traces.Begin({.request = Id(number), .service = "lm"}, this->now);
  }
  void Add(std::uint64_t number, StepKind kind) {
    this->now += 1ms;
    this->traces.Add(Id(number), {.kind = kind}, this->now);
  }
  void End(std::uint64_t number) {
    this->traces.End(Id(number), TraceOutcome::kCompleted, ResultCode::kOk,
                     this->now);
  }
  bool Knows(std::uint64_t number) const {
    return this->traces.Find(Id(number), this->now).has_value();
  }
};

// The bytes of one request's trace, as the unit of the tests' bounds.
std::size_t BytesOfOne() {
  Bench bench;
  bench.Begin(1);
  return bench.traces.counts().bytes;
}

const testing::Story kTraces(
    "the traces of a shard",
    {It("show a request's steps with times since its arrival, and its end",
        [] {
          Bench bench;
          bench.Begin(1);
          bench.Add(1, StepKind::kQueued);
          bench.Add(1, StepKind::kDispatched);
          bench.traces.End(Id(1), TraceOutcome::kNotRun,
                           ResultCode::kOverloaded, kArrival + 5ms);
          const auto trace = bench.traces.Find(Id(1), kArrival + 9ms);
          CPPUNIT_ASSERT(trace.has_value());
          CPPUNIT_ASSERT(
              (trace->steps ==
               std::vector<Step>{{.kind = StepKind::kArrived},
                                 {.kind = StepKind::kQueued, .at = 1ms},
                                 {.kind = StepKind::kDispatched, .at = 2ms}}));
          CPPUNIT_ASSERT(trace->outcome == TraceOutcome::kNotRun);
          CPPUNIT_ASSERT(trace->code == ResultCode::kOverloaded);
          CPPUNIT_ASSERT(trace->took == 5ms && trace->age == 9ms);
        }),
     It("list alive requests, the oldest first, within a limit",
        [] {
          Bench bench;
          for (const std::uint64_t number : {1, 2, 3, 4}) {
            bench.Begin(number);
            bench.Add(number, StepKind::kQueued);
          }
          bench.End(1);
          const std::vector<Trace> alive = bench.traces.Alive(2, bench.now);
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, alive.size());
          CPPUNIT_ASSERT(alive[0].subject.request == Id(2));
          CPPUNIT_ASSERT(alive[1].subject.request == Id(3));
          CPPUNIT_ASSERT(alive[0].steps.size() == 1 &&
                         alive[0].steps[0].kind == StepKind::kQueued);
          CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.traces.counts().alive);
        }),
     It("store one wait as one step, however often it was queued again",
        [] {
          Bench bench;
          bench.Begin(1);
          for (int turn = 0; turn < 1000; ++turn) {
            bench.Add(1, StepKind::kQueued);
          }
          const auto trace = bench.traces.Find(Id(1), bench.now);
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, trace->steps.size());
          CPPUNIT_ASSERT(trace->steps_left_out == 0);
        }),
     It("store no step of an ended or unknown request", [] {
       Bench bench;
       bench.Begin(1);
       bench.End(1);
       bench.Add(1, StepKind::kReleased);
       bench.Add(2, StepKind::kReleased);
       bench.End(2);
       CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                            bench.traces.Find(Id(1), bench.now)->steps.size());
       CPPUNIT_ASSERT(!bench.Knows(2));
     })});

const testing::Story kBounds(
    "the traces of a shard that reach their bound",
    {// Symptom: an entry's memory grows with its uptime. Sequence: requests
     // end, and their traces remain. Cause: nothing drops them.
     It("drop the oldest ended traces first, and count them",
        [] {
          Bench bench({.max_bytes = 3 * BytesOfOne()});
          bench.Begin(1);  // stays alive
          for (const std::uint64_t number : {2, 3, 4, 5}) {
            bench.Begin(number);
            bench.End(number);
          }
          CPPUNIT_ASSERT(bench.Knows(1) && bench.Knows(4) && bench.Knows(5));
          CPPUNIT_ASSERT(!bench.Knows(2) && !bench.Knows(3));
          const TraceCounts counts = bench.traces.counts();
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, counts.dropped);
          CPPUNIT_ASSERT(counts.bytes <= 3 * BytesOfOne());
        }),
     It("count new requests and do not trace them when all others are alive",
        [] {
          Bench bench({.max_bytes = BytesOfOne()});
          bench.Begin(1);
          bench.Begin(2);
          CPPUNIT_ASSERT(bench.Knows(1) && !bench.Knows(2));
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                               bench.traces.counts().not_traced);
          bench.End(1);
          bench.Begin(3);
          CPPUNIT_ASSERT(bench.Knows(3) && !bench.Knows(1));
        }),
     It("omit steps beyond a request's own bound, and count them",
        [] {
          Bench bench({.max_steps = 4});
          bench.Begin(1);
          for (int turn = 0; turn < 10; ++turn) {
            bench.Add(1, StepKind::kReserveSent);
          }
          const auto trace = bench.traces.Find(Id(1), bench.now);
          CPPUNIT_ASSERT_EQUAL(std::size_t{4}, trace->steps.size());
          CPPUNIT_ASSERT(trace->steps_left_out == 7);
        }),
     It("store nothing when the bound is zero",
        [] {
          Bench bench({.max_bytes = 0});
          bench.Begin(1);
          CPPUNIT_ASSERT(!bench.Knows(1));
        }),
     It("never exceed it under any sequence of calls", [] {
       const std::size_t bound = 10 * BytesOfOne();
       Bench bench({.max_bytes = bound});
       for (std::uint64_t number = 0; number < 500; ++number) {
         bench.Begin(number);
         for (std::uint64_t step = 0; step < number % 70; ++step) {
           bench.traces.Add(Id(number - step % 3),
                            {.kind = StepKind::kRefused,
                             .endpoint = EndpointId(std::string(step, 'e'))},
                            bench.now);
           CPPUNIT_ASSERT(bench.traces.counts().bytes <= bound);
         }
         bench.End(number - number % 4);
         CPPUNIT_ASSERT(bench.traces.counts().bytes <= bound);
       }
     })});

struct MessageRow {
  std::string name;
  std::optional<RequestStep> step;
  std::optional<StepKind> kind;
};

const EndpointId kEndpoint("d-1");
const AttemptId kAttempt{.request = Id(1), .attempt = AttemptNumber(3)};

std::optional<RequestStep> Sent(const protocol::EntryToAgent& message) {
  return StepOf(kEndpoint, message);
}
std::optional<RequestStep> Received(const protocol::AgentToEntry& message) {
  return StepOf(kEndpoint, message);
}

const testing::Story kMessages(
    "a message between entry and agent",
    {ForEach<MessageRow>(
         "is a step of its attempt and endpoint, or none:",
         {{"Hello", Sent(protocol::Hello{}), {}},
          {"Acknowledge", Sent(protocol::Acknowledge{.attempt = kAttempt}), {}},
          {"Chunk", Received(protocol::Chunk{.attempt = kAttempt}), {}},
          {"Reserve", Sent(protocol::Reserve{.attempt = kAttempt}),
           StepKind::kReserveSent},
          {"StartDecode", Sent(protocol::StartDecode{.attempt = kAttempt}),
           StepKind::kDecodeStarted},
          {"StartDecode after delivered text",
           Sent(protocol::StartDecode{.attempt = kAttempt,
                                      .generation = {.resumed_text = "x"}}),
           StepKind::kDecodeResumed},
          {"Cancel", Sent(protocol::Cancel{.attempt = kAttempt}),
           StepKind::kReleased},
          {"Failed", Received(protocol::Failed{.attempt = kAttempt}),
           StepKind::kFailed}},
         [](const MessageRow& row) { return row.name; },
         [](const MessageRow& row) {
           CPPUNIT_ASSERT_EQUAL(row.kind.has_value(), row.step.has_value());
           if (row.step) {
             CPPUNIT_ASSERT(row.step->request == Id(1));
             CPPUNIT_ASSERT(row.step->step.kind == *row.kind);
             CPPUNIT_ASSERT(row.step->step.attempt == AttemptNumber(3));
             CPPUNIT_ASSERT(row.step->step.endpoint == kEndpoint);
           }
         }),
     It("that refuses records phase, code and retry delay", [] {
       const auto refused =
           Received(protocol::Refused{.attempt = kAttempt,
                                      .phase = protocol::Phase::kPrefill,
                                      .code = ResultCode::kOverloaded,
                                      .retry_after = 2ms});
       CPPUNIT_ASSERT(refused->step.phase == protocol::Phase::kPrefill);
       CPPUNIT_ASSERT(refused->step.code == ResultCode::kOverloaded);
       CPPUNIT_ASSERT(refused->step.amount == 2000);
     })});

}  // namespace
}  // namespace acacialug::trace
