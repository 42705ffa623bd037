#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "framework/testing/story.h"
#include "gateway/tests/gateway_simulation.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::ForEach;
using acacialug::testing::It;
using acacialug::testing::Section;
using testing::Answer;
using testing::Call;
using testing::GatewaySimulation;
using testing::HeaderOf;

// A simulation with two plain endpoints.
struct Plain : GatewaySimulation {
  Plain() {
    this->Configure();
    this->AddEndpoint("p1", "plain", EndpointRole::kPlain);
    this->AddEndpoint("p2", "plain", EndpointRole::kPlain);
  }
};

// A simulation with two prefill endpoints and two decode endpoints.
struct Model : GatewaySimulation {
  explicit Model(double repeat_extra = 58) : GatewaySimulation(repeat_extra) {
    this->Configure();
    this->AddEndpoint("f1", "model", EndpointRole::kPrefill);
    this->AddEndpoint("f2", "model", EndpointRole::kPrefill);
    this->AddEndpoint("d1", "model", EndpointRole::kDecode);
    this->AddEndpoint("d2", "model", EndpointRole::kDecode);
  }
};

// A simulation with a running stream that has sent its first event.
struct Streaming : Model {
  explicit Streaming(double repeat_extra = 58)
      : Model(repeat_extra),
        answer(this->SendRequest("/resumable/a", "r1")),
        decode(this->AdvanceToDecode()) {
    this->Begin(this->decode);
    this->Event(this->decode, 0);
  }

  std::shared_ptr<Answer> answer;
  std::shared_ptr<Call> decode;
};

// A simulation whose stream has had no event for long, and has been granted
// memory at another endpoint.
struct Leaving : Model {
  explicit Leaving(bool unframed = false)
      : answer(this->SendRequest("/resumable/a", "r1")),
        decode(this->AdvanceToDecode()) {
    this->Begin(this->decode, unframed);
    this->Event(this->decode, 0);
    this->AdvanceBy(1100ms);
    this->Reply(this->Find("/reserve/"), 200, {}, "r2");
  }

  // What the endpoint is asked when it does not close.
  std::shared_ptr<Call> Report() {
    this->AdvanceBy(60ms);
    return this->FindAt("", "/report");
  }

  std::shared_ptr<Answer> answer;
  std::shared_ptr<Call> decode;
};

struct AttemptCase {
  std::string name;
  std::string path;
  std::function<void(GatewaySimulation&, const std::shared_ptr<Call>&)>
      end_attempt;
  bool sent_again = false;
  int status = 0;  // of the answer, if it is not sent again
};

const std::vector<AttemptCase> kAttemptCases = {
    {"a rejected request is retried elsewhere, even if it may run only once",
     "/once/a",
     [](GatewaySimulation& simulation, const auto& call) {
       simulation.ReplyRefused(call);
     },
     true},
    {"an answer from another endpoint at the address proves that it did not "
     "run",
     "/once/a",
     [](GatewaySimulation& simulation, const auto& call) {
       simulation.Reply(call, 421, {{"Other", "1"}});
     },
     true},
    {"a request whose connection never opened is retried elsewhere", "/once/a",
     [](GatewaySimulation& simulation, const auto& call) {
       simulation.Break(call, false);
     },
     true},
    {"a request that may run once has an unknown outcome when its answer is "
     "lost",
     "/once/a",
     [](GatewaySimulation& simulation, const auto& call) {
       simulation.Break(call);
     },
     false, 502},
    {"a request that may run again is retried elsewhere when its answer is "
     "lost",
     "/idempotent/a",
     [](GatewaySimulation& simulation, const auto& call) {
       simulation.Break(call);
     },
     true},
    {"an answer without an endpoint's proof does not count", "/once/a",
     [](GatewaySimulation& simulation, const auto& call) {
       simulation.Reply(call, 200, {}, "x");
     },
     false, 502},
    {"a failure of a request that may run once is forwarded", "/once/a",
     [](GatewaySimulation& simulation, const auto& call) {
       simulation.ReplyProof(call, 500, "f");
     },
     false, 500},
    // Guards against the loss of a promise: it ran, and its caller sends it
    // again as one that did not.
    {"a failure of a request that may run once is not forwarded where its "
     "status would say that it did not run",
     "/once/a",
     [](GatewaySimulation& simulation, const auto& call) {
       simulation.ReplyProof(call, 503, "f");
     },
     false, 502},
    {"the same for a status by which callers are told of a limit", "/once/a",
     [](GatewaySimulation& simulation, const auto& call) {
       simulation.ReplyProof(call, 429, "f");
     },
     false, 502},
    {"such a failure of a request that may run again is forwarded",
     "/idempotent/a",
     [](GatewaySimulation& simulation, const auto& call) {
       simulation.ReplyProof(call, 429, "f");
     },
     false, 429},
    {"a failed request that may run again is retried elsewhere",
     "/idempotent/a",
     [](GatewaySimulation& simulation, const auto& call) {
       simulation.ReplyProof(call, 500, "f");
     },
     true},
    {"an invalid request is not retried", "/idempotent/a",
     [](GatewaySimulation& simulation, const auto& call) {
       simulation.ReplyProof(call, 400, "bad");
     },
     false, 400}};

const acacialug::testing::Story kCalls(
    "a plain request",
    {It("is forwarded unchanged, and so is its answer",
        [] {
          Plain simulation;
          const auto answer = simulation.SendRequest("/once/a?q=1", "r1");
          const auto call = simulation.Find("/once/a?q=1");
          CPPUNIT_ASSERT(call != nullptr);
          CPPUNIT_ASSERT_EQUAL(std::string("1200"), HeaderOf(call, "Left"));
          simulation.ReplyProof(call, 201, "made");
          CPPUNIT_ASSERT_EQUAL(201, answer->status);
          CPPUNIT_ASSERT_EQUAL(std::string("made"), answer->body);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               simulation.core->requests_under_way());
        }),
     It("logs what proves that an attempt did not run",
        [] {
          Plain simulation;
          simulation.SendRequest("/once/a", "r1");
          simulation.ReplyRefused(simulation.Find("/once/a"));
          CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                               std::size_t(simulation.Logged("call_rejected")));
        }),
     ForEach<AttemptCase>(
         "whose attempt ends:",
         kAttemptCases,
         [](const AttemptCase& row) { return row.name; },
         [](const AttemptCase& row) {
           Plain simulation;
           const auto answer = simulation.SendRequest(row.path, "r1");
           const auto first = simulation.Find(row.path);
           const http::Address first_address = first->address;
           row.end_attempt(simulation, first);
           const auto second = simulation.Find(row.path);
           CPPUNIT_ASSERT_EQUAL(row.sent_again, second != nullptr);
           if (row.sent_again) {
             CPPUNIT_ASSERT(!(second->address == first_address));
             CPPUNIT_ASSERT(!answer->ended);
           } else {
             CPPUNIT_ASSERT_EQUAL(row.status, answer->status);
           }
         }),
     It("gets the answer that arrived while this process stalled",
        [] {
          // Guards against answers that wait in the sockets of a stalled
          // gateway and are never forwarded, because its timers fire before it
          // reads them. A request that may run again is then sent to a second
          // endpoint and the first endpoint is avoided; a request that may run
          // once is answered 504.
          for (const std::string path : {"/idempotent/a", "/once/a"}) {
            Plain simulation;
            const auto answer = simulation.SendRequest(path, "r1");
            const auto call = simulation.Find(path);
            simulation.Stall(1900ms);
            CPPUNIT_ASSERT(!call->cancelled);
            CPPUNIT_ASSERT(!answer->ended);
            simulation.ReplyProof(call, 200, "made");
            CPPUNIT_ASSERT_EQUAL(200, answer->status);
            CPPUNIT_ASSERT_EQUAL(std::string("made"), answer->body);
          }
        }),
     It("ends at its deadline after a stall when there is no answer",
        [] {
          Plain simulation;
          const auto answer = simulation.SendRequest("/once/a", "r1");
          simulation.Stall(1900ms);
          simulation.AdvanceBy(1ms);
          CPPUNIT_ASSERT_EQUAL(504, answer->status);
        }),
     It("is refused as not run when every endpoint rejects it",
        [] {
          Plain simulation;
          const auto answer = simulation.SendRequest("/once/a", "r1");
          while (const auto call = simulation.Find("/once/a")) {
            simulation.ReplyRefused(call);
          }
          CPPUNIT_ASSERT_EQUAL(503, answer->status);
          CPPUNIT_ASSERT(!answer->retry_after.empty());
        }),
     It("gets a new connection when it is sent to an endpoint again",
        [] {
          // Guards against a second copy of a rejection that answers the next
          // send, which bears the same id.
          Plain simulation;
          simulation.SendRequest("/once/a", "r1");
          std::vector<http::Address> sent_to;
          while (const auto call = simulation.Find("/once/a")) {
            CPPUNIT_ASSERT_EQUAL(
                std::count(sent_to.begin(), sent_to.end(), call->address) > 0,
                call->options.fresh_connection);
            sent_to.push_back(call->address);
            simulation.ReplyRefused(call);
          }
          CPPUNIT_ASSERT_EQUAL(std::size_t{4}, sent_to.size());
        }),
     It("does not get the answer to another request",
        [] {
          // Guards against a caller that gets the answer to another caller's
          // request. An endpoint answers a request twice, the second time to
          // the next request on the connection. It comes about when answers are
          // matched by order.
          Plain simulation;
          const auto answer = simulation.SendRequest("/once/a", "r2");
          const auto call = simulation.Find("/once/a");
          simulation.Reply(call, 200, {{"Proof", "1"}, {"Id", "r1"}},
                           "not yours");
          CPPUNIT_ASSERT(!answer->ended);
          simulation.Reply(call, 200, {{"Proof", "1"}, {"Id", "r2"}}, "yours");
          CPPUNIT_ASSERT_EQUAL(std::string("yours"), answer->body);
        }),
     It("that may run again is retried elsewhere when its endpoint is "
        "unresponsive",
        [] {
          Plain simulation;
          const auto answer = simulation.SendRequest("/idempotent/a", "r1");
          const auto first = simulation.Find("/idempotent/a");
          simulation.AdvanceBy(400ms);
          CPPUNIT_ASSERT(first->cancelled);
          simulation.ReplyProof(simulation.Find("/idempotent/a"), 200, "ok");
          CPPUNIT_ASSERT_EQUAL(200, answer->status);
        }),
     It("that may run once waits for an unresponsive endpoint until its "
        "deadline",
        [] {
          Plain simulation;
          const auto answer = simulation.SendRequest("/once/a", "r1");
          simulation.AdvanceBy(1100ms);
          CPPUNIT_ASSERT(!answer->ended);
          simulation.AdvanceBy(200ms);
          CPPUNIT_ASSERT_EQUAL(504, answer->status);
          CPPUNIT_ASSERT(simulation.Calls().empty());
        }),
     It("is stopped at the endpoint when its caller disconnects",
        [] {
          Plain simulation;
          simulation.SendRequest("/once/a", "r1");
          simulation.Disconnect();
          CPPUNIT_ASSERT(simulation.Calls().empty());
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               simulation.core->requests_under_way());
        }),
     It("is refused without a configuration, a route or an endpoint", [] {
       GatewaySimulation simulation;
       // Guards against requests that are lost after all processes restarted
       // together. Each process has no configuration for a second; a caller
       // returns after 50 ms, is refused again, and has no retry left. It comes
       // about when the caller's retry delay assumes that other processes
       // serve.
       const auto early = simulation.SendRequest("/once/a", "r1");
       CPPUNIT_ASSERT_EQUAL(503, early->status);
       CPPUNIT_ASSERT(std::stod(early->retry_after) >= 0.5);
       simulation.Configure();
       CPPUNIT_ASSERT_EQUAL(404,
                            simulation.SendRequest("/nowhere/", "r2")->status);
       CPPUNIT_ASSERT_EQUAL(503,
                            simulation.SendRequest("/once/a", "r3")->status);
     })});

const acacialug::testing::Story kStreams(
    "a generation",
    {It("is reserved, prefilled and decoded, and each event is forwarded",
        [] {
          Model simulation;
          const auto answer = simulation.SendRequest("/stream/a", "r1");
          CPPUNIT_ASSERT(simulation.Find("prefill") == nullptr);
          const auto decode = simulation.AdvanceToDecode();
          CPPUNIT_ASSERT_EQUAL(std::string("r1"),
                               HeaderOf(decode, "Reservation"));
          CPPUNIT_ASSERT_EQUAL(std::string("x1"), HeaderOf(decode, "Export"));
          simulation.Begin(decode);
          simulation.Event(decode, 0);
          CPPUNIT_ASSERT_EQUAL(std::string("id: 0\ndata: x\n\n"), answer->body);
          simulation.End(decode);
          CPPUNIT_ASSERT(answer->ended && !answer->cut);
          CPPUNIT_ASSERT(simulation.core->OwnLoad().rows.empty());
        }),
     It("is counted with the tokens that it has made when it is longer than "
        "expected",
        [] {
          // Guards against endpoints that run out of memory and stop streams
          // while their load reads as three quarters. Streams grow past their
          // callers' estimates, and others are placed beside them. It comes
          // about when a load is reported only once, at the placement.
          Model simulation;
          simulation.SendRequest("/stream/a", "r1", "3000,100");
          const auto decode = simulation.AdvanceToDecode();
          simulation.Begin(decode);
          simulation.Event(decode, 0);
          const auto initial = simulation.core->OwnLoad().rows.at(0).load;
          for (int event = 1; event < 60; ++event) {
            simulation.Event(decode, event);
          }
          const auto later = simulation.core->OwnLoad().rows.at(0).load;
          CPPUNIT_ASSERT(initial.kv_tokens <= 3400);
          CPPUNIT_ASSERT(later.kv_tokens >= 3000 + 600);
          CPPUNIT_ASSERT_EQUAL(initial.requests, later.requests);
          simulation.End(decode);
          CPPUNIT_ASSERT(simulation.core->OwnLoad().rows.empty());
        }),
     It("is not sent to an endpoint that a peer cannot reach, which is logged "
        "once",
        [] {
          Model simulation;
          const EndpointPause pause{
              .endpoint_key = LoadTable::KeyOf(EndpointId("d1")),
              .left = 1s,
              .reason = PauseReason::kUnreachable};
          simulation.core->SetPause(pause);
          simulation.core->SetPause(pause);
          for (int number = 0; number < 8; ++number) {
            simulation.SendRequest("/stream/a", "r" + std::to_string(number),
                                   "300,90");
            CPPUNIT_ASSERT(simulation.FindAt("d1", "/reserve/") == nullptr);
          }
          CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                               simulation.Logged("endpoint_doubted"));
        }),
     It("requests memory at another endpoint when a reservation is refused, "
        "before anything is computed",
        [] {
          Model simulation;
          simulation.SendRequest("/stream/a", "r1");
          const auto first = simulation.Find("/reserve/");
          const http::Address first_address = first->address;
          simulation.Reply(first, 503, {});
          const auto second = simulation.Find("/reserve/");
          CPPUNIT_ASSERT(second != nullptr &&
                         !(second->address == first_address));
          CPPUNIT_ASSERT(simulation.Find("prefill") == nullptr);
        }),
     It("does not take the answer to a request for that to a message of the "
        "gateway's own",
        [] {
          // Guards against a second copy of a request's rejection that counts
          // as the answer about a reservation.
          Model simulation;
          const auto answer = simulation.SendRequest("/stream/a", "r2");
          const auto reserve = simulation.Find("/reserve/");
          simulation.Reply(reserve, 503, {{"Id", "r1"}, {"Refused", "1"}});
          CPPUNIT_ASSERT(simulation.Find("/reserve/") == reserve);
          simulation.Reply(reserve, 200, {}, "v");
          CPPUNIT_ASSERT(simulation.Find("prefill") != nullptr);
        }),
     It("is refused at once when the pool is full",
        [] {
          Model simulation;
          const auto answer = simulation.SendRequest("/stream/a", "r1");
          simulation.Reply(simulation.Find("/reserve/"), 503, {});
          simulation.Reply(simulation.Find("/reserve/"), 503, {});
          CPPUNIT_ASSERT_EQUAL(503, answer->status);
          CPPUNIT_ASSERT(!answer->retry_after.empty());
          CPPUNIT_ASSERT(simulation.core->OwnLoad().rows.empty());
        }),
     It("does not end when its prefill breaks once",
        [] {
          Model simulation;
          const auto answer = simulation.SendRequest("/stream/a", "r1");
          simulation.Reply(simulation.Find("/reserve/"), 200, {}, "v");
          simulation.Break(simulation.Find("prefill"));
          CPPUNIT_ASSERT(!answer->ended);
        }),
     It("releases the export of a malformed prefill, and is prefilled "
        "elsewhere",
        [] {
          // Guards against memory that stays allocated because another part of
          // the answer that names it is malformed.
          Model simulation;
          const auto answer = simulation.SendRequest("/stream/a", "r1");
          simulation.Reply(simulation.Find("/reserve/"), 200, {}, "v");
          const auto prefill = simulation.Find("prefill");
          const http::Address first_address = prefill->address;
          simulation.Reply(prefill, 200, {}, "spoiled");
          CPPUNIT_ASSERT(!answer->ended);
          CPPUNIT_ASSERT_EQUAL(
              std::ptrdiff_t{1},
              std::count(simulation.released.begin(), simulation.released.end(),
                         "/export/spoiled"));
          CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                               simulation.Logged("prefill_failed"));
          simulation.Reply(simulation.Find("/reserve/"), 200, {}, "v");
          const auto second = simulation.Find("prefill");
          CPPUNIT_ASSERT(second != nullptr &&
                         !(second->address == first_address));
        }),
     It("has its prompt computed by a decode endpoint if there is no prefill "
        "endpoint",
        [] {
          Model simulation;
          simulation.RemoveEndpoint("f1");
          simulation.RemoveEndpoint("f2");
          simulation.SendRequest("/stream/a", "r1");
          simulation.Reply(simulation.Find("/reserve/"), 200, {}, "v");
          CPPUNIT_ASSERT(simulation.Find("whole") != nullptr);
        }),
     It("that breaks off resumes elsewhere after its last complete event",
        [] {
          // Guards against half an event, or repeated events, in a caller's
          // stream. An endpoint fails in the middle of an event. It comes about
          // when bytes are forwarded as they arrive.
          Model simulation;
          const auto answer = simulation.SendRequest("/resumable/a", "r1");
          const auto decode = simulation.AdvanceToDecode();
          simulation.Begin(decode);
          simulation.Event(decode, 0);
          simulation.Event(decode, 1);
          decode->hooks.on_data("id: 2\nda");
          simulation.Break(decode);
          simulation.RefuseQuestions();
          simulation.Reply(simulation.Find("/reserve/"), 200, {}, "v");
          simulation.Reply(simulation.Find("prefill"), 200, {}, "x2");
          const auto other = simulation.Find("decode");
          CPPUNIT_ASSERT_EQUAL(std::string("1"),
                               HeaderOf(other, "Resume-After"));
          simulation.Begin(other);
          simulation.Event(other, 2);
          simulation.End(other);
          CPPUNIT_ASSERT_EQUAL(
              std::string("id: 0\ndata: x\n\nid: 1\ndata: x\n\n"
                          "id: 2\ndata: x\n\n"),
              answer->body);
          CPPUNIT_ASSERT(answer->ended && !answer->cut);
        }),
     It("that may not resume elsewhere is cut off when it breaks, and does not "
        "look complete",
        [] {
          Model simulation;
          const auto answer = simulation.SendRequest("/stream/a", "r1");
          const auto decode = simulation.AdvanceToDecode();
          simulation.Begin(decode);
          simulation.Event(decode, 0);
          simulation.Break(decode);
          CPPUNIT_ASSERT(answer->cut);
          CPPUNIT_ASSERT(simulation.Calls().empty());
        }),
     It("that may run once has an unknown outcome when its decode endpoint is "
        "lost before an event",
        [] {
          Model simulation;
          const auto answer = simulation.SendRequest("/stream/a", "r1");
          simulation.Break(simulation.AdvanceToDecode());
          CPPUNIT_ASSERT_EQUAL(502, answer->status);
        }),
     // Guards against the same loss of a promise as for plain requests.
     It("that may run once and that its endpoint failed with the status of a "
        "promise has an unknown outcome",
        [] {
          Model simulation;
          const auto answer = simulation.SendRequest("/stream/a", "r1");
          simulation.ReplyProof(simulation.AdvanceToDecode(), 503, "f");
          CPPUNIT_ASSERT_EQUAL(502, answer->status);
        }),
     It("that its decode endpoint rejects is computed elsewhere",
        [] {
          Model simulation;
          const auto answer = simulation.SendRequest("/stream/a", "r1");
          simulation.ReplyRefused(simulation.AdvanceToDecode());
          CPPUNIT_ASSERT(!answer->ended);
          CPPUNIT_ASSERT(simulation.Find("/reserve/") != nullptr);
        }),
     It("is charged to the repeat budget for its second prefill as well as for "
        "its second decode",
        [] {
          // Guards against 223 repeats in ten seconds where 186 are allowed,
          // with a budget that is never used up. Decode endpoints reject
          // requests whose prompts were computed; each prompt is computed again
          // and each request is sent again. It comes about when the pair is
          // counted as one repeat.
          // The budget is three quarters of 12 and of a fifth of the requests:
          // 9.9 repeats.
          Model simulation(12);
          // With this number, no endpoint is avoided for refusing memory that
          // it reserved.
          for (int number = 0; number < 40; ++number) {
            simulation.AddEndpoint("more" + std::to_string(number), "model",
                                   EndpointRole::kDecode);
          }
          int repeats = 0;
          for (int number = 0; number < 6; ++number) {
            simulation.SendRequest("/stream/a", "r" + std::to_string(number),
                                   "300,90");
            simulation.ReplyRefused(simulation.AdvanceToDecode());
            repeats += simulation.Find("/reserve/") != nullptr ? 1 : 0;
            simulation.Disconnect();
            simulation.AdvanceBy(200ms);
          }
          CPPUNIT_ASSERT_EQUAL(4, repeats);
        }),
     It("is refused at once when its prefill was rejected and the repeat "
        "budget "
        "is empty",
        [] {
          // Guards against a run after a rejected prefill that the budget does
          // not cover.
          Model simulation(0);
          const auto answer = simulation.SendRequest("/resumable/a", "r1");
          simulation.Reply(simulation.Find("/reserve/"), 200, {}, "v");
          simulation.ReplyRefused(simulation.Find("prefill"));
          CPPUNIT_ASSERT(simulation.Find("whole") == nullptr);
          CPPUNIT_ASSERT_EQUAL(503, answer->status);
          CPPUNIT_ASSERT(!answer->retry_after.empty());
        }),
     It("is not placed where reserved memory was refused twice",
        [] {
          // Guards against 39 to 66 prompts that are computed and discarded on
          // a calm day, with callers refused while half of the pool is free. An
          // endpoint that changes its role grants a reservation, looks empty,
          // and rejects each request that was computed for it; a second later
          // it gets a reservation request again. It comes about when the
          // refusal counts as a sign of a full endpoint, which has free
          // capacity again in 150 ms.
          Model simulation;
          const std::string bad = "d1";
          for (int number = 0; number < 40; ++number) {
            simulation.SendRequest("/stream/a", "r" + std::to_string(number),
                                   "300,90");
            const auto decode = simulation.AdvanceToDecode();
            if (decode->address == simulation.addresses.at(bad)) {
              simulation.ReplyRefused(decode);
            }
            simulation.Disconnect();
            simulation.AdvanceBy(160ms);
            if (simulation.Logged("decode_refused") == 2) {
              break;
            }
          }
          for (int number = 100; number < 103; ++number) {
            simulation.SendRequest("/stream/a", "r" + std::to_string(number),
                                   "300,90");
            const auto decode = simulation.AdvanceToDecode();
            CPPUNIT_ASSERT(!(decode->address == simulation.addresses.at(bad)));
            simulation.Disconnect();
            simulation.AdvanceBy(100ms);
          }
        }),
     It("is prefilled elsewhere when the prefill's export cannot be fetched",
        [] {
          Model simulation;
          simulation.SendRequest("/stream/a", "r1");
          simulation.Reply(simulation.Find("/reserve/"), 200, {}, "v");
          const auto first = simulation.Find("prefill");
          const http::Address first_address = first->address;
          simulation.Reply(first, 200, {}, "x1");
          simulation.ReplyRefused(simulation.Find("decode"));
          simulation.Reply(simulation.Find("/reserve/"), 200, {}, "v");
          CPPUNIT_ASSERT(
              !(simulation.Find("prefill")->address == first_address));
        }),
     It("resumes elsewhere from an unresponsive endpoint, which has let go of "
        "it before another endpoint computes it",
        [] {
          Streaming simulation;
          simulation.AdvanceBy(1100ms);
          const auto reserve_call = simulation.Find("/reserve/");
          CPPUNIT_ASSERT(reserve_call != nullptr);
          CPPUNIT_ASSERT(
              !(reserve_call->address == simulation.decode->address));
          CPPUNIT_ASSERT(simulation.Find("prefill") == nullptr);
          simulation.Reply(reserve_call, 200, {}, "r2");
          CPPUNIT_ASSERT(simulation.decode->left);
          CPPUNIT_ASSERT(simulation.Find("prefill") == nullptr);
          simulation.Break(simulation.decode);
          simulation.AdvanceBy(60ms);
          CPPUNIT_ASSERT(simulation.Find("prefill") == nullptr);
          simulation.Reply(simulation.Find("/report"), 200, {}, "others");
          simulation.Reply(simulation.Find("prefill"), 200, {}, "x2");
          CPPUNIT_ASSERT_EQUAL(
              std::string("0"),
              HeaderOf(simulation.Find("decode"), "Resume-After"));
        }),
     // Guards against a stream that two endpoints work on at the same time.
     Section(
         "leaves an unresponsive endpoint",
         {It("that lists it as running, and stays there",
             [] {
               Leaving simulation;
               simulation.Reply(simulation.Report(), 200, {}, "r1");
               CPPUNIT_ASSERT(simulation.Find("prefill") == nullptr);
               CPPUNIT_ASSERT_EQUAL(std::string("/reserve/r2"),
                                    simulation.released.back());
               simulation.Event(simulation.decode, 1);
               simulation.End(simulation.decode);
               CPPUNIT_ASSERT(simulation.answer->ended &&
                              !simulation.answer->cut);
             }),
          It("that lists it as running and then closes, and goes on elsewhere",
             [] {
               Leaving simulation;
               simulation.Reply(simulation.Report(), 200, {}, "r1");
               simulation.Break(simulation.decode);
               CPPUNIT_ASSERT(!simulation.answer->ended);
               simulation.Reply(simulation.Report(), 200, {}, "others");
               CPPUNIT_ASSERT(simulation.Find("/reserve/") != nullptr);
             }),
          It("that spoils its answer then, and goes on elsewhere when the run "
             "has ended",
             [] {
               Leaving simulation;
               simulation.Break(simulation.decode, true,
                                ResultCode::kMalformedAnswer);
               for (int asked = 0; asked < 4; ++asked) {
                 CPPUNIT_ASSERT(simulation.Find("prefill") == nullptr);
                 simulation.Reply(simulation.Report(), 200, {}, "r1");
                 CPPUNIT_ASSERT(simulation.Find("/reserve/") == nullptr);
                 simulation.AdvanceBy(50ms);
               }
               simulation.Reply(simulation.Report(), 200, {}, "others");
               CPPUNIT_ASSERT(simulation.Find("/reserve/") != nullptr);
             }),
          It("that does not list it, and goes on elsewhere",
             [] {
               Leaving simulation;
               simulation.Reply(simulation.Report(), 200, {}, "others");
               CPPUNIT_ASSERT(simulation.decode->cancelled);
               CPPUNIT_ASSERT(simulation.Find("prefill") != nullptr);
             }),
          It("that does not answer, and goes on elsewhere",
             [] {
               Leaving simulation;
               CPPUNIT_ASSERT(simulation.Report() != nullptr);
               simulation.AdvanceBy(260ms);
               CPPUNIT_ASSERT(simulation.decode->cancelled);
               CPPUNIT_ASSERT(simulation.Find("prefill") != nullptr);
             }),
          It("that sends an event meanwhile, and stays there",
             [] {
               Leaving simulation;
               simulation.Event(simulation.decode, 1);
               simulation.AdvanceBy(400ms);
               CPPUNIT_ASSERT(simulation.Find("prefill") == nullptr);
               CPPUNIT_ASSERT(!simulation.decode->cancelled);
               CPPUNIT_ASSERT_EQUAL(std::string("/reserve/r2"),
                                    simulation.released.back());
             }),
          It("that closes an answer without a length, and goes on elsewhere",
             [] {
               Leaving simulation(true);
               simulation.End(simulation.decode);
               CPPUNIT_ASSERT(!simulation.answer->ended);
               CPPUNIT_ASSERT(simulation.Find("prefill") != nullptr);
             }),
          It("and leaves nothing behind when its caller disconnects",
             [] {
               Leaving simulation;
               simulation.Report();
               simulation.Disconnect();
               CPPUNIT_ASSERT(simulation.Calls().empty());
               CPPUNIT_ASSERT_EQUAL(std::string("/reserve/r2"),
                                    simulation.released.back());
               CPPUNIT_ASSERT(simulation.core->OwnLoad().rows.empty());
             })}),
     It("stays at its endpoint when an event arrives before another endpoint "
        "has capacity",
        [] {
          Streaming simulation;
          simulation.AdvanceBy(1100ms);
          const auto reserve_call = simulation.Find("/reserve/");
          simulation.Event(simulation.decode, 1);
          simulation.Reply(reserve_call, 200, {}, "r2");
          CPPUNIT_ASSERT(!simulation.decode->cancelled);
          CPPUNIT_ASSERT_EQUAL(std::string("/reserve/r2"),
                               simulation.released.back());
          simulation.End(simulation.decode);
          CPPUNIT_ASSERT(simulation.answer->ended && !simulation.answer->cut);
          CPPUNIT_ASSERT(simulation.core->OwnLoad().rows.empty());
        }),
     It("stays at its endpoint when an event arrives while memory is requested "
        "at other endpoints in turn",
        [] {
          // Guards against a running stream that is stopped. Its endpoint sends
          // an event after memory was requested at the first other endpoint,
          // which refuses, and the next endpoint grants the reservation.
          Streaming simulation;
          simulation.AddEndpoint("d3", "model", EndpointRole::kDecode);
          simulation.AdvanceBy(1100ms);
          const auto reserve_call = simulation.Find("/reserve/");
          simulation.Event(simulation.decode, 1);
          simulation.Reply(reserve_call, 503, {});
          CPPUNIT_ASSERT(simulation.Find("/reserve/") == nullptr);
          CPPUNIT_ASSERT(!simulation.decode->cancelled);
          simulation.End(simulation.decode);
          CPPUNIT_ASSERT(simulation.answer->ended && !simulation.answer->cut);
        }),
     It("that breaks while memory is requested elsewhere resumes once",
        [] {
          // Guards against two endpoints that stream into one answer. The
          // stream breaks while memory is requested at another endpoint, and
          // both the break and the grant place it.
          Streaming simulation;
          simulation.AdvanceBy(1100ms);
          const auto reserve_call = simulation.Find("/reserve/");
          CPPUNIT_ASSERT(reserve_call != nullptr);
          simulation.Break(simulation.decode);
          CPPUNIT_ASSERT(reserve_call->cancelled);
          simulation.RefuseQuestions();
          const auto again = simulation.Find("/reserve/");
          CPPUNIT_ASSERT(again != nullptr);
          simulation.Reply(again, 200, {}, "r2");
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, simulation.Calls().size());
          CPPUNIT_ASSERT(simulation.Find("prefill") != nullptr);
        }),
     It("that breaks while memory is requested elsewhere waits once when no "
        "endpoint has capacity",
        [] {
          // Guards against the same failure when the break finds no placement
          // at first: the stream waits for a placement, and the grant that is
          // still to come places it as well.
          Streaming simulation;
          simulation.AdvanceBy(1100ms);
          const auto reserve_call = simulation.Find("/reserve/");
          CPPUNIT_ASSERT(reserve_call != nullptr);
          simulation.RemoveEndpoint("d1");
          simulation.RemoveEndpoint("d2");
          simulation.Break(simulation.decode);
          CPPUNIT_ASSERT(reserve_call->cancelled);
          simulation.RefuseQuestions();
          simulation.AdvanceBy(1s);
          CPPUNIT_ASSERT(simulation.answer->cut);
          CPPUNIT_ASSERT(simulation.Calls().empty());
        }),
     It("does not change the forecast with events that waited unread during a "
        "stall",
        [] {
          // Guards against engines that are taken for slow, here and at the
          // peers that receive the forecast: the pause before events that
          // waited unread is learned as the engines' pause.
          Streaming simulation;
          for (int event = 1; event < 20; ++event) {
            simulation.AdvanceBy(30ms);
            simulation.Event(simulation.decode, event);
          }
          const auto before = simulation.core->NextForecast();
          simulation.Stall(1900ms);
          simulation.Event(simulation.decode, 20);
          const auto after = simulation.core->NextForecast();
          CPPUNIT_ASSERT(before && after);
          CPPUNIT_ASSERT(before->figures == after->figures);
        }),
     It("stays at its endpoint, and requests memory again, while all others "
        "refuse",
        [] {
          Streaming simulation;
          for (int round = 0; round < 2; ++round) {
            simulation.AdvanceBy(1100ms);
            const auto reserve_call = simulation.Find("/reserve/");
            CPPUNIT_ASSERT(reserve_call != nullptr);
            simulation.Reply(reserve_call, 503, {});
            CPPUNIT_ASSERT(!simulation.decode->cancelled);
          }
          simulation.End(simulation.decode);
          CPPUNIT_ASSERT(simulation.answer->ended && !simulation.answer->cut);
        }),
     It("stays at its endpoint when the repeat budget is used up",
        [] {
          // Guards against streams that are reset because the budget no longer
          // allows their migration: two others have used it up. It comes about
          // when a stream is stopped before the budget is checked: the log has
          // "attempt_silent" with goes_elsewhere true, and 0.5 ms later
          // "request_ended" with end broken.
          Streaming simulation(0);
          simulation.AdvanceBy(1100ms);
          CPPUNIT_ASSERT(simulation.Find("/reserve/") == nullptr);
          CPPUNIT_ASSERT(!simulation.decode->cancelled);
          simulation.End(simulation.decode);
          CPPUNIT_ASSERT(simulation.answer->ended && !simulation.answer->cut);
        }),
     It("whose caller disconnects while memory is requested elsewhere leaves "
        "nothing behind",
        [] {
          Streaming simulation;
          simulation.AdvanceBy(1100ms);
          simulation.Disconnect();
          CPPUNIT_ASSERT(simulation.Calls().empty());
          CPPUNIT_ASSERT(simulation.core->OwnLoad().rows.empty());
        }),
     It("continues at its endpoint after a stall of this process",
        [] {
          // Guards against callers' streams that are reset in the middle of the
          // answer, though their endpoints completed them. The gateway stalls
          // for 1.9 s under a large configuration. Its timers fire before its
          // sockets are read, and its own stall is taken for a timeout of the
          // endpoints: five streams log "attempt_silent" within 6 ms, with
          // after_ms from 1909 to 5204, one of them with its 91 events and its
          // end unread.
          Streaming simulation;
          simulation.Stall(1900ms);
          CPPUNIT_ASSERT(!simulation.decode->cancelled);
          simulation.Event(simulation.decode, 1);
          simulation.End(simulation.decode);
          CPPUNIT_ASSERT(simulation.answer->ended && !simulation.answer->cut);
          CPPUNIT_ASSERT_EQUAL(
              std::string("id: 0\ndata: x\n\nid: 1\ndata: x\n\n"),
              simulation.answer->body);
        }),
     It("is stopped at an unresponsive endpoint only when it can resume "
        "elsewhere",
        [] {
          // Guards against an unresponsive stream that is stopped at its
          // endpoint first and then cut off, because no other endpoint has
          // capacity for 0.8 s. At its endpoint it might have continued, late
          // but complete.
          Streaming simulation;
          simulation.RemoveEndpoint("f1");
          simulation.RemoveEndpoint("f2");
          simulation.RemoveEndpoint(simulation.decode->address ==
                                            simulation.addresses.at("d1")
                                        ? "d2"
                                        : "d1");
          simulation.AdvanceBy(3s);
          CPPUNIT_ASSERT(!simulation.decode->cancelled);
          CPPUNIT_ASSERT(!simulation.answer->cut);
          simulation.Event(simulation.decode, 1);
          simulation.End(simulation.decode);
          CPPUNIT_ASSERT(simulation.answer->ended && !simulation.answer->cut);
        }),
     It("whose caller disconnects releases what it holds",
        [] {
          Model simulation;
          simulation.SendRequest("/stream/a", "r1");
          simulation.Reply(simulation.Find("/reserve/"), 200, {}, "v");
          simulation.Disconnect();
          CPPUNIT_ASSERT(simulation.Calls().empty());
          CPPUNIT_ASSERT_EQUAL(std::string("/reserve/v"),
                               simulation.released.back());
          CPPUNIT_ASSERT(simulation.core->OwnLoad().rows.empty());
        }),
     It("that passes its deadline before anything ran is refused as not run",
        [] {
          Model simulation;
          const auto answer =
              simulation.SendRequest("/stream/a", "r1", "3000,900", 100);
          simulation.AdvanceBy(150ms);
          CPPUNIT_ASSERT_EQUAL(503, answer->status);
          CPPUNIT_ASSERT(simulation.Calls().empty());
        })});

// A simulation with too many prefill endpoints, and a term to be had.
struct Uneven : GatewaySimulation {
  Uneven() {
    this->Configure();
    for (int number = 0; number < 8; ++number) {
      this->AddEndpoint("f" + std::to_string(number), "model",
                        EndpointRole::kPrefill);
    }
    this->AddEndpoint("d", "model", EndpointRole::kDecode);
    for (int number = 0; number < 12; ++number) {
      this->SendRequest("/stream/a", "r" + std::to_string(number));
    }
    this->term_grant = TermGrant{.fencing_token = 5};
    this->AdvanceBy(8s);
  }
};

const acacialug::testing::Story kRoles(
    "the roles of endpoints",
    {It("are changed by the first process only, with a leader term, after its "
        "peers were informed",
        [] {
          Uneven simulation;
          CPPUNIT_ASSERT(simulation.Find("/report") == nullptr);
          simulation.core->SetPeers(2, true);
          simulation.AdvanceBy(4s);
          CPPUNIT_ASSERT(!simulation.core->OwnPauses().empty());
          CPPUNIT_ASSERT(simulation.pauses_reported > 0);
          const auto report = simulation.Find("/report");
          CPPUNIT_ASSERT(report != nullptr);
          simulation.Reply(report, 200, {}, "3");
          CPPUNIT_ASSERT_EQUAL(std::string("decode g1 5 3"),
                               simulation.Find("/order")->request.body);
        }),
     It("are not changed after an answer that is no report",
        [] {
          // Guards against an order that rests on what a failing endpoint says.
          Uneven simulation;
          simulation.core->SetPeers(2, true);
          simulation.AdvanceBy(4s);
          simulation.Reply(simulation.Find("/report"), 500, {}, "3");
          CPPUNIT_ASSERT(simulation.Find("/order") == nullptr);
        }),
     It("are not changed by an order whose report took longer than its term",
        [] {
          // Guards against an order of a process that was stalled while another
          // one took over.
          Uneven simulation;
          simulation.core->SetPeers(2, true);
          simulation.AdvanceBy(4s);
          const auto report = simulation.Find("/report");
          simulation.AdvanceBy(1900ms);
          simulation.Reply(report, 200, {}, "3");
          CPPUNIT_ASSERT(simulation.Find("/order") == nullptr);
        }),
     It("are not changed right after the store returned from an older copy",
        [] {
          // Guards against two leaders, of whose terms the store, which had
          // named no era before, has lost one.
          Uneven simulation;
          simulation.core->SetPeers(2, true);
          simulation.core->NoteStoreEra(1);
          simulation.AdvanceBy(3800ms);
          CPPUNIT_ASSERT(simulation.core->OwnPauses().empty());
          simulation.AdvanceBy(2s);
          CPPUNIT_ASSERT(!simulation.core->OwnPauses().empty());
        })});

}  // namespace
}  // namespace acacialug::gateway
