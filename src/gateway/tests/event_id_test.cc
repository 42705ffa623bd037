#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <memory>
#include <string>
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

using EventIds = std::vector<std::uint64_t>;

std::string EventOf(std::uint64_t id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

std::string EventsOf(const EventIds& ids) {
  std::string events;
  for (const std::uint64_t id : ids) {
    events += EventOf(id);
  }
  return events;
}

struct Stream : GatewaySimulation {
  explicit Stream(const std::string& path) {
    this->Configure();
    this->AddEndpoint("f1", "model", EndpointRole::kPrefill);
    this->AddEndpoint("d1", "model", EndpointRole::kDecode);
    this->AddEndpoint("d2", "model", EndpointRole::kDecode);
    this->answer = this->SendRequest(path, "r1");
    this->decode = this->AdvanceToDecode();
    this->Begin(this->decode);
  }

  static void SendEvents(const std::shared_ptr<Call>& call,
                         const EventIds& ids) {
    const auto on_data = call->hooks.on_data;
    for (const std::uint64_t id : ids) {
      on_data(EventOf(id));
      CPPUNIT_ASSERT_MESSAGE("stopped", !call->cancelled);
    }
  }

  std::shared_ptr<Answer> answer;
  std::shared_ptr<Call> decode;
};

struct IdCase {
  std::string name;
  EventIds ids;
  // What another endpoint sends after the second of them.
  EventIds elsewhere;
};

constexpr std::uint64_t kGreatest = UINT64_MAX;

const std::vector<IdCase> kIds = {
    {"one by one from 0", {0, 1, 2, 3}, {2, 3}},
    {"one by one from 1", {1, 2, 3, 4}, {3, 4}},
    {"by their first tokens", {1, 14, 27, 40}, {27, 40}},
    {"by their last tokens", {13, 26, 39, 52}, {39, 52}},
    {"by irregular steps", {3, 4, 90, 91}, {90, 91}},
    {"by tokens, and elsewhere with other tokens to an event",
     {13, 26, 39},
     {30, 34, 38, 42}},
    {"by tokens, and elsewhere from the beginning",
     {13, 26, 39},
     {13, 26, 39, 52}},
    {"up to the greatest number", {0, 7, kGreatest}, {kGreatest}}};

const acacialug::testing::Story kEventIds(
    "a stream whose events are numbered",
    {ForEach<IdCase>(
         "increasingly is whole:",
         kIds,
         [](const IdCase& row) { return row.name; },
         [](const IdCase& row) {
           // Guards against sound streams that are cut off since their ids rise
           // by more than one.
           for (const std::string path : {"/stream/a", "/resumable/a"}) {
             Stream stream(path);
             Stream::SendEvents(stream.decode, row.ids);
             stream.End(stream.decode);
             CPPUNIT_ASSERT(stream.answer->ended && !stream.answer->cut);
             CPPUNIT_ASSERT_EQUAL(EventsOf(row.ids), stream.answer->body);
           }
         }),
     ForEach<IdCase>(
         "increasingly goes on elsewhere after its last event, each event "
         "once:",
         kIds,
         [](const IdCase& row) { return row.name; },
         [](const IdCase& row) {
           Stream stream("/resumable/a");
           EventIds received = {row.ids[0], row.ids[1]};
           Stream::SendEvents(stream.decode, received);
           stream.Break(stream.decode);
           const auto other = stream.AdvanceToDecode();
           CPPUNIT_ASSERT_EQUAL(std::to_string(received.back()),
                                HeaderOf(other, "Resume-After"));
           stream.Begin(other);
           Stream::SendEvents(other, row.elsewhere);
           stream.End(other);
           const std::uint64_t last = received.back();
           for (const std::uint64_t id : row.elsewhere) {
             if (id > last) {
               received.push_back(id);
             }
           }
           CPPUNIT_ASSERT(stream.answer->ended && !stream.answer->cut);
           CPPUNIT_ASSERT_EQUAL(EventsOf(received), stream.answer->body);
         }),
     It("not increasingly is forwarded unchanged, and does not go on elsewhere",
        [] {
          // Guards against events that are left out of a whole answer.
          const EventIds ids = {5, 5, 3, 9};
          Stream whole("/resumable/a");
          Stream::SendEvents(whole.decode, ids);
          whole.End(whole.decode);
          CPPUNIT_ASSERT(whole.answer->ended && !whole.answer->cut);
          CPPUNIT_ASSERT_EQUAL(EventsOf(ids), whole.answer->body);
          Stream broken("/resumable/a");
          Stream::SendEvents(broken.decode, ids);
          broken.Break(broken.decode);
          CPPUNIT_ASSERT(broken.answer->cut);
        })});

}  // namespace
}  // namespace acacialug::gateway
