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
std::string RanksIn(const MaintenanceQueue& book) {
  std::string text;
  for (const EndpointId& member : kMembers) {
    const auto rank = book.RankOf(member, kMembers);
    text += rank ? std::to_string(*rank) : "-";
  }
  return text;
}

struct BookRow {
  std::string name;
  std::vector<std::string> records;
  std::string ranks;
};

const testing::Story kBook(
    "the order of turns in a pool",
    {ForEach<BookRow>(
         "that was read from the log",
         {{"is the claims' order",
           {Claims("b", 1), Claims("a", 2), Claims("c", 3)},
           "102"},
          {"lets go on who is behind one that serves again",
           {Claims("b", 1), Claims("a", 2), Releases("b", 1)},
           "0--"},
          {"keeps the place of one whose agent claims again",
           {Claims("b", 1), Claims("a", 2), Claims("b", 9)},
           "10-"},
          {"counts a claim once whose first answer was lost",
           {Claims("b", 1), Claims("b", 1), Claims("a", 2), Releases("b", 1)},
           "0--"},
          {"passes over a claim that arrives after its release",
           {Claims("a", 2), Releases("b", 1), Claims("b", 1)},
           "0--"},
          {"is not changed by another claim's release",
           {Claims("b", 1), Claims("a", 2), Releases("b", 7)},
           "10-"},
          {"has an endpoint's next claim behind others",
           {Claims("b", 1), Claims("a", 2), Releases("b", 1), Claims("b", 3)},
           "01-"},
          {"knows a claim's place by its copy alone",
           {"", "", Claims("c", 3), Claims("a", 2, 1)},
           "0-1"},
          {"does not count an endpoint of another pool",
           {Claims("x", 1), Claims("a", 2)},
           "0--"},
          {"passes over what is no record",
           {"{", "{}", R"({"kind":"claim","endpoint":"a","id":0})",
            Claims("", 1), Claims("a", 2)},
           "0--"}},
         [](const BookRow& row) { return row.name; },
         [](const BookRow& row) {
           MaintenanceQueue book;
           std::uint64_t offset = 0;
           for (const std::string& record : row.records) {
             book.Apply(LogOffset(++offset), record);
             book.Apply(LogOffset(offset), Releases("a", 2));  // again: not
           }
           CPPUNIT_ASSERT_EQUAL(row.ranks, RanksIn(book));
         }),
     // Symptom: a pool is below its floor for a moment. Sequence: two agents
     // decide at once, one of which has read less than the other. Cause: a
     // rank that a later record could raise.
     It("never gives one that lags a better place than it has later", [] {
       const std::vector<std::string> records = {
           Claims("c", 1),    Claims("a", 2),   Claims("b", 3),
           Releases("c", 1),  Releases("a", 2), Claims("c", 4),
           Claims("b", 3, 3), Claims("a", 5),   Releases("b", 3),
       };
       MaintenanceQueue book;
       std::optional<std::size_t> before;
       std::uint64_t offset = 0;
       for (const std::string& record : records) {
         book.Apply(LogOffset(++offset), record);
         const auto rank = book.RankOf(EndpointId("b"), kMembers);
         CPPUNIT_ASSERT(!before || !rank || *rank <= *before);
         before = rank;
       }
     })});

}  // namespace
}  // namespace acacialug::maintenance
