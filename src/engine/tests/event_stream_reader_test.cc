#include "engine/internal/event_stream_reader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "framework/testing/story.h"

namespace acacialug::engine {
namespace {

using testing::ForEach;

struct Row {
  std::string name;
  std::string bytes;
  std::vector<std::string> events;
};

std::vector<std::string> ReadAll(EventStreamReader& reader,
                                 std::string_view bytes) {
  std::vector<std::string> events;
  reader.Feed(bytes);
  while (const auto event = reader.Next()) {
    events.push_back(*event);
  }
  return events;
}

const testing::Story kReader(
    "a reader of server-sent events",
    {ForEach<Row>(
         "reads, whole or byte by byte,",
         {{"one event", "data: a\n\n", {"a"}},
          {"events with CRLF", "data: a\r\n\r\ndata: b\r\n\r\n", {"a", "b"}},
          {"several lines as one event", "data: a\ndata: b\n\n", {"a\nb"}},
          {"past comments and other fields",
           ": ping\n\nevent: x\nid: 1\ndata:a\n\n",
           {"a"}},
          {"an empty data field", "data:\n\n", {""}},
          {"nothing of an event cut short", "data: a\n\ndata: b\n", {"a"}}},
         [](const Row& row) { return row.name; },
         [](const Row& row) {
           EventStreamReader whole(100);
           CPPUNIT_ASSERT(ReadAll(whole, row.bytes) == row.events);
           EventStreamReader piecewise(100);
           std::vector<std::string> events;
           for (const char& byte : row.bytes) {
             for (const auto& event : ReadAll(piecewise, {&byte, 1})) {
               events.push_back(event);
             }
           }
           CPPUNIT_ASSERT(events == row.events);
         }),
     ForEach<Row>(
         "breaks at an event past its limit,",
         {{"a line that never ends", std::string(101, 'x'), {}},
          {"after a good one",
           "data: a\n\ndata: " + std::string(101, 'x'),
           {"a"}},
          {"of many lines",
           "data: 1234567890\n" + std::string(90, 'x') + "\n",
           {}}},
         [](const Row& row) { return row.name; },
         [](const Row& row) {
           EventStreamReader reader(99);
           CPPUNIT_ASSERT(ReadAll(reader, row.bytes) == row.events);
           CPPUNIT_ASSERT(reader.broken());
           CPPUNIT_ASSERT(ReadAll(reader, "\n\ndata: c\n\n").empty());
         })});

}  // namespace
}  // namespace acacialug::engine
