#include "maintenance/maintenance_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "framework/testing/story.h"

namespace acacialug::maintenance {
namespace {

using testing::ForEach;
using testing::It;

const std::set<EndpointId> kMembers = {EndpointId("a"), EndpointId("b"),
                                       EndpointId("c")};

std::string Claims(const char* endpoint,
                   std::uint64_t id,
                   std::uint64_t since = 0) {
  return EncodeMaintenanceRecord(
      {.endpoint = EndpointId(endpoint), .id = id, .since = LogOffset(since)});
}

std::string Releases(const char* endpoint, std::uint64_t id) {
  return EncodeMaintenanceRecord({.kind = MaintenanceRecordKind::kRelease,
                                  .endpoint = EndpointId(endpoint),
                                  .id = id});
}

// The ranks of a, b and c; "-" without an open claim.
std::string RanksIn(const MaintenanceQueue& queue) {
  std::string text;
  for (const EndpointId& member : kMembers) {
    const auto rank = queue.RankOf(member, kMembers);
    text += rank ? std::to_string(*rank) : "-";
  }
  return text;
}

struct QueueRow {
  std::string name;
  std::vector<std::string> records;
  std::string ranks;
};

const testing::Story kQueue(
    "the maintenance queue of a pool",
    {ForEach<QueueRow>(
         "read from the log",
         {{"orders endpoints by their claims",
           {Claims("b", 1), Claims("a", 2), Claims("c", 3)},
           "102"},
          {"moves up the claims behind an endpoint that serves again",
           {Claims("b", 1), Claims("a", 2), Releases("b", 1)},
           "0--"},
          {"keeps the position of an endpoint whose agent claims again",
           {Claims("b", 1), Claims("a", 2), Claims("b", 9)},
           "10-"},
          {"counts a claim once when it was repeated after a lost answer",
           {Claims("b", 1), Claims("b", 1), Claims("a", 2), Releases("b", 1)},
           "0--"},
          {"ignores a claim that arrives after its release",
           {Claims("a", 2), Releases("b", 1), Claims("b", 1)},
           "0--"},
          {"ignores the release of an unknown claim",
           {Claims("b", 1), Claims("a", 2), Releases("b", 7)},
           "10-"},
          {"puts an endpoint's next claim behind the others",
           {Claims("b", 1), Claims("a", 2), Releases("b", 1), Claims("b", 3)},
           "01-"},
          {"takes a claim's position from a copy alone",
           {"", "", Claims("c", 3), Claims("a", 2, 1)},
           "0-1"},
          {"does not count an endpoint of another pool",
           {Claims("x", 1), Claims("a", 2)},
           "0--"},
          {"ignores invalid records",
           {"{", "{}", R"({"kind":"claim","endpoint":"a","id":0})",
            Claims("", 1), Claims("a", 2)},
           "0--"}},
         [](const QueueRow& row) { return row.name; },
         [](const QueueRow& row) {
           MaintenanceQueue queue;
           std::uint64_t offset = 0;
           for (const std::string& record : row.records) {
             queue.Apply(LogOffset(++offset), record);
             queue.Apply(LogOffset(offset),
                         Releases("a", 2));  // an applied offset is ignored
           }
           CPPUNIT_ASSERT_EQUAL(row.ranks, RanksIn(queue));
         }),
     // Guards against two endpoints leaving service at once, which takes the
     // pool below its minimum: two agents decide at the same time, and the one
     // that has read fewer records computes a rank that a later record raises.
     It("never gives a lagging reader a lower rank than it finds later", [] {
       const std::vector<std::string> records = {
           Claims("c", 1),    Claims("a", 2),   Claims("b", 3),
           Releases("c", 1),  Releases("a", 2), Claims("c", 4),
           Claims("b", 3, 3), Claims("a", 5),   Releases("b", 3),
       };
       MaintenanceQueue queue;
       std::optional<std::size_t> before;
       std::uint64_t offset = 0;
       for (const std::string& record : records) {
         queue.Apply(LogOffset(++offset), record);
         const auto rank = queue.RankOf(EndpointId("b"), kMembers);
         CPPUNIT_ASSERT(!before || !rank || *rank <= *before);
         before = rank;
       }
     })});

}  // namespace
}  // namespace acacialug::maintenance
